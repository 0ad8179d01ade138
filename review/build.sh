#!/usr/bin/env bash
# Checks that every stand-in compiles; they need nothing but Python itself.
set -eu
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
