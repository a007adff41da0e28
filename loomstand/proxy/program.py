"""The proxy program: connects clients, the decision engine, servers and registries.

Creates, starts and stops the components of the proxy, and passes updates from the registries to
them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from math import inf
from random import Random

from absl import logging

from loomstand.admission.endpoints import Endpoint
from loomstand.admission.events import EndpointsUpdated, SettingsChanged, TenantTotalUpdated
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector, Streams
from loomstand.proxy.admission_adapter import AdmissionAdapter
from loomstand.proxy.client_limits import ClientLimitUpdates
from loomstand.proxy.counter_client import CounterClient
from loomstand.proxy.credit_client import CreditClient
from loomstand.proxy.readiness import ReadinessEndpoint
from loomstand.proxy.sessions import Sessions
from loomstand.proxy.shared_clock import SharedClock
from loomstand.registry.instances import MAX_MISSED_HEARTBEATS
from loomstand.registry.quota_buckets import INTERVAL_SLOT_BITS
from loomstand.rpc.messages.rows import InstanceRow
from loomstand.rpc.messages.session_messages import LimiterSetRow, TenantTotalRow
from loomstand.rpc.network import Network

SWEEP_INTERVAL_SECONDS = 1.0
# After SIGTERM, new connections arrive until two readiness checks, one second apart, have failed.
LINGER_SECONDS = 2.5
# Share of the grace period after which requests aren't waited for: SIGKILL would close their
# connections. A server that is at work until the last sixth of the period is waited for.
ANSWER_BY_SHARE = 11 / 12


class Proxy(AdmissionAdapter):
    """The proxy: serves clients and follows the registries' updates.

    Attributes:
        sessions: The sessions with the registries.
        shared_clock: The clock that determines the interval in counter names.
        client_limits: The limits on clients' connections.
        readiness: The readiness endpoint for the platform.
        answer_by: Loop time until which requests wait for servers; infinite before `stop`.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        rng: Random,
        arrival_clock: ArrivalClockSelector | None = None,
        streams: Streams | None = None,
    ) -> None:
        """Creates a proxy that doesn't serve yet.

        Args:
            settings: Settings from the settings file.
            network: Network for calls to registries.
            rng: Random generator for all random choices.
            arrival_clock: The event loop's selector, if it records when bytes arrive.
            streams: Replacement for real sockets, as in simulations.
        """
        super().__init__(settings, rng, arrival_clock, streams)
        self.client_limits = ClientLimitUpdates(
            self.listener, self.loop, self.memory_budget.available
        )
        self.sessions = Sessions(settings, network, self.loop.time, rng, self)
        self.readiness = ReadinessEndpoint(lambda: self.is_ready, arrival_clock, streams)
        self.shared_clock = SharedClock()
        self.answer_by = inf
        self.counter_client = CounterClient(
            self.sessions, self.loop, self.now, self.counter_replied
        )
        self.credit_client = CreditClient(
            self.sessions,
            settings.node_name,
            self.credits,
            self.loop.time,
            self.queue.release_ready,
        )

    async def run(self) -> None:
        """Serves until `stop` is called and all accepted requests are answered."""
        self.loop.set_exception_handler(self.on_loop_exception)
        addresses = self.settings.listen_addresses
        if addresses.frontend is None or addresses.readiness is None:
            raise ValueError("the settings state no address for clients or for readiness")
        await self.readiness.listen(addresses.readiness)
        await self.listener.listen(addresses.frontend)
        logging.info("proxy: listening address=%s:%d", *addresses.frontend)
        self.sessions.start()
        self.loop.call_later(SWEEP_INTERVAL_SECONDS, self.sweep)
        credit_task = self.loop.create_task(self.credit_client.run())
        await self.stopped.wait()
        credit_task.cancel()
        await self.sessions.stop()
        self.readiness.stop()
        for error in await asyncio.gather(credit_task, return_exceptions=True):
            if isinstance(error, Exception):
                logging.error("proxy: credit_client_failed error=%r", error)

    def stop(self) -> None:
        """Begins a graceful shutdown; what is owed is answered before the grace period ends."""
        if not self.listener.stopping:
            grace_seconds = self.settings.bounds.grace_period_seconds
            self.answer_by = self.loop.time() + ANSWER_BY_SHARE * grace_seconds
        super().stop()

    def finish(self) -> None:
        """Finishes once all is answered, and no longer waits for servers after `answer_by`."""
        if self.loop.time() >= self.answer_by:
            self.answer_unfinished()
        super().finish()

    def linger_seconds(self) -> float:
        """Returns the seconds for which new connections are accepted after `stop`."""
        return LINGER_SECONDS

    def reload(self, settings: Settings) -> None:
        """Applies a changed settings file."""
        self.settings = settings
        self.sessions.reload(settings)

    def on_sweep(self) -> None:
        """Updates the state that depends on time alone; called once a second."""
        self._mark_unlisted_silent()
        self.update_readiness()
        self.counter_client.replay.remove_expired(self.loop.time())
        failures = self.failures.take_report()
        if failures is not None:
            self.log(failures)

    def _mark_unlisted_silent(self) -> None:
        """Takes servers out of use that no registry lists since all of them restarted.

        Registries that have run for as long as it takes to call a server silent know of all.
        """
        silent_after_seconds = MAX_MISSED_HEARTBEATS * self.settings.heartbeat_seconds
        if self.sessions.are_complete(silent_after_seconds):
            self._apply_endpoints(self.endpoints.mark_unlisted_silent())

    def _apply_endpoints(self, changed: tuple[Endpoint, ...]) -> None:
        if changed:
            self.handle_event(EndpointsUpdated(changed, False))
            self.update_readiness()
            self.queue.release_ready()

    def update_readiness(self) -> None:
        """Updates readiness: requires the newest configuration and at least one known server."""
        is_ready = (
            self.configuration.table is not None
            and self.configuration.is_current(self.loop.time())
            and bool(self.endpoints.live_by_service)
            and not self.listener.stopping
        )
        if is_ready != self.is_ready:
            self.is_ready = is_ready
            logging.info("proxy: readiness_changed ready=%s", is_ready)

    def update_engine_settings(self) -> None:
        """Sends the current settings to the decision engine."""
        settings = self.policy.engine_settings(self.limiters, self.shared_clock.offset)
        self.handle_event(SettingsChanged(settings))

    # updates from the registries: see `sessions.SessionListener`

    def update_instances(
        self, registry: str, rows: Sequence[InstanceRow], is_new_session: bool
    ) -> None:
        """Applies changes of servers."""
        self._apply_endpoints(self.endpoints.update(registry, rows, is_new_session))

    def update_limiters(self, limiters: LimiterSetRow) -> None:
        """Applies a change of the set of limiters that share the quotas."""
        total = max(1, limiters.total)
        newest = LimiterSetRow(rank=limiters.rank, total=total, silent=limiters.silent)
        if newest != self.limiters:
            self.limiters = newest
            self.credits.set_limiter_count(total)
            self.update_engine_settings()

    def update_tenant_totals(self, totals: Sequence[TenantTotalRow]) -> None:
        """Applies totals of tenants near their limit.

        While a tenant's bucket is closed, a request of the tenant is admitted only with a credit.
        """
        for row in totals:
            digest = row.counter_name >> INTERVAL_SLOT_BITS
            if row.is_closed:
                self.credits.mark_near_limit(digest, self.loop.time())
            plan = self.policy.plan_by_digest.get(digest)
            if plan is not None:
                self.handle_event(
                    TenantTotalUpdated(row.counter_name, row.total, plan, plan, digest)
                )

    def update_clock(self, shared_clock: int | None, is_current: bool) -> None:
        """Applies a registry's clock, and whether the configuration in force is the newest."""
        self.configuration.record_confirmation(is_current, self.loop.time())
        if shared_clock is not None and self.shared_clock.observe(shared_clock, self.now()):
            offset_seconds = self.shared_clock.offset / TICKS_PER_SECOND
            logging.info("proxy: shared_clock_moved offset_s=%.3f", offset_seconds)
            self.update_engine_settings()
        self.update_readiness()

    def apply_configuration(self, version: int, data: bytes) -> bool:
        """Puts a newer configuration into force; returns False if it is invalid."""
        configuration = self.configuration.apply(version, data)
        if configuration is None:
            return False
        self.credit_client.is_short.set()
        self.client_limits.apply(configuration.limits)
        self.update_engine_settings()
        self.update_readiness()
        self.queue.release_ready()
        return True

    def shared_clock_reading(self) -> int | None:
        """Returns the shared clock in ticks; None if no registry has reported it."""
        return self.now() + self.shared_clock.offset if self.shared_clock.is_set else None
