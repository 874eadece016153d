#!/bin/sh
# Builds the stand-ins and cases of the review. Needs the toolchain only; no package is used.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
"${RUSTC:-rustc}" --edition 2021 -O stand-ins/main.rs -o bin/review
