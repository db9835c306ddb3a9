#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. Needs only rustc; no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 -o target/review/planned review/standin-2/planned.rs
