#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disturbance out. Exit codes: 0 kept, 1 broken, 2 could not run.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stage-2 ] && [ -x target/release/rattanturnd ] || exit 2
exec target/review-2/stage-2 rank review/8
