#!/usr/bin/env bash
# The stand-ins of all cases are Python programs of this folder, so there is nothing to compile: checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/*.py <<'PYTHON'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
