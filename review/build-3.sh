#!/bin/sh
# Builds every stand-in that the scripts of the cases 7 to 11 start: none but Python files, which are compiled to show
# that they can be read. The programs under test are built by the command of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in rig3/*.py 7/case.py 8/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
