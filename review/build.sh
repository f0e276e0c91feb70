#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python, so there is only their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins are ready"
