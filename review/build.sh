#!/bin/sh
# Builds the stand-ins that the cases start. The programs are built as the deploy file says.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml
