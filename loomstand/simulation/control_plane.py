"""Simulates the control plane: `python -m loomstand.simulation.control_plane`."""

import sys

from loomstand.testing.simulation.control_plane import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
