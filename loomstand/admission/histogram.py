"""Histograms of durations with means and quantiles, and rates that decay. Pure."""

from __future__ import annotations

# Bins double in width. The last one, for all durations from 6.6 s, is read as ending at 13 s, which
# exceeds client timeouts.
_BINS = 18
_MIN_QUANTILE_COUNT = 4  # fewer durations don't show a tail


class Histogram:
    """Durations in bins; all counts are halved at `capacity`, so that old durations decay."""

    def __init__(self, capacity: int) -> None:
        self.bins = [0.0] * _BINS
        self.count = 0.0
        self.total = 0.0
        self.capacity = capacity

    def add(self, duration: int) -> None:
        """Adds a duration, in ticks."""
        self.bins[min(_BINS - 1, duration.bit_length())] += 1
        self.count += 1
        self.total += duration
        if self.count >= self.capacity:
            self.bins = [count / 2 for count in self.bins]
            self.count /= 2
            self.total /= 2

    def mean(self, prior: float, weight: float) -> float:
        """Returns the mean in ticks, with a prior mean that counts as `weight` durations."""
        return (self.total + prior * weight) / (self.count + weight)

    def quantile(self, share: float, default: float) -> float:
        """Returns the `share` quantile in ticks, or `default` if there are too few durations."""
        if self.count < _MIN_QUANTILE_COUNT:
            return default
        remaining = share * self.count
        for index, count in enumerate(self.bins):
            if 0 < remaining <= count:
                return (1 << index) / 2 * (1 + remaining / count)
            remaining -= count
        return default


class DecayingRate:
    """An exponentially decaying rate of events.

    Args:
        half_life: Ticks after which an event has half of its initial weight.
        time_constant: The half-life divided by ln 2, in ticks.
        now: Reading of the clock at the start, in ticks.
    """

    def __init__(self, half_life: int, time_constant: int, now: int) -> None:
        self.half_life = half_life
        self.time_constant = time_constant
        self.sum = 0.0
        self.updated_at = now

    def add(self, events: int, now: int) -> float:
        """Adds events that happen now, and returns the rate in events per tick."""
        age = now - self.updated_at
        self.sum = self.sum * 0.5 ** (age / self.half_life) + events
        self.updated_at = now
        return self.sum / self.time_constant
