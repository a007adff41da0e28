"""The soak test: gateway processes on loopback under overlapping signals, restarts and changes."""
