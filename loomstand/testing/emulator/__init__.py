"""Emulator of a fleet in simulated time, with the real decision engine (`docs/lab.md`)."""
