#!/usr/bin/env bash
# Starts a stand-in for the users' platform and three reachhead-node processes on loopback, submits jobs,
# cancels one, runs maintenance on every host of a pool meanwhile, and stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."

extra/install.sh
cargo build --locked --quiet -p reachhead_node -p reachhead_site -p reachhead_standin
bin=$PWD/target/debug
work=$(mktemp -d)
nodes=()

stop_all() {
    for pid in "${nodes[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${nodes[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

ports=$("$bin/reachhead-standin" ports 9 | paste -sd, -)
"$bin/reachhead-site" --settings "$work" --ports "$ports" &
site=$!
for number in 1 2 3; do
    until [ -s "$work/node-$number.toml" ]; do
        kill -0 "$site" # fails, and so ends the demo, if the stand-in has exited
        sleep 0.1
    done
    REACHHEAD_CONFIG=$work/node-$number.toml "$bin/reachhead-node" >"$work/node-$number.log" 2>&1 &
    nodes+=($!)
done
if ! wait "$site"; then
    tail -n 5 "$work"/*.log >&2
    exit 1
fi
