"""The lab: the fleet in simulated time, with the real module at every limiter (`docs/lab.md`)."""
