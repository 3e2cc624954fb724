#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.  They are Python and use the standard library alone: compiling them
# shows that they are whole and that the build of the deploy file has left an interpreter.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python - <<'PY'
import ast, pathlib
for path in [pathlib.Path("review/standins2.py"), *sorted(pathlib.Path("review").glob("*/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PY
