#!/bin/sh
# Builds what the scripts of the third review start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/cases-3/Cargo.toml \
    --target-dir target/review-cases-3
