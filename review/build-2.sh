#!/bin/sh
# Builds the stand-ins of the second review. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
