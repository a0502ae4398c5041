#!/usr/bin/env bash
# Builds the stand-ins of the cases. They have no dependencies, so no network is needed.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
