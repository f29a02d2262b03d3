#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python programs
# without dependencies, so this only checks that they compile.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
