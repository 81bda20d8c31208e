#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: Python files that need the standard library alone, so they are only compiled.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins-2 review/[4-8]
