"""Durations of a soak run in seconds."""

START_SECONDS = 1.0  # from a program's start until it serves, on a machine without overload
GRACE_SECONDS = 6.0  # from SIGTERM to SIGKILL, if the program has not exited
CATCH_UP_SECONDS = 4.0  # a core machine counts as lost for this time after its return
