"""Durations of a soak run in seconds."""

START_SECONDS = 1.0  # until a program serves, on a machine that is not overloaded
GRACE_SECONDS = 6.0  # from SIGTERM to SIGKILL
CATCH_UP_SECONDS = 4.0  # a core machine counts as lost for this time after its return
