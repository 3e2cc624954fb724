#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.  Exit: 0 the rule held, 1 it was broken, 2 it could not run.
cd "$(dirname "$0")" && exec ../../.venv/bin/python -B case.py
