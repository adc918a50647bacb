#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no freeze.
cd "$(dirname "$0")/../.." || exit 2
RECORD="$PWD/review/7/record.txt" target/review-2/debug/stale_owner
