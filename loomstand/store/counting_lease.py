"""The counting lease, which the serving primary grants to one registry at a time.

Its holder is the only registry that counts quota use. The lease is a state machine without clock,
disk or network; every store has one, as any may become primary. `now` is in seconds of a monotonic
clock. At most one registry holds the lease, for these reasons:

- The granted span ends within the primary's own lease. The registry measures it from sending its
  request; the primary measures it from its response, lengthened by the tolerated clock drift. So a
  primary that serves only after the previous lease has expired needs no record of its grants.
- A primary that serves before the previous lease has expired knows the holder. After a restart it
  reads the holder from its disk, where it was written before the grant, and grants the lease to no
  other registry for one lease period. After a leadership transfer its predecessor has reported the
  holder.
- One address has one registry: a new incarnation of the holder gets the lease at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from loomstand.rpc.messages.replication_messages import LeaseHandoverRow
from loomstand.rpc.messages.rows import CountingTermRow
from loomstand.store.timing import GRANT_SECONDS, LEASE_SECONDS, LONG_AGO

# Longest granted span; the holder sends three requests within it, so two may be lost.
MAX_SPAN_SECONDS = LEASE_SECONDS

# The primary measures a granted span longer by this factor: clock rates may differ by 4 %.
CLOCK_RATE_MARGIN = GRANT_SECONDS / LEASE_SECONDS

# A new primary reserves the lease for the previous holder, which has the counts, if that registry
# recently requested it: the registry's next request is in progress or follows within 0.2 s.
PREFER_LAST_HOLDER_SECONDS = 0.5

# The registry on the primary's machine is preferred, as its requests cause no traffic between
# zones. When both start together, the registry looks for the store every 0.1 s.
PREFER_LOCAL_SECONDS = 0.15

# Age limit of a recent request; a registry without the lease requests it twice in that time.
RECENT_REQUEST_SECONDS = 1.0


class HolderPage(NamedTuple):
    """The part of the counting lease that is stored on disk.

    Attributes:
        number: Number of the term under this primary; each change of the holder raises it by one.
        holder: Host of the registry that holds the lease.
    """

    number: int
    holder: str


@dataclass(slots=True)
class CountingLease:
    """State of the counting lease at one store.

    Attributes:
        local_host: The host of this store.
        number: Number of the term under the primary of `epoch`, see `HolderPage`.
        holder: Host that holds the lease or is preferred for it; empty if any registry may get it.
        incarnation: Random number that the holder chose at its start, from its request.
        granted_until: Time until which no registry but the holder gets the lease.
        prefer_holder_until: Time until which the lease is reserved for the holder, which has the
            counts.
        prefer_local_until: Time until which the registry on this machine is preferred, if there is
            no holder.
        persisted_page: The page known to be on disk, None if that is uncertain; see `page`.
        asked_at: Time of the last request while this store didn't serve, by the registry's host.
        epoch: Epoch of the primary that last reported the holder.
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

    # --- state kept across a restart or change of the primary

    def page(self, host: str) -> HolderPage:
        """Returns the page to have on disk before the lease is granted to `host` or renewed."""
        return HolderPage(self.number + (host != self.holder), host)

    def restore(self, started_at: float, epoch: int, page: HolderPage) -> None:
        """Restores the lease after a restart of the primary of `epoch`.

        The holder on its disk may still be counting.
        """
        # the number reported before may be one above the page's, as an expiry isn't written to disk
        self.epoch = epoch
        self.number = page.number + 2
        self.holder = page.holder
        self.granted_until = started_at + GRANT_SECONDS

    def to_handover(self, now: float) -> LeaseHandoverRow:
        """Returns the state for the next primary when this one transfers leadership."""
        remaining_seconds = max(0.0, self.granted_until - now) if self.holder else 0.0
        return LeaseHandoverRow(
            self.epoch, self.number, self.holder, self.incarnation, remaining_seconds
        )

    def apply_handover(self, now: float, handover: LeaseHandoverRow) -> None:
        """Adopts the state reported by the previous primary."""
        self.epoch = handover.epoch
        self.number = handover.number
        self.holder = handover.holder
        self.incarnation = handover.incarnation
        self.persisted_page = None
        remaining_seconds = CLOCK_RATE_MARGIN * handover.remaining_seconds
        self.granted_until = max(self.granted_until, now + remaining_seconds)

    def observe(self, epoch: int, number: int, holder: str) -> None:
        """Records the holder reported by the serving primary of `epoch`; ignores older reports."""
        if (epoch, number) <= (self.epoch, self.number):
            return
        if epoch > self.epoch:  # a new primary serves only if it knows all unexpired grants
            self.persisted_page = None
            self.granted_until = LONG_AGO
        self.epoch = epoch
        self.number = number
        self.holder = holder
        self.incarnation = 0

    def term(self) -> CountingTermRow | None:
        """Returns the last known term and holder of the lease, None if there is none."""
        if not self.epoch:
            return None
        return CountingTermRow(self.epoch, self.number, self.holder)

    # --- as the serving primary

    def begin(self, now: float) -> None:
        """Prepares the lease as this member begins to serve."""
        asked_recently = now - self.asked_at.get(self.holder, LONG_AGO) < RECENT_REQUEST_SECONDS
        is_preferred = self.holder and asked_recently
        self.prefer_holder_until = now + PREFER_LAST_HOLDER_SECONDS if is_preferred else now
        self.prefer_local_until = now + PREFER_LOCAL_SECONDS
        self.asked_at.clear()

    def is_granted(self, now: float) -> bool:
        """Whether a registry may still hold the lease by a grant known to this member."""
        return now < self.granted_until

    def expire(self, now: float) -> bool:
        """Clears the holder once its lease has expired.

        Returns:
            Whether a holder was cleared.
        """
        if not self.holder or now < max(self.granted_until, self.prefer_holder_until):
            return False
        # the local registry gets no preference if it has just failed to renew
        delay = PREFER_LOCAL_SECONDS if self.holder != self.local_host else 0.0
        self.prefer_local_until = now + delay
        self._set_holder("", 0)
        return True

    def request_delay(self, now: float, host: str) -> float:
        """Returns the seconds by which a request is delayed in favour of the local registry."""
        if self.holder or host == self.local_host:
            return 0.0
        return self.prefer_local_until - now

    def _set_holder(self, host: str, incarnation: int) -> None:
        self.number += 1
        self.holder = host
        self.incarnation = incarnation

    def may_grant(self, now: float, host: str) -> bool:
        """Whether a request of `host` for the lease would be granted."""
        return host == self.holder or now >= max(self.granted_until, self.prefer_holder_until)

    def grant(self, now: float, host: str, incarnation: int, primary_lease_seconds: float) -> float:
        """Grants the lease to a registry; the caller has written `page` to disk.

        Args:
            now: Monotonic time in seconds.
            host: The registry's host.
            incarnation: Random number that the registry chose at its start.
            primary_lease_seconds: Remaining lease of this member as primary.

        Returns:
            Length of the lease in seconds, from the sending of the request; 0 if it isn't granted.
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
        """Releases the lease held by this incarnation of a registry.

        Returns:
            Whether it held the lease.
        """
        if not self.holder or (host, incarnation) != (self.holder, self.incarnation):
            return False
        self._set_holder("", 0)
        self.granted_until = LONG_AGO
        self.prefer_holder_until = LONG_AGO
        return True
