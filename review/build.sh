#!/usr/bin/env bash
# Builds every stand-in that the scripts of this folder start. They are Python modules of this folder (fleet.py and the
# case.py of each case) and need no library beside Python's own, so that they are only compiled here, to find an error early.
# Exits with 0, or with 1 if one doesn't compile or there is no python3.
set -euo pipefail
cd "$(dirname "$0")"
python3 - fleet.py */case.py <<'EOF'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
EOF
