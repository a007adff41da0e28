"""Entry points of the control plane simulation; the code is in `loomstand.testing.simulation`."""
