#!/bin/sh
# Builds the stand-ins of the review's scripts: they are Python files without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins-2/*.py
for case in 4 5 6 7; do
  if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
