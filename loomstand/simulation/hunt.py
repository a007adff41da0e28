"""Simulates many random days of a cluster: `python -m loomstand.simulation.hunt`."""

import sys

from loomstand.testing.simulation.hunt import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
