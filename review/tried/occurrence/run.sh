#!/usr/bin/env bash
# Builds the trial beside the repository's crates, in a temporary folder, and runs it.
set -euo pipefail
root=$(cd "$(dirname "$0")/../../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp "$root/Cargo.lock" "$work/"
mkdir "$work/src"
cp "$root/review/tried/occurrence/main.rs" "$work/src/"
cat > "$work/Cargo.toml" <<TOML
[package]
name = "occurrence"
version = "0.1.0"
edition = "2024"
[workspace]
[dependencies]
reachhead_jobs = { path = "$root/reachhead_jobs" }
reachhead_types = { path = "$root/reachhead_types" }
TOML
cd "$work"
CARGO_TARGET_DIR="$work/target" cargo run --offline -q
