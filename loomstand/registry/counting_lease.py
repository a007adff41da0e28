"""The registry's side of the counting lease: when it holds or requests it, and from which stores.

Pure: the clock's reading is an argument, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from loomstand.rpc.messages.counting_lease_messages import CountingLeaseRequest
from loomstand.rpc.messages.rows import CountingTermRow
from loomstand.rpc.network import Address

# Interval between renewals by the holder: a third of the lease's length.
RENEWAL_INTERVAL_SECONDS = 0.4
# A term that isn't reported for this time may be replaced by a lower one: the store was re-founded.
TERM_EXPIRY_SECONDS = 3.0
# Delay after a failed request; stores delay their answer while there is no primary.
RETRY_SECONDS = 0.2
# Largest step between two terms held by this registry in one epoch if no other registry counted in
# between: another holder uses two numbers, one for its term and one for its release.
MAX_OWN_TERM_STEPS = 3


class CountingTerm(NamedTuple):
    """A term of the counting lease; terms are totally ordered.

    Attributes:
        epoch: Epoch of the store's primary that granted the lease.
        number: Number of the term under that primary.
    """

    epoch: int
    number: int


NO_TERM = CountingTerm(0, 0)


@dataclass(slots=True)
class CountingLease:
    """The counting lease as one registry knows it.

    Attributes:
        host: This registry's IP address.
        incarnation: Random number drawn at this registry's start.
        expires_at: Time at which this registry's lease ends.
        term: The newest term known.
        observed_at: Time of the last report of that term by a store or another registry.
        holder: Host that holds the lease or has precedence for it; empty if any host may have it.
        last_holder: The last host that held the lease.
        has_gap: Whether another registry may have counted since this one did, so that the counts
            here are incomplete.
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
        steps = term.number - self.term.number
        if self.holder == self.host:
            return not is_same_epoch or steps <= MAX_OWN_TERM_STEPS
        return term == self.term or (is_same_epoch and not self.holder and steps <= 1)

    def may_request(self) -> bool:
        """Returns whether this registry may request the lease: no other host holds it."""
        return self.term != NO_TERM and self.holder in ("", self.host)

    def stores_to_ask(self, stores: list[Address]) -> list[Address]:
        """Returns the primary, or all stores if it is unknown, as any may become primary."""
        if self.has_lost_primary or self.primary is None:
            return stores
        return [self.primary]

    def request(self, is_release: bool = False) -> CountingLeaseRequest:
        """Returns the message that requests or releases the lease."""
        return CountingLeaseRequest(
            host=self.host, incarnation=self.incarnation, is_release=is_release
        )

    def extend(self, sent_at: float, lease_seconds: float) -> None:
        """Extends the lease from the time the request was sent; the primary counts from later."""
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
