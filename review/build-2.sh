#!/bin/sh
# Builds the stand-ins that the scripts of the cases from 6 on start: they are in
# deployment.py and use the standard library only, so that compiling checks them.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile deployment.py
for case in 6 7 8 9 10; do
    if [ -e "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
