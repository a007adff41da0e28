#!/bin/sh
# Builds the stand-ins of the scripts in review/4 and later: Python, so only the check that it compiles.
cd "$(dirname "$0")/.." || exit 2
exec python3 -S -m compileall -q review/standin-2
