#!/bin/sh
# Builds the stand-ins and clients that the scripts of the second review start. The programs themselves come
# from the build of the deploy file.
cd "$(dirname "$0")/cases-2" || exit 2
cargo build --release --locked --offline --target-dir target ||
    exec cargo build --release --locked --target-dir target
