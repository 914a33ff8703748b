#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, from the standard library alone. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/standin review/standin-2/main.rs
