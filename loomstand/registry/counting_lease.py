"""The counting lease as known to a registry: who holds it, and when and where to request it.

The holder is the only registry that counts quota use. The store's primary grants the lease
(`store/counting_lease.py`). Pure: the clock's reading is an argument, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from loomstand.rpc.messages.counting_lease_messages import CountingLeaseRequest
from loomstand.rpc.messages.rows import CountingTermRow
from loomstand.rpc.network import Address

# Interval between renewals by the holder: a third of the lease's length.
RENEWAL_INTERVAL_SECONDS = 0.4
# A term that isn't reported for this time may be replaced by a lower one, as operators may have
# re-created the store.
TERM_EXPIRY_SECONDS = 3.0
# Delay after a failed request; stores also delay their answer while there is no primary.
RETRY_SECONDS = 0.2
# Largest difference between the numbers of two terms of this registry, in one epoch, at which no
# other registry can have held the lease in between: another holder raises the number twice more, at
# the start and at the end of its term.
MAX_OWN_TERM_DIFFERENCE = 3


class CountingTerm(NamedTuple):
    """A term of the counting lease; terms are ordered by epoch, then by number.

    Attributes:
        epoch: Epoch of the store's primary that granted the lease.
        number: Number of the term under that primary.
    """

    epoch: int
    number: int


NO_TERM = CountingTerm(0, 0)


@dataclass(slots=True)
class CountingLease:
    """State of the counting lease at one registry.

    Attributes:
        host: This registry's IP address.
        incarnation: Random number drawn at this registry's start.
        expires_at: Time at which the lease expires if this registry holds it; else in the past.
        term: The newest term known.
        observed_at: Time of the last report of that term by a store or another registry.
        holder: Host that holds the lease or has priority for the next one; empty if any registry
            may request it.
        last_holder: The last host that held the lease.
        has_gap: Whether another registry may have counted since this registry did, so that the
            counts here are incomplete.
        primary: Address of the store's primary, None if unknown.
        has_lost_primary: Whether the primary didn't answer, so that another store may be primary.
    """

    host: str
    incarnation: int
    expires_at: float = 0.0
    term: CountingTerm = NO_TERM
    observed_at: float = 0.0
    holder: str = ""
    last_holder: str = ""
    has_gap: bool = False
    primary: Address | None = None
    has_lost_primary: bool = False

    def is_held(self, now: float) -> bool:
        """Returns whether this registry holds the lease."""
        return now < self.expires_at

    def observe(self, now: float, primary: Address | None, row: CountingTermRow | None) -> bool:
        """Applies the primary and the term that a store or another registry reports.

        Args:
            now: The clock's reading.
            primary: Address of the store's primary, if the sender knows it.
            row: The newest term, if the sender knows it.

        Returns:
            Whether limiters must be notified.
        """
        if primary is not None and primary != self.primary:
            self.primary = primary
            self.has_lost_primary = False
        if row is None:
            return False
        term = CountingTerm(row.epoch, row.number)
        if term < self.term and now - self.observed_at < TERM_EXPIRY_SECONDS:
            return False
        self.observed_at = now
        self.has_gap = self.has_gap or not self._is_uninterrupted(term, row.holder)
        last_holder_before = self.last_holder
        self.term = term
        self.holder = row.holder
        self.last_holder = self.holder or self.last_holder
        return self.last_holder != last_holder_before

    def _is_uninterrupted(self, term: CountingTerm, holder: str) -> bool:
        """Returns whether no other registry can have counted between the known term and `term`."""
        if holder and holder != self.host:
            return False
        is_same_epoch = term.epoch == self.term.epoch
        difference = term.number - self.term.number
        if self.holder == self.host:
            return not is_same_epoch or difference <= MAX_OWN_TERM_DIFFERENCE
        return term == self.term or (is_same_epoch and not self.holder and difference <= 1)

    def may_request(self) -> bool:
        """Returns whether this registry may request the lease, as no other host holds it."""
        return self.term != NO_TERM and self.holder in ("", self.host)

    def stores_to_ask(self, stores: list[Address]) -> list[Address]:
        """Returns the primary, or all stores if the primary is unknown or doesn't answer."""
        if self.has_lost_primary or self.primary is None:
            return stores
        return [self.primary]

    def request(self, is_release: bool = False) -> CountingLeaseRequest:
        """Returns the message that requests or releases the lease."""
        return CountingLeaseRequest(
            host=self.host, incarnation=self.incarnation, is_release=is_release
        )

    def extend(self, sent_at: float, lease_seconds: float) -> None:
        """Extends the lease, measured from the time at which the request was sent.

        The primary measures it from its response, so its lease ends later.
        """
        self.expires_at = max(self.expires_at, sent_at + lease_seconds)

    def release(self) -> CountingLeaseRequest:
        """Ends the lease here, and returns the message that releases it at the store."""
        self.expires_at = 0.0
        return self.request(is_release=True)

    def delay_seconds(self, now: float) -> float:
        """Returns the time to wait until the next request."""
        return (
            RENEWAL_INTERVAL_SECONDS
            if self.is_held(now) and not self.has_lost_primary
            else RETRY_SECONDS
        )
