#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are plain Python without
# packages, so that this only compiles them and checks the deploy build.
set -euo pipefail
cd "$(dirname "$0")"
test -d ../target/deps || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
python3 -m compileall -q common
for case in */case.py; do
    [ -e "$case" ] && python3 -m py_compile "$case"
done
