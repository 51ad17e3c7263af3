#!/usr/bin/env bash
# Checks the stand-ins of cases 7 and 8. They are Python programs that use its standard library alone, so that nothing
# is compiled; the project's own stand-ins aren't used.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, pathlib
for path in [*pathlib.Path("standin-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    ast.parse(path.read_text(), str(path))
CHECK
echo "stand-ins: ready"
