#!/bin/sh
# Builds the stand-ins that the cases start: Python files that need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in [*pathlib.Path(".").glob("*.py"), *pathlib.Path(".").glob("[0-9]/*.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"checked {path}")
PYTHON
