#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only, so this
# checks that they compile for the Python that runs them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in [pathlib.Path("stand3.py"), *sorted(pathlib.Path(".").glob("1[1-5]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
P
