#!/bin/sh
# The stand-ins are Python programs that use the standard library only; there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for program in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program"
done
