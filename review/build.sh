#!/usr/bin/env bash
# Builds the stand-ins and the player of the cases. The entry VM's program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
