"""Entry points of the simulation; the code is in `loomstand.testing.simulation`."""
