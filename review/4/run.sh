#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -d target/deps/carawaydoor ] || { echo "not run: build with deploy/build.sh first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review
exec python3 "review/$(basename "$folder")/case.py"
