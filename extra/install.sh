#!/usr/bin/env bash
# Installs the build dependencies besides Rust: a C compiler, make and cmake, for the bundled nng.
set -euo pipefail

missing=()
command -v cmake >/dev/null || missing+=(cmake)
command -v cc >/dev/null || missing+=(gcc libc6-dev)
command -v make >/dev/null || missing+=(make)
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
command -v cargo >/dev/null || {
    echo "install Rust first: the toolchain with cargo, rustfmt and clippy" >&2
    exit 1
}
