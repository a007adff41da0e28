"""This limiter's sessions with the registries, one for each core machine.

Each core machine runs a registry and a store. In a session the limiter polls a registry for changes
since the revisions that it already has. Calls the registries over the network, and owns the tasks
of the sessions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeVar

import msgspec
from absl import logging
from expression import Error, Result

from loomstand.config.settings import Settings
from loomstand.proxy.configuration_fetcher import FETCH_TIMEOUT_SECONDS, ConfigurationFetcher
from loomstand.proxy.recent_departures import RecentDepartures
from loomstand.rpc import client
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import Acknowledgement, Message, Request
from loomstand.rpc.messages.configuration_messages import OfferRequest
from loomstand.rpc.messages.rows import CounterEndpointRow, InstanceRow
from loomstand.rpc.messages.session_messages import (
    DeregisterRequest,
    LimiterSetRow,
    SessionRequest,
    SessionResponse,
    TenantTotalRow,
)
from loomstand.rpc.network import Address, Network

POLL_TIMEOUT_SECONDS = 1.0  # a registry without changes responds after 0.6 s
# Minimum interval between the starts of two calls to one registry, so that several changes are
# combined into one response. Without it, many changes at once, as at a restart of all programs,
# cause one response per change to every limiter. The first change is not delayed.
POLL_INTERVAL_SECONDS = 0.1
# Time since a registry's last response for which its reports are considered.
ANSWER_VALIDITY_SECONDS = 2.0
DEREGISTER_TIMEOUT_SECONDS = 0.2
# Initial and maximum backoff before the next call to a registry that failed.
BACKOFF_SECONDS = (0.1, 0.5)
# Time after which calls to an unresponsive registry stop if no registry lists it and it isn't a
# seed, as core machines may be replaced.
UNLISTED_SECONDS = 10.0

ValueT = TypeVar("ValueT")
ResponseT = TypeVar("ResponseT", bound=Message)


class SessionListener(Protocol):
    """Receives the updates from the registries."""

    def update_instances(
        self, registry: str, rows: Sequence[InstanceRow], is_new_session: bool
    ) -> None:
        """Called with changed servers, and with all servers in a new session."""

    def update_limiters(self, limiters: LimiterSetRow) -> None:
        """Called with the limiter set of the registry with the most complete information."""

    def update_tenant_totals(self, totals: Sequence[TenantTotalRow]) -> None:
        """Called with the totals of tenants near their limit."""

    def update_clock(self, shared_clock: int | None, is_current: bool) -> None:
        """Called with a registry's clock, and whether the configuration in force is the newest.

        `shared_clock` is in ticks; None if the response doesn't state it.
        """

    def apply_configuration(self, version: int, data: bytes) -> bool:
        """Puts a configuration into force; returns False if it is invalid."""

    def shared_clock_reading(self) -> int | None:
        """Returns the shared clock in ticks; None if unknown to this limiter."""


@dataclass(slots=True)
class SessionState:
    """State of the session with one registry.

    Attributes:
        host: IP address of the registry's machine.
        address: Address of the registry.
        session_id: Number of the session; 0 if none is open.
        instances_revision: Last received revision of the registry's instance table.
        system_state_revision: Last received revision of the registry's system state.
        buckets_revision: Last received revision of the registry's quota buckets.
        is_current: Whether the registry last reported its configuration as the newest.
    """

    host: str
    address: Address
    session_id: int = 0
    instances_revision: int = 0
    system_state_revision: int = -1
    buckets_revision: int = 0
    is_current: bool = False


class Sessions:
    """The sessions with all registries.

    Attributes:
        configuration: Holds the configuration in force and fetches newer ones.
        counters: By registry, the counting registry that it reported.
        limiter_sets: By registry, the limiter set that it reported.
        tasks: By address of a core machine, the task of its session.
        last_listed_at: By core machine, the last time that a registry listed it or it responded.
        last_answer_at: By registry, the time of its last response.
        session_opened_at: By registry, the time at which its session was opened.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        clock: Callable[[], float],
        rng: Random,
        listener: SessionListener,
    ) -> None:
        """`clock` is monotonic, in seconds."""
        self.configuration = ConfigurationFetcher(
            network, clock, lambda version, data: listener.apply_configuration(version, data)
        )
        self.counters: dict[str, CounterEndpointRow] = {}
        self.limiter_sets: dict[str, LimiterSetRow] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.last_listed_at: dict[str, float] = {}
        self.last_answer_at: dict[str, float] = {}
        self.session_opened_at: dict[str, float] = {}
        self._settings = settings
        self._network = network
        self._clock = clock
        self._rng = rng
        self._listener = listener
        self._departures = RecentDepartures()
        self._is_stopping = False

    def start(self) -> None:
        """Starts a session with each seed node."""
        for host, _ in self._settings.seed_nodes:
            self._add_core(host)

    def reload(self, settings: Settings) -> None:
        """Applies changed settings, and starts sessions with new seed nodes."""
        self._settings = settings
        self.start()

    async def stop(self) -> None:
        """Ends the sessions and deregisters, so that the limiter's rank is freed immediately."""
        self._is_stopping = True
        tasks = list(self.tasks.values())
        self.tasks = {}
        for task in tasks:
            task.cancel()
        request = DeregisterRequest(limiter_name=self._settings.node_name)
        calls = [
            client.call(
                self._network,
                self._settings.registry_address(host),
                request,
                Acknowledgement,
                DEREGISTER_TIMEOUT_SECONDS,
            )
            for host in self.last_answer_at
        ]
        await asyncio.gather(*calls)
        for error in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(error, Exception):
                logging.error("proxy: session_failed error=%r", error)

    def counting_registry(self) -> CounterEndpointRow | None:
        """Returns the reported counting registry of the highest term; None if there is none."""
        endpoints = self._recently_reported(self.counters) or list(self.counters.values())
        return max(endpoints, key=_counter_order, default=None)

    def are_complete(self, age_seconds: float) -> bool:
        """Returns whether registries respond and the sessions with all of these have this age.

        Together they list every live server by then, if the age is a few heartbeat intervals.
        """
        opened_at = self._recently_reported(self.session_opened_at)
        return bool(opened_at) and self._clock() - max(opened_at) >= age_seconds

    async def call_counter(
        self, request: Request, response_type: type[ResponseT], timeout_seconds: float
    ) -> Result[ResponseT, CallFailure]:
        """Calls the current counting registry; fails with `NEVER_RAN` if none is known."""
        counter = self.counting_registry()
        if counter is None:
            return Error(CallFailure.NEVER_RAN)
        address = (counter.host, counter.port)
        return await client.call(self._network, address, request, response_type, timeout_seconds)

    def _add_core(self, host: str) -> None:
        self.last_listed_at[host] = self._clock()
        if host not in self.tasks and not self._is_stopping:
            self.tasks[host] = asyncio.get_running_loop().create_task(self._run_session(host))

    async def _run_session(self, host: str) -> None:
        """Polls one registry until it fails and is no longer listed."""
        state = SessionState(host, self._settings.registry_address(host))
        backoff = BACKOFF_SECONDS[0]
        while True:
            request = self._request(state)
            called_at = self._clock()
            result = await client.call(
                self._network, state.address, request, SessionResponse, POLL_TIMEOUT_SECONDS
            )
            if result.is_error():
                if result.error is CallFailure.REFUSED and state.session_id:
                    state.session_id = 0  # the registry has restarted
                    continue
                if self._is_unlisted(host):
                    self.last_answer_at.pop(host, None)
                    del self.tasks[host]
                    return
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(BACKOFF_SECONDS[1], 2 * backoff)
                continue
            backoff = BACKOFF_SECONDS[0]
            await self._handle_response(state, result.ok)
            remaining_seconds = called_at + POLL_INTERVAL_SECONDS - self._clock()
            if remaining_seconds > 0:
                await asyncio.sleep(remaining_seconds)

    def _request(self, state: SessionState) -> SessionRequest:
        if state.session_id:
            return SessionRequest(
                known_instances=state.instances_revision,
                known_system_state_revision=state.system_state_revision,
                known_configuration=self.configuration.version,
                session_id=state.session_id,
                known_buckets=state.buckets_revision,
            )
        return SessionRequest(
            known_instances=state.instances_revision,
            known_system_state_revision=state.system_state_revision,
            known_configuration=self.configuration.version,
            limiter_name=self._settings.node_name,
            shared_clock=self._listener.shared_clock_reading(),
            known_buckets=state.buckets_revision,
            departed_instances=self._departures.instance_ids(self._clock()) or msgspec.UNSET,
        )

    def _is_unlisted(self, host: str) -> bool:
        is_seed = any(host == seed for seed, _ in self._settings.seed_nodes)
        return self._clock() - self.last_listed_at[host] > UNLISTED_SECONDS and not is_seed

    async def _handle_response(self, state: SessionState, response: SessionResponse) -> None:
        self.last_answer_at[state.host] = self.last_listed_at[state.host] = self._clock()
        self._update_instances(state, response)
        if response.tenant_totals is not None:
            state.buckets_revision = response.buckets_revision or 0
            self._listener.update_tenant_totals(response.tenant_totals)
        version = response.configuration_version or 0
        is_newer = version > self.configuration.version
        if response.system_state_revision is not None:
            state.system_state_revision = response.system_state_revision
            state.is_current = bool(response.is_current)
            self._update_system(state.host, response)
            # the configuration in force is the newest only if it is not older than the registry's
            clock = response.shared_clock
            self._listener.update_clock(
                None if isinstance(clock, msgspec.UnsetType) else clock,
                state.is_current and not is_newer,
            )
        if is_newer:
            await self.configuration.fetch(state.address)
            if state.is_current and version <= self.configuration.version:
                self._listener.update_clock(None, True)
        if response.requests_configuration and self.configuration.data:
            await self._offer_configuration(state.address)

    def _update_instances(self, state: SessionState, response: SessionResponse) -> None:
        is_new_session = response.session_id is not None
        if response.session_id is not None:
            state.session_id = response.session_id
            state.buckets_revision = 0
            self.session_opened_at[state.host] = self._clock()
        if response.instances_revision is not None:
            state.instances_revision = response.instances_revision
        if response.instances is not None or is_new_session:
            rows = response.instances or []
            self._departures.record(rows, self._clock())
            self._listener.update_instances(state.host, rows, is_new_session)

    def _update_system(self, host: str, response: SessionResponse) -> None:
        """Applies the core machines, the counting registry and the limiter set of a response.

        The limiter set of the registry that knows the most limiters takes precedence, as a registry
        that has just started doesn't know limiters that can't reach it. Among equals, the registry
        with the fewest silent limiters takes precedence.
        """
        for core_host in response.core_hosts or ():
            self._add_core(core_host)
        if isinstance(response.counter, CounterEndpointRow):
            self.counters[host] = response.counter
        if response.limiters is not None:
            self.limiter_sets[host] = response.limiters
            self._listener.update_limiters(
                max(self._recently_reported(self.limiter_sets), key=_set_order)
            )

    async def _offer_configuration(self, address: Address) -> None:
        """Sends the configuration in force to a registry that may have lost it."""
        request = OfferRequest(version=self.configuration.version, data=self.configuration.data)
        result = await client.call(
            self._network, address, request, Acknowledgement, FETCH_TIMEOUT_SECONDS
        )
        if result.is_error():
            logging.info("proxy: offer_failed registry=%s:%d", *address)

    def _recently_reported(self, by_registry: dict[str, ValueT]) -> list[ValueT]:
        """Returns the values of the registries that responded recently."""
        now = self._clock()
        return [
            value
            for host, value in by_registry.items()
            if now - self.last_answer_at.get(host, -ANSWER_VALIDITY_SECONDS)
            <= ANSWER_VALIDITY_SECONDS
        ]


def _counter_order(counter: CounterEndpointRow) -> tuple[int, int, str, int]:
    return counter.epoch, counter.number, counter.host, counter.port


def _set_order(limiters: LimiterSetRow) -> tuple[int, int, int]:
    return limiters.total, -limiters.silent, limiters.rank
