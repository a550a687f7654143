#!/bin/bash
# Builds the stand-ins of the review's scripts, with the standard library only and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in review/[1-5]/case.rs; do
    [ -e "$name" ] || continue
    rustc --edition 2021 -O -o "target/review/case-$(basename "$(dirname "$name")")" "$name"
done
