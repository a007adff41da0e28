"""A model checker for the store: the granary's own decisions, driven through all orders of events."""
