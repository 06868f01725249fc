#!/usr/bin/env bash
# Builds what the scripts of the second review start. Their stand-ins are in
# Python and need no packages, so that a check that they compile is enough.
# The programs of the project are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
