#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 and later. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
  --target-dir target/review-2
