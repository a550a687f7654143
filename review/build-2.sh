#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/main review/6/stand_in/main.rs
