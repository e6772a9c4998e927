#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --release --locked --offline --target-dir ../../target/review
