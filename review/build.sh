#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They use the standard library of Python only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-9]/*.py <<'PY'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
echo "the stand-ins compile"
