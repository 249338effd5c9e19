#!/bin/sh
# Builds the stand-ins: plain Python that needs the standard library only, so it checks that they compile.
set -e
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
    ../.venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
