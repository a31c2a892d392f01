#!/bin/sh
# Builds the stand-ins of the cases of the third review. Needs only the Rust toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -C opt-level=2 -o target/review-3/stand-ins review/stand-ins-3/main.rs
