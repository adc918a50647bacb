#!/usr/bin/env bash
# The stand-ins are plain Python of its standard library: there is nothing to build, only to check.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in standin.py [0-9]*/case.py tried/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
