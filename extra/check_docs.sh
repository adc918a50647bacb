#!/usr/bin/env bash
# Holds the tests that the pages name against the tests that there are.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=0
# Names of tests are long; shorter words in code font are fields and functions.
for name in $(grep -ohE '`[a-z0-9]+(_[a-z0-9]+){4,}`' docs/*.md | tr -d '`' | sort -u); do
    if ! grep -rqE "fn $name\b" --include='*.rs' reachhead* platform; then
        echo "docs name the test $name, which is not there" >&2
        missing=1
    fi
done
exit $missing
