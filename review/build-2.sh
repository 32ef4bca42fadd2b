#!/bin/sh
# Builds the stand-ins of the second review. It needs the Rust compiler and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/tools-2/main.rs
