#!/usr/bin/env bash
# Runs every test on a fresh machine; the end-to-end tests start the programs built here.
set -euo pipefail
cd "$(dirname "$0")/.."

extra/install.sh
cargo build --locked --workspace --bins

# Tests that are known to fail, one a line with its cause: they are printed and passed over, and mended first next time.
skips=()
if [ -f KNOWN-RED.txt ]; then
    cat KNOWN-RED.txt
    while read -r name _; do
        skips+=(--skip "${name%:}")
    done < KNOWN-RED.txt
fi
cargo test --locked --workspace -- "${skips[@]}"
