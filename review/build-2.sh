#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
