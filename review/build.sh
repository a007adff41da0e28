#!/usr/bin/env bash
# The stand-ins are plain Python and use the standard library alone: compiling them is all.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standin [0-9]*/
