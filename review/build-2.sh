#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --locked --manifest-path review/common-2/Cargo.toml --bins
