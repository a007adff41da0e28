"""Measurements run by hand, never in CI."""
