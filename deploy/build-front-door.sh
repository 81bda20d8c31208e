#!/bin/sh
# Builds what deploy/balancer.toml runs: an environment in .venv, and compiled modules.
# The environment is made again if the list of dependencies, the interpreter or the kind of machine has changed.
set -eu

wanted=$(python3 -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.version)' && cat requirements.txt)

if [ "$wanted" != "$(cat .venv/installed.txt 2>/dev/null)" ]; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    printf '%s\n' "$wanted" > .venv/installed.txt
fi
.venv/bin/python -m compileall -q irisdeal
