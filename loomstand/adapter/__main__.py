"""Runs the bench adapter: `python -m loomstand.adapter`, as `deploy/balancer.toml` starts it."""

import sys

from loomstand.testing.bench_adapter.__main__ import main

if __name__ == "__main__":
    sys.exit(main())
