"""The decision engine of one limiter: pure state machines, fed events, that return actions."""
