#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. Run it after the build of deploy/system.toml: it needs no library that this build has
# not fetched, and takes their versions from the repository's lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
cp Cargo.lock review/common-2/Cargo.lock
build() {
    CARGO_TARGET_DIR="$PWD/target/review-2" cargo build "$@" --manifest-path review/common-2/Cargo.toml --bins
}
build --offline
