"""Times in bins, for means and quantiles, and rates that fade. Nothing here decides."""

from __future__ import annotations


class Histogram:
    """Times in bins that double in width, halved when full so that old times fade."""

    def __init__(self, keep: int) -> None:
        self.bins = [0.0] * 18  # the last begins at 13 s, past any client timeout seen
        self.count = self.total = 0.0
        self.keep = keep

    def add(self, took: int) -> None:
        self.bins[min(len(self.bins) - 1, took.bit_length())] += 1
        self.count, self.total = self.count + 1, self.total + took
        if self.count >= self.keep:
            self.bins = [b / 2 for b in self.bins]
            self.count, self.total = self.count / 2, self.total / 2

    def mean(self, prior: float, weight: float) -> float:
        return (self.total + prior * weight) / (self.count + weight)

    def quantile(self, q: float, default: float) -> float:
        left = q * self.count
        if self.count < 4:  # fewer tell nothing of a tail
            return default
        for n, b in enumerate(self.bins):
            if 0 < left <= b:
                return (1 << n) / 2 * (1 + left / b)
            left -= b
        return default


class Rate:
    """A rate of events whose past fades: `half` is its half-life, `unit` the time of which its sum
    is.
    """

    def __init__(self, half: int, unit: int, now: int) -> None:
        self.half, self.unit, self.sum, self.at = half, unit, 0.0, now

    def add(self, more: int, now: int) -> float:
        """The rate, with `more` events that come now."""
        self.sum, self.at = self.sum * 0.5 ** ((now - self.at) / self.half) + more, now
        return self.sum / self.unit
