#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the product itself. Their
# stand-ins are Python files that use the standard library alone, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
for file in {6,7,8,9,10}/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
