"""A model checker for the store: the store's own decisions, driven through all orders of events."""
