#!/usr/bin/env bash
# Starts three entry hosts, a stand-in for the platform and six minions as processes on loopback,
# configures two services through the command line, shows that a change reaches every host, sends 1,200
# requests through all entry hosts while a maintenance wave reboots every host of the minions, shows
# state, and stops everything gracefully. Runs platform-demo.sh at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

extra/install.sh
cargo build --locked --quiet --workspace --bins
bin=$PWD/target/debug
work=$(mktemp -d)
pids=()

stop_all() {
    # In reverse order of start, so that no entry host loses its control process or the store before it has stopped.
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[$i]}" 2>/dev/null || true
        wait "${pids[$i]}" 2>/dev/null || true
    done
    pids=()
    rm -rf "$work"
}
trap stop_all EXIT

start() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

wait_ready() { # ops address
    for _ in $(seq 100); do
        if "$bin/reachhead" dump "$1" --page ready >/dev/null 2>&1; then
            return
        fi
        sleep 0.2
    done
    echo "the process at $1 did not become ready" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

mapfile -t ports < <("$bin/reachhead-standin" ports 32)
next_port=0
assign_address() { # variable
    printf -v "$1" '127.0.0.1:%s' "${ports[$next_port]}"
    next_port=$((next_port + 1))
}

assign_address store
start store "$bin/reachhead-standin" store --address "$store"

zones=(ahmedabad surat vadodara)
minions=()
for service in check-in desk; do
    for zone in "${zones[@]}"; do
        assign_address address
        minions+=("\"$service/$zone-1\": { \"address\": \"$address\", \"zone\": \"$zone\", \"host\": \"$zone-a\" }")
        start "minion-$service-$zone" "$bin/reachhead-standin" minion --address "$address" --work 2
    done
done

token=$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')
salt=demo
hash=$(printf '%s' "$salt$token" | sha256sum | cut -d' ' -f1)
export REACHHEAD_TOKEN=$token

entries=()
entry_ops=()
for i in 0 1 2; do
    assign_address control_link
    assign_address control_ops
    assign_address entry_link
    assign_address entry_ops_address
    assign_address callers
    assign_address admin
    assign_address admin_ops
    host="\"host\": \"entry-$((i + 1))\", \"zone\": \"${zones[$i]}\""
    common="$host, \"store\": { \"address\": \"$store\" }"
    cat >"$work/control-$i.jsonc" <<JSON
{ "program": "control", $common, "ops": { "address": "$control_ops" },
  "link": { "address": "$control_link", "entry": "$entry_link" },
  "pools": { "round": 200, "drain": 1500 } }
JSON
    cat >"$work/entry-$i.jsonc" <<JSON
{ "program": "entry", $common, "ops": { "address": "$entry_ops_address" },
  "callers": { "address": "$callers" },
  "link": { "control": "$control_link", "ask": "$entry_link" },
  "shutdown": { "lag": 500 } }
JSON
    cat >"$work/admin-$i.jsonc" <<JSON
{ "program": "admin", $common, "ops": { "address": "$admin_ops" },
  "api": { "address": "$admin", "token_salt": "$salt", "token_hash": "$hash" } }
JSON
    start "control-$i" "$bin/reachhead-control" --settings "$work/control-$i.jsonc"
    start "entry-$i" "$bin/reachhead-entry" --settings "$work/entry-$i.jsonc"
    start "admin-$i" "$bin/reachhead-admin" --settings "$work/admin-$i.jsonc"
    entries+=(--entry "$callers")
    entry_ops+=("$entry_ops_address")
    export REACHHEAD_ADMIN=$admin
    wait_ready "$admin_ops"
done

cat >"$work/fleet.jsonc" <<JSON
{
  "program": "fleet",
  "groups": {
    "commons": { "settings": { "deadline": 2000 } },
    "chain-a": { "parent": "commons", "settings": { "weight": 2 } },
    "chain-b": { "parent": "commons" }
  },
  "pools": { "front": { "group": "commons" } },
  "services": {
    "check-in": { "group": "chain-a", "pool": "front" },
    "desk": { "group": "commons", "pool": "front" }
  },
  "minions": { $(IFS=,; echo "${minions[*]}") },
  "routes": {
    "a-check-in": { "path": "/chain-a/check-in", "group": "chain-a", "service": "check-in",
                    "class": "urgent" },
    "a-desk": { "path": "/chain-a/desk", "group": "chain-a", "service": "desk" },
    "b-renewal": { "path": "/chain-b/renewal", "group": "chain-b", "service": "desk",
                   "key": "required" }
  }
}
JSON
echo "== the operator checks and applies the configuration"
"$bin/reachhead" check "$work/fleet.jsonc"
"$bin/reachhead" apply "$work/fleet.jsonc"
"$bin/reachhead" settings status --wait 10
for address in "${entry_ops[@]}"; do
    wait_ready "$address"
done

echo "== a change reaches every host"
"$bin/reachhead" settings set group/chain-b \
    '{"parent": "commons", "settings": {"weight": 3}}'
"$bin/reachhead" settings status --wait 10
"$bin/reachhead" settings effective chain-b

echo "== the hosts of the minions join their pool"
for zone in "${zones[@]}"; do
    "$bin/reachhead" host add "$zone-a" --pool front --zone "$zone" --rack "$zone-1" --cores 16 --memory 32
done

echo "== 1,200 requests for two services through three entry hosts, during a maintenance wave"
"$bin/reachhead-standin" caller "${entries[@]}" --count 1200 --pause 80 \
    --path /chain-a/check-in/gate-1 --path /chain-a/desk --path '!/chain-b/renewal' \
    >"$work/served" 2>&1 &
load_pid=$!
pids+=("$load_pid")
"$bin/reachhead" wave start round-1 --pool front --wait 40
wait "$load_pid" || { cat "$work/served" >&2; exit 1; }
unset 'pids[-1]'
cat "$work/served"

echo "== the first lines of the state of the first entry host"
"$bin/reachhead" dump "${entry_ops[0]}" | head -n 20

echo "== stopping everything gracefully"
for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}"
    wait "${pids[$i]}" || { echo "process ${pids[$i]} exited with an error" >&2; exit 1; }
done
pids=()
tail -n 1 "$work/served"

extra/platform-demo.sh
