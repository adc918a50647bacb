#!/usr/bin/env bash
# Runs every test on a fresh machine; the end-to-end tests start the programs built here.
set -euo pipefail
cd "$(dirname "$0")/.."

extra/install.sh
cargo build --locked --workspace --bins
cargo test --locked --workspace
