#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
exec python3 "$(dirname "$0")/case.py"
