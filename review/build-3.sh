#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. It needs the toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in drill_revoke drill_quota drill_route drill_drain late_beat; do
    rustc --edition 2024 -O "review/stand-ins-3/$case.rs" -o "target/review-3/$case"
done
