#!/bin/sh
# Builds the stand-ins that the scripts start: Python from the standard library alone, so it checks that they compile.
cd "$(dirname "$0")/.." || exit 1
for file in review/*.py review/[123]/play.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
