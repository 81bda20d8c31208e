#!/bin/sh
# Builds what deploy/system.toml runs: the dependencies in target/deps, and compiled modules.
# The dependencies are installed again if their list, the interpreter or the kind of machine has changed.
set -eu

wanted=$(python3 -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.version)' && cat requirements-system.txt)

if [ "$wanted" != "$(cat target/installed.txt 2>/dev/null)" ]; then
    rm -rf target/deps target/installed.txt
    python3 -m pip install -q --target target/deps -r requirements-system.txt
    printf '%s\n' "$wanted" > target/installed.txt
fi
python3 -m compileall -q irisdeal target/deps
