#!/bin/sh
# Builds the stand-ins of the cases from review/6 on. They use the standard
# library of Python only, so that compiling them shows that they load.
set -eu
cd "$(dirname "$0")"
python3 -S - lib2/*.py [0-9]*/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
