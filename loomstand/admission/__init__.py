"""Decision engine of one limiter: pure state machines (no I/O, no clock) from events to actions."""
