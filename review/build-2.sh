#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
build() {
    cargo build --release --locked "$@" --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
}
build --offline || build
