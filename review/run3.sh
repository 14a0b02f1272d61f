#!/usr/bin/env bash
# Runs the case in the folder $1 with the libraries that the deploy file has built.
set -u
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 2; }
exec python3 -B "$1/case.py"
