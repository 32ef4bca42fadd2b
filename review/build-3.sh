#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/stand-3/main.rs
