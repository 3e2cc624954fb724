#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || { echo "could not run: the build of the deploy file comes first"; exit 2; }
exec ../../.venv/bin/python -B case.py
