"""Histograms of durations with means and quantiles, and rates that decay. Pure."""

from __future__ import annotations

# Bins double in width. The last one is read as 6.6 s to 13 s, beyond any client timeout seen.
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
        left = share * self.count
        for index, count in enumerate(self.bins):
            if 0 < left <= count:
                return (1 << index) / 2 * (1 + left / count)
            left -= count
        return default


class DecayingRate:
    """An exponentially decaying rate of events.

    Args:
        half_life: Ticks after which an event counts half.
        time_unit: Ticks that the decayed sum is divided by to give the rate.
        now: Reading of the clock at the start.
    """

    def __init__(self, half_life: int, time_unit: int, now: int) -> None:
        self.half_life = half_life
        self.time_unit = time_unit
        self.sum = 0.0
        self.updated_at = now

    def add(self, events: int, now: int) -> float:
        """Adds events that happen now, and returns the rate in events per tick."""
        age = now - self.updated_at
        self.sum = self.sum * 0.5 ** (age / self.half_life) + events
        self.updated_at = now
        return self.sum / self.time_unit
