"""Counters and credits for limiters, served while this registry holds the counting lease.

The service requests the lease from the store, renews it, and releases it when the registry stops.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable

from loomstand.config.configuration import Tenant
from loomstand.registry.configuration_cache import STARTUP_SECONDS
from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.counters import Counters
from loomstand.registry.counting_lease import CountingLease
from loomstand.registry.quota_buckets import INTERVAL_SLOT_BITS, QuotaBuckets
from loomstand.registry.quota_grants import QuotaGrants
from loomstand.rpc.client import call
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Acknowledgement
from loomstand.rpc.messages.counting_lease_messages import CountingLeaseResponse
from loomstand.rpc.messages.quota_messages import (
    CreditRequest,
    CreditResponse,
    IncrementRequest,
    IncrementResponse,
)
from loomstand.rpc.messages.rows import CounterEndpointRow, CountingTermRow
from loomstand.rpc.messages.session_messages import TenantTotalRow
from loomstand.rpc.network import Address

# Timeout of a lease request to a store.
LEASE_TIMEOUT_SECONDS = 0.4
# Bits of the random numbers that identify this start of the registry, and each set of counters.
INCARNATION_BITS = 32
COUNTERS_TERM_BITS = 24
# Error text for a limiter that calls a registry without the lease.
NOT_COUNTING = "another counts"


class CountingService:
    """Counters, quota buckets and credit grants under the counting lease.

    Attributes:
        lease: The counting lease as this registry knows it.
        counters: The sums that limiters increment.
        quota_buckets: The buckets that show which tenants are near their limit.
        grants: The credits granted to limiters.
    """

    def __init__(self, context: RegistryContext, state: RegistryState) -> None:
        self._context = context
        self._notifier = context.notifier
        self._limiters = state.limiters
        self._configuration = state.configuration
        self._started_at = context.clock()
        self._term_changed = asyncio.Event()
        self.lease = CountingLease(context.host, context.rng.getrandbits(INCARNATION_BITS))
        self.counters = Counters(0)
        self.quota_buckets = QuotaBuckets()
        self.grants = QuotaGrants(context.settings.bounds)

    # calls of limiters

    async def handle_increment(self, request: IncrementRequest) -> IncrementResponse:
        """Increments a counter for a limiter."""
        now = self._require_lease()
        counters = self.counters
        name, step = request.counter_name, request.step
        total = counters.add(name, step, request.retention_seconds, now)
        is_incomplete = counters.is_incomplete(now)
        if self.quota_buckets.record(name, step, total, now, not is_incomplete):
            self._notifier.notify()
        if is_incomplete:
            return IncrementResponse(total=total, counting_term=counters.term, is_incomplete=True)
        return IncrementResponse(total=total, counting_term=counters.term)

    async def handle_credits(self, request: CreditRequest) -> CreditResponse:
        """Records the credits that a limiter holds, and grants more."""
        now = self._require_lease()
        self.grants.advance(now, self._limiters.ranks)
        grants = self.grants.handle_request(request, now)
        return CreditResponse(grant_term=self.grants.term, grants=grants)

    def _require_lease(self) -> float:
        now = self._context.clock()
        if not self.lease.is_held(now):
            raise CallRefusedError(NOT_COUNTING)
        return now

    # used by the other parts of the registry

    def is_counting(self, now: float) -> bool:
        """Returns whether this registry holds the counting lease."""
        return self.lease.is_held(now)

    def own_term(self, now: float) -> CountingTermRow | None:
        """Returns this registry's term, None if it doesn't hold the lease."""
        if not self.lease.is_held(now):
            return None
        return CountingTermRow(*self.lease.term, self.lease.host)

    def endpoint(self) -> CounterEndpointRow | None:
        """Returns the address of the registry that counts, None if it is unknown."""
        holder = self.lease.last_holder
        if not holder:
            return None
        address = self._context.settings.registry_address(holder)
        return CounterEndpointRow(*address, *self.lease.term)

    def totals_since(self, revision: int) -> list[TenantTotalRow]:
        """Returns the totals of tenants near their limit that changed after a revision."""
        return [
            TenantTotalRow(
                bucket.counter_name,
                bucket.total,
                int(self.grants.is_closed(bucket.counter_name >> INTERVAL_SLOT_BITS)),
            )
            for bucket in self.quota_buckets.changed_since(revision)
        ]

    def update_quotas(self, tenants: Iterable[Tenant], is_previous_known: bool) -> None:
        """Applies changed quotas.

        Args:
            tenants: The tenants of the cached configuration.
            is_previous_known: Whether the previous quotas were known, or known not to exist. Else
                credits of a new tenant may have been granted before.
        """
        self.quota_buckets.update_quotas(tenants)
        is_counting = is_previous_known and self.lease.is_held(self._context.clock())
        self.grants.update_quotas(tenants, is_counting)

    def expire(self, now: float) -> None:
        """Removes expired counters and credits."""
        self.counters.expire(now)
        self.grants.expire(now, self._limiters.ranks)

    def observe_term(self, primary: Address | None, term: CountingTermRow | None) -> None:
        """Applies the primary and counting term that a store or another registry reports."""
        lease = self.lease
        primary_before = lease.primary
        term_before = lease.term
        if lease.observe(self._context.clock(), primary, term):
            self._notifier.notify_system_state()
        if lease.has_gap and not lease.is_held(self._context.clock()):
            lease.has_gap = False
            self._reset()
        if (primary_before, term_before) != (lease.primary, lease.term):
            self._term_changed.set()

    def _reset(self) -> None:
        """Replaces counters and grants by new ones, as another registry may have counted."""
        now = self._context.clock()
        counters_term = self._context.rng.getrandbits(COUNTERS_TERM_BITS)
        is_successor = now > self._started_at + STARTUP_SECONDS
        self.counters = Counters(counters_term, is_successor)
        self.quota_buckets.reset()
        is_unused = self._configuration.was_recently_empty(self._context.clock())
        self.grants.reset(counters_term, now, is_unused)

    # the lease

    def stop(self) -> None:
        """Wakes `run`, which ends once the registry is stopping."""
        self._term_changed.set()

    async def run(self) -> None:
        """Requests and renews the lease while no other host holds it; releases it at the end."""
        lease = self.lease
        while not self._context.is_stopping:
            self._term_changed.clear()
            if lease.may_request():
                stores = lease.stores_to_ask(self._context.stores())
                granted = await asyncio.gather(*(self.request_lease(store) for store in stores))
                lease.has_lost_primary = not any(granted)
            delay_seconds = None
            if lease.may_request():
                delay_seconds = lease.delay_seconds(self._context.clock())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_seconds):
                    await self._term_changed.wait()
        if lease.is_held(self._context.clock()):
            await self._release_lease()

    async def request_lease(self, store: Address) -> bool:
        """Requests the lease from one store, which may be or become the primary.

        Returns:
            Whether it granted the lease.
        """
        sent_at = self._context.clock()
        result = await call(
            self._context.network,
            store,
            self.lease.request(),
            CountingLeaseResponse,
            LEASE_TIMEOUT_SECONDS,
        )
        if result.is_ok():
            self.observe_term(store, result.ok.counting_term)
            self.lease.extend(sent_at, result.ok.lease_seconds)
        return result.is_ok()

    async def _release_lease(self) -> None:
        request = self.lease.release()
        # sent to all stores: while this machine shuts down, another store may become the primary
        releases = (
            call(self._context.network, store, request, Acknowledgement, LEASE_TIMEOUT_SECONDS)
            for store in self._context.stores()
        )
        await asyncio.gather(*releases)
