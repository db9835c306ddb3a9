#!/bin/sh
# Builds the stand-ins of the scripts. The daemons are built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
