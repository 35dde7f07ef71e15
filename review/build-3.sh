#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: platform, backend servers and clients in one program.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml \
    --target-dir target/review-3
