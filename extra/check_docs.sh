#!/usr/bin/env bash
# Checks that every test named in docs/ exists.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=0
# Test names have at least five words; shorter names in code font are fields and functions.
for name in $(grep -ohE '`[a-z0-9]+(_[a-z0-9]+){4,}`' docs/*.md | tr -d '`' | sort -u); do
    if ! grep -rqE "fn $name\b" --include='*.rs' reachhead* platform; then
        echo "docs name the test $name, which does not exist" >&2
        missing=1
    fi
done
exit $missing
