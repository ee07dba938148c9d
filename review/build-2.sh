#!/bin/sh
# Builds what the scripts of review/6 to review/10 start.  The stand-ins are
# Python files that use the packages of target/deps, which the build of the
# deploy file has installed, so they are only checked here.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import ast
import pathlib

import aiohttp  # noqa: F401

folder = pathlib.Path('review')
names = ('common2.py', 'worker2.py', '[6-9]/*.py', '10/*.py')
for path in (path for name in names for path in sorted(folder.glob(name))):
    ast.parse(path.read_text(), str(path))
EOF
