#!/bin/sh
# The stand-ins of the scripts are plain Python and need no build; this checks that they
# compile.
cd "$(dirname "$0")" && python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
