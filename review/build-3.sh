#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python of the standard library:
# there is nothing to fetch, so this checks the version and compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import pathlib

for path in (pathlib.Path("standins_3.py"), *sorted(pathlib.Path().glob("1[1-5]/*.py"))):
    compile(path.read_text(), str(path), "exec")
END
