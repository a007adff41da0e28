"""Tracks this limiter's increments for replay to a registry that has just started counting.

Such a registry starts with empty counters, so each limiter replays its earlier increments. Counters
belong to a counting term: a change of the term means that they restarted empty. A tenant has one
counter for each interval; the tenant's digest is the upper part of the counter's name.

Pure: no I/O; methods take the time, in seconds of a monotonic clock, as an argument.
"""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.registry.quota_buckets import INTERVAL_SLOT_BITS

# A counting term that no registry has: the sum must be replayed whichever registry counts.
UNKNOWN_TERM = -1


@dataclass(slots=True)
class LocalSum:
    """This limiter's sum for one counter.

    Attributes:
        added: Sum of the increments that were or may have been applied.
        counting_term: Counting term of the registry that has this sum.
        expires_at: Time until which the counting registry keeps the counter.
    """

    added: float
    counting_term: int
    expires_at: float


class CounterReplay:
    """This limiter's sums by counter name.

    Attributes:
        sums: The sums by counter name.
        counting_term: Counting term of the last response.
        complete_terms: By tenant digest, the counting term in which the sums of all of its
            intervals were replayed.
    """

    def __init__(self) -> None:
        self.sums: dict[int, LocalSum] = {}
        self.counting_term = 0
        self.complete_terms: dict[int, int] = {}

    def record(
        self,
        counter_name: int,
        amount: float,
        retention_seconds: float,
        now: float,
        counting_term: int | None = None,
    ) -> float:
        """Records an increment that was, or may have been, applied.

        Args:
            counter_name: Name of the counter.
            amount: The increment.
            retention_seconds: Minimum time for which the registry keeps the counter.
            now: The current time.
            counting_term: Counting term of the response; None if there was no response.

        Returns:
            The sum added in an earlier term, which the caller must replay now; 0 if none.
        """
        if counting_term is not None:
            self.counting_term = counting_term
        term = self.counting_term
        local_sum = self.sums.setdefault(counter_name, LocalSum(0.0, term, 0.0))
        missing = local_sum.added if local_sum.counting_term != term else 0.0
        local_sum.added = local_sum.added + amount
        local_sum.counting_term = term
        local_sum.expires_at = now + retention_seconds
        return missing

    def take_missing(self, counter_name: int, counting_term: int) -> list[tuple[int, float]]:
        """Returns the tenant's other counters with missing sums, and marks them as replayed.

        Requests that limiters admitted while no registry counted may belong to the previous
        interval, so replaying the current interval's counter alone is not enough.

        Returns:
            Counter names and the sum that the caller must add to each.
        """
        tenant = counter_name >> INTERVAL_SLOT_BITS
        if self.complete_terms.get(tenant) == counting_term:
            return []
        self.complete_terms[tenant] = counting_term
        missing = [
            (name, local_sum)
            for name, local_sum in self.sums.items()
            if name >> INTERVAL_SLOT_BITS == tenant and local_sum.counting_term != counting_term
        ]
        for _, local_sum in missing:
            local_sum.counting_term = counting_term
        return [(name, local_sum.added) for name, local_sum in missing]

    def mark_missing(self, counter_name: int) -> None:
        """Records that a replayed sum may not have been applied."""
        self.complete_terms.pop(counter_name >> INTERVAL_SLOT_BITS, None)
        if counter_name in self.sums:  # otherwise the counter has expired
            self.sums[counter_name].counting_term = UNKNOWN_TERM

    def remove_expired(self, now: float) -> None:
        """Removes the sums of expired counters."""
        expired = [name for name, local_sum in self.sums.items() if local_sum.expires_at < now]
        for name in expired:
            del self.sums[name]
