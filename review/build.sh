#!/bin/sh
# Checks and compiles the stand-ins and the cases, with the Python of the deploy file's build.  They need nothing else.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins.py review/[0-9]/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
