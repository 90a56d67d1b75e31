#!/bin/sh
# Builds the stand-ins of the second review, without a network. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
