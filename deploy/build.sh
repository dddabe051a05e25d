#!/bin/sh
# Installs the pinned libraries and the compiled product below target/.
set -eu
libraries=target/deps
stamp=target/.requirements
if ! cmp -s requirements-runtime.txt "$stamp"; then
    rm -rf "$libraries"
    python3 -m pip install --quiet --target "$libraries" --requirement requirements-runtime.txt
    python3 -m compileall -q "$libraries" || true
    cp requirements-runtime.txt "$stamp"
fi
rm -rf "$libraries/carawaydoor"
cp -r src/carawaydoor "$libraries/carawaydoor"
find "$libraries/carawaydoor" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$libraries/carawaydoor"
