#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the daemon: one program, the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/stage-3.rs -o target/review-3/stage
