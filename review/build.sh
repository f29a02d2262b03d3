#!/usr/bin/env bash
# The stand-ins use the standard library of Python only, so there is nothing to compile.
# Checks that they can be loaded and that the build of the deploy file has been made.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for source in sorted(Path("review").rglob("*.py")):
    ast.parse(source.read_text(), str(source))
if not Path("target/deps/flamingobank/platform/__main__.py").is_file():
    sys.exit("run the build of deploy/system.toml first")
PYTHON
echo "stand-ins checked"
