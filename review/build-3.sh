#!/bin/sh
# Checks the stand-ins of the cases 11 to 15; they need Python 3.11 and no library.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_3.py 11/case.py 12/case.py 13/case.py 14/case.py 15/case.py
