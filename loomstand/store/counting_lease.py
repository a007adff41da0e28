"""Who counts for the quotas: the lease that the serving primary grants to one registry at a time.

A state machine without clock, disk or network; every store has one, as any may come to serve. `now`
is always a steady clock's seconds. What holds it together:

- The lease is granted for a span that ends within the primary's own lease. The registry counts the
  span from when it sent its request, the primary from when it answers, and longer by what clocks
  may differ. So whoever serves next, after that lease, needs to know of no registry of before.
- Where a primary goes on before its lease is over, it knows who holds the counting lease. One that
  restarts has the holder on its disk, written before the registry got the lease, and grants nobody
  else one for a lease's length. One that takes over by a transfer hears it from the one before.
- At an address there is one registry: the next incarnation of the holder has the lease at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from loomstand.rpc.messages.replication_messages import LeaseHandoverRow
from loomstand.rpc.messages.rows import CountingTermRow
from loomstand.store.timing import GRANT_SECONDS, LEASE_SECONDS, LONG_AGO

# The longest span: three requests, so that two may be lost.
MAX_SPAN_SECONDS = LEASE_SECONDS

# The primary waits longer by this factor, as clocks' rates may differ by 4 %.
CLOCK_RATE_MARGIN = GRANT_SECONDS / LEASE_SECONDS

# From when a primary begins to serve the holder of before comes first, as it has the counts, if it
# lately asked: its next request is under way or comes within 0.2 s.
PREFER_HOLDER_SECONDS = 0.5

# The registry beside the primary comes before others, as its requests cost no bytes between zones:
# where both start together, it looks for its store every 0.1 s.
PREFER_LOCAL_SECONDS = 0.15

# What counts as lately: one that asks in vain asks twice in that time.
RECENT_REQUEST_SECONDS = 1.0


class HolderPage(NamedTuple):
    """What is on disk of the counting lease.

    Attributes:
        number: Number of the holder under this primary.
        holder: Host of the registry that holds the lease.
    """

    number: int
    holder: str


@dataclass(slots=True)
class CountingLease:
    """The counting lease as one store knows it.

    Attributes:
        local_host: The host of this store.
        number: Number of the holder under the primary of `epoch`.
        holder: The host that has the lease or may have it first; empty where anybody may.
        incarnation: Number of that registry's start, as it told.
        granted_until: Nobody but the holder gets the lease before.
        prefer_holder_until: Nor before that, for the counts' sake.
        prefer_local_until: Until when the registry beside comes first where anybody may.
        persisted_page: What is on disk for sure, see `page`.
        asked_at: When a registry last asked here in vain, by its host.
        epoch: Epoch of the primary that last told who holds it.
    """

    local_host: str
    number: int = 0
    holder: str = ""
    incarnation: int = 0
    granted_until: float = LONG_AGO
    prefer_holder_until: float = LONG_AGO
    prefer_local_until: float = LONG_AGO
    persisted_page: HolderPage | None = None
    asked_at: dict[str, float] = field(default_factory=dict)
    epoch: int = 0

    # --- what outlives a primary

    def page(self, host: str) -> HolderPage:
        """What has to be on disk before the lease is granted to `host`, or prolonged."""
        return HolderPage(self.number + (host != self.holder), host)

    def restore(self, started_at: float, epoch: int, page: HolderPage) -> None:
        """After a restart of the primary of `epoch`: the holder on its disk may still count."""
        # numbers told go up to one above the page's: that somebody's span was over isn't written
        self.epoch = epoch
        self.number = page.number + 2
        self.holder = page.holder
        self.granted_until = started_at + GRANT_SECONDS

    def to_handover(self, now: float) -> LeaseHandoverRow:
        """For the next primary, where this one transfers leadership."""
        remaining_seconds = max(0.0, self.granted_until - now) if self.holder else 0.0
        return LeaseHandoverRow(
            self.epoch, self.number, self.holder, self.incarnation, remaining_seconds
        )

    def take_handover(self, now: float, handover: LeaseHandoverRow) -> None:
        """The primary before told what it knows."""
        self.epoch = handover.epoch
        self.number = handover.number
        self.holder = handover.holder
        self.incarnation = handover.incarnation
        self.persisted_page = None
        remaining_seconds = CLOCK_RATE_MARGIN * handover.remaining_seconds
        self.granted_until = max(self.granted_until, now + remaining_seconds)

    def observe(self, epoch: int, number: int, holder: str) -> None:
        """The serving primary of `epoch` tells who holds the lease; older words change nothing."""
        if (epoch, number) <= (self.epoch, self.number):
            return
        if epoch > self.epoch:  # that one serves, so it knows who may have it, or that nobody can
            self.persisted_page = None
            self.granted_until = LONG_AGO
        self.epoch = epoch
        self.number = number
        self.holder = holder
        self.incarnation = 0

    def term(self) -> CountingTermRow | None:
        """Who holds the lease under which term, as it is known; None if it isn't."""
        if not self.epoch:
            return None
        return CountingTermRow(self.epoch, self.number, self.holder)

    # --- as the primary that serves

    def begin(self, now: float) -> None:
        """This member begins to serve."""
        asked_lately = now - self.asked_at.get(self.holder, LONG_AGO) < RECENT_REQUEST_SECONDS
        is_preferred = self.holder and asked_lately
        self.prefer_holder_until = now + PREFER_HOLDER_SECONDS if is_preferred else now
        self.prefer_local_until = now + PREFER_LOCAL_SECONDS
        self.asked_at.clear()

    def is_granted(self, now: float) -> bool:
        """Whether somebody may have the lease by this member's word or knowledge."""
        return now < self.granted_until

    def expire(self, now: float) -> bool:
        """Forgets the holder whose lease is over; whether there was one."""
        if not self.holder or now < max(self.granted_until, self.prefer_holder_until):
            return False
        # it has just failed to ask
        delay = PREFER_LOCAL_SECONDS if self.holder != self.local_host else 0.0
        self.prefer_local_until = now + delay
        self._set_holder("", 0)
        return True

    def request_delay(self, now: float, host: str) -> float:
        """Seconds for which a request waits, so that the registry beside comes first."""
        if self.holder or host == self.local_host:
            return 0.0
        return self.prefer_local_until - now

    def _set_holder(self, host: str, incarnation: int) -> None:
        self.number += 1
        self.holder = host
        self.incarnation = incarnation

    def may_grant(self, now: float, host: str) -> bool:
        """Whether `host` gets the lease if it asks."""
        return host == self.holder or now >= max(self.granted_until, self.prefer_holder_until)

    def grant(self, now: float, host: str, incarnation: int, primary_lease_seconds: float) -> float:
        """Grants the lease to a registry; `page` is on disk where another had it.

        Args:
            now: The present.
            host: The registry's host.
            incarnation: Number of its start.
            primary_lease_seconds: For how long this member still serves.

        Returns:
            The seconds for which it has the lease from the sending of its request, 0 if it hasn't.
        """
        if primary_lease_seconds <= 0.0 or not self.may_grant(now, host):
            return 0.0
        if host != self.holder:
            self._set_holder(host, incarnation)
        span_seconds = min(MAX_SPAN_SECONDS, primary_lease_seconds)
        self.incarnation = incarnation
        self.granted_until = max(self.granted_until, now + CLOCK_RATE_MARGIN * span_seconds)
        return span_seconds

    def release(self, host: str, incarnation: int) -> bool:
        """That start of the registry gives the lease back; whether it had it."""
        if not self.holder or (host, incarnation) != (self.holder, self.incarnation):
            return False
        self._set_holder("", 0)
        self.granted_until = LONG_AGO
        self.prefer_holder_until = LONG_AGO
        return True
