#!/bin/sh
# Builds the review's stand-ins. The programs under review are built before, as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --manifest-path review/standins/Cargo.toml
