#!/bin/sh
# The stand-ins need the Python interpreter only: checks that they compile, and leaves nothing behind.
cd "$(dirname "$0")" || exit 2
for file in standin/*.py */case.py; do
    python3 -c "import sys; compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')" "$file" || exit 1
done
