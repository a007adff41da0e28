"""Counts of events for the log. Pure."""

from __future__ import annotations


class EventCounts:
    """Counts events by name, and reports them all once every `period` ticks."""

    def __init__(self, period: int, now: int) -> None:
        self.period = period
        self.reported_at = now
        self.counts: dict[str, int] = {}

    def add(self, name: str, now: int) -> list[str]:
        """Counts an event; if a report is due, returns all counts by name and resets them."""
        self.counts[name] = self.counts.get(name, 0) + 1
        if now < self.reported_at + self.period:
            return []
        report = [f"{name} {count}" for name, count in sorted(self.counts.items())]
        self.counts = {}
        self.reported_at = now
        return report
