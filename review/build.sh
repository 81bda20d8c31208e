#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python from the standard library alone.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
