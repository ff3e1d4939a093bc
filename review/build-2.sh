#!/bin/bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file. They use the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stage-2 review/stage-2.rs
