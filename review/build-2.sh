#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of review/6 to review/10 start. They are Python programs
# without dependencies, so there is only their syntax to check.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in standins-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
