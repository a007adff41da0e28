"""Replays this limiter's increments to a registry that has just begun to count.

Such a registry begins with empty counters, so each limiter repeats what it added before. Counters
belong to a counting term: another term means that they began anew. Pure: no I/O, and each method
is given a reading of a steady clock in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.registry.quota_buckets import INTERVAL_SLOT_BITS

# Stands for a counting term that no registry has: the sum must be repeated to any.
UNKNOWN_TERM = -1


@dataclass(slots=True)
class LocalSum:
    """What this limiter added to one counter.

    Attributes:
        added: The sum of its increments, as far as they may have arrived.
        counting_term: Counting term of the counters that have this sum.
        expires_at: The counting registry keeps the counter until then, too.
    """

    added: float
    counting_term: int
    expires_at: float


class CounterReplay:
    """This limiter's sums by the name of the counter.

    Attributes:
        sums: The sums by counter name.
        counting_term: Counting term of the last answer.
        complete_terms: By tenant, the counting term under which all of its intervals were repeated.
    """

    def __init__(self) -> None:
        self.sums: dict[int, LocalSum] = {}
        self.counting_term = 0
        self.complete_terms: dict[int, int] = {}

    def record(
        self,
        counter_name: int,
        step: float,
        keep_seconds: float,
        now: float,
        counting_term: int | None = None,
    ) -> float:
        """Records an increment that arrived, or may have arrived.

        Args:
            counter_name: The counter.
            step: What was added.
            keep_seconds: For how long the counter is kept at least.
            now: A reading of the steady clock.
            counting_term: Term of the answer; None if none came.

        Returns:
            What was added under other terms, which the caller is to repeat now; 0 if nothing.
        """
        if counting_term is not None:
            self.counting_term = counting_term
        term = self.counting_term
        local = self.sums.setdefault(counter_name, LocalSum(0.0, term, 0.0))
        missing = local.added if local.counting_term != term else 0.0
        local.added = local.added + step
        local.counting_term = term
        local.expires_at = now + keep_seconds
        return missing

    def take_missing(self, counter_name: int, counting_term: int) -> list[tuple[int, float]]:
        """Returns the tenant's other counters that lack sums, which the caller is to repeat now.

        What limiters admitted while nobody counted may stand in the last interval alone.

        Returns:
            Names of counters and what to add to each.
        """
        tenant = counter_name >> INTERVAL_SLOT_BITS
        if self.complete_terms.get(tenant) == counting_term:
            return []
        self.complete_terms[tenant] = counting_term
        missing = [
            (name, local)
            for name, local in self.sums.items()
            if name >> INTERVAL_SLOT_BITS == tenant and local.counting_term != counting_term
        ]
        for _, local in missing:
            local.counting_term = counting_term
        return [(name, local.added) for name, local in missing]

    def mark_missing(self, counter_name: int) -> None:
        """Records that a repeated sum may not have arrived."""
        self.complete_terms.pop(counter_name >> INTERVAL_SLOT_BITS, None)
        if counter_name in self.sums:  # else it has expired
            self.sums[counter_name].counting_term = UNKNOWN_TERM

    def remove_expired(self, now: float) -> None:
        """Forgets sums of counters that are kept no more."""
        expired = [name for name, local in self.sums.items() if local.expires_at < now]
        for name in expired:
            del self.sums[name]
