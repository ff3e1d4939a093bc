#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program, of the standard library only.
# The daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stage review/stage.rs
