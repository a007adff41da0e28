"""The registry's side of the counting lease: whether it counts, whether it asks, and whom.

Pure: the clock's reading is given, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from loomstand.rpc.messages.counting_lease_messages import CountingLeaseRequest
from loomstand.rpc.messages.rows import CountingTermRow
from loomstand.rpc.network import Address

# Between two requests of the registry that holds the lease: a third of its length.
RENEWAL_INTERVAL_SECONDS = 0.4
# A term that nobody repeats makes way for a lower one after this: the store began anew.
TERM_EXPIRY_SECONDS = 3.0
# After a request in vain; stores delay a request for as long as nobody serves.
RETRY_SECONDS = 0.2
# By so many numbers a term of this registry's own may be ahead of its former one, in one epoch, if
# nobody else counted meanwhile: another holder takes two, its own and that of its release.
MAX_OWN_TERM_STEPS = 3


class CountingTerm(NamedTuple):
    """A term of the counting lease; terms are totally ordered.

    Attributes:
        epoch: Epoch of the store's primary that granted the lease.
        number: Number of the holder under that primary.
    """

    epoch: int
    number: int


NO_TERM = CountingTerm(0, 0)


@dataclass(slots=True)
class CountingLease:
    """The counting lease as one registry knows it.

    Attributes:
        host: This registry's IP address.
        incarnation: Number of this registry's start, drawn by it.
        expires_at: Until when this registry counts.
        term: The newest term known.
        observed_at: When another program last spoke of that term.
        holder: Host that holds the lease, or may have it first; empty where any may.
        last_holder: The last host that held it.
        has_gap: Whether another may have counted since this one did: its counts lack some.
        primary: Address of the store's primary, as far as it is known.
        has_lost_primary: Whether that one didn't answer: another store may be primary.
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
        """Returns whether this registry counts now."""
        return now < self.expires_at

    def observe(self, now: float, primary: Address | None, row: CountingTermRow | None) -> bool:
        """Takes in what a store or another registry says.

        Args:
            now: The clock's reading.
            primary: Address of the store's primary, if the sender knows it.
            row: The newest term, if the sender knows it.

        Returns:
            Whether limiters need to hear of it.
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
        """Returns whether nobody else can have counted between the term known and that one."""
        if holder and holder != self.host:
            return False
        is_same_epoch = term.epoch == self.term.epoch
        steps = term.number - self.term.number
        if self.holder == self.host:
            return not is_same_epoch or steps <= MAX_OWN_TERM_STEPS
        return term == self.term or (is_same_epoch and not self.holder and steps <= 1)

    def may_request(self) -> bool:
        """Returns whether it is this registry's turn to ask: nobody else holds the lease."""
        return self.term != NO_TERM and self.holder in ("", self.host)

    def stores_to_ask(self, stores: list[Address]) -> list[Address]:
        """Returns the primary; where it isn't known all stores, as each may be about to be it."""
        if self.has_lost_primary or self.primary is None:
            return stores
        return [self.primary]

    def request(self, is_release: bool = False) -> CountingLeaseRequest:
        """Returns the message by which this registry asks for the lease, or gives it back."""
        return CountingLeaseRequest(
            host=self.host, incarnation=self.incarnation, is_release=is_release
        )

    def extend(self, sent_at: float, lease_seconds: float) -> None:
        """Takes a grant in, which counts from the request's sending: the primary's is later."""
        self.expires_at = max(self.expires_at, sent_at + lease_seconds)

    def release(self) -> CountingLeaseRequest:
        """Ends the lease here, and returns the message by which it is given back."""
        self.expires_at = 0.0
        return self.request(is_release=True)

    def delay_seconds(self, now: float) -> float:
        """Returns how long to wait until the next request."""
        return (
            RENEWAL_INTERVAL_SECONDS
            if self.is_held(now) and not self.has_lost_primary
            else RETRY_SECONDS
        )
