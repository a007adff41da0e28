"""This limiter's sessions with the registries, one for each core machine.

In a session the limiter asks a registry, again and again, for what is newer than what it knows.
Makes calls by the network, and owns the tasks that do so.
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

POLL_TIMEOUT_SECONDS = 1.0  # a registry answers after 0.6 s where there is nothing newer
# Seconds between two calls to one registry. Where much changes at once, as when all start, each
# change was an answer to every limiter; so they come together. The first comes at once, others
# later by this.
POLL_INTERVAL_SECONDS = 0.1
IN_TOUCH_SECONDS = 2.0  # for which a registry's last answer counts
DEREGISTER_TIMEOUT_SECONDS = 0.2
# The first and the longest backoff before a registry that fails is called again.
BACKOFF_SECONDS = (0.1, 0.5)
# Seconds for which a registry that nobody lists and that doesn't answer is called on: seeds may be
# exchanged.
UNLISTED_SECONDS = 10.0

ValueT = TypeVar("ValueT")
ResponseT = TypeVar("ResponseT", bound=Message)


class SessionListener(Protocol):
    """Who is told what the registries answer."""

    def update_instances(
        self, registry: str, rows: Sequence[InstanceRow], is_new_session: bool
    ) -> None:
        """Called with servers that changed; with all of them in a new session."""

    def update_limiters(self, limiters: LimiterSetRow) -> None:
        """Called with the limiters, as the registry knows them that knows most."""

    def update_tenant_totals(self, totals: Sequence[TenantTotalRow]) -> None:
        """Called with the tenants near their limit."""

    def update_clock(self, shared_clock: int | None, is_current: bool) -> None:
        """Called with a registry's clock, and whether the configuration held is the newest."""

    def apply_configuration(self, version: int, data: bytes) -> bool:
        """Brings a configuration into force; returns whether it could."""

    def shared_clock_reading(self) -> int | None:
        """Returns the shared clock in ticks, if this limiter knows it."""


@dataclass(slots=True)
class SessionState:
    """What a limiter knows from one registry.

    Attributes:
        host: IP address of the registry's machine.
        address: Address of the registry.
        session_id: Number of the session; 0 if none is open.
        instances_revision: Revision of the registry's table of servers.
        facts_revision: Revision of the registry's facts.
        buckets_revision: Revision of the registry's quota buckets.
        is_current: Whether the registry's configuration was known to be the newest.
    """

    host: str
    address: Address
    session_id: int = 0
    instances_revision: int = 0
    facts_revision: int = -1
    buckets_revision: int = 0
    is_current: bool = False


class Sessions:
    """The sessions with all registries.

    Attributes:
        configuration: Holds and fetches the configuration.
        counters: By registry, the counting registry that it told.
        limiter_sets: By registry, the limiters that it told.
        tasks: By address of a core machine, its session.
        last_listed_at: By core machine, when a registry listed it or it answered.
        last_answer_at: By registry, when it last answered.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        clock: Callable[[], float],
        rng: Random,
        listener: SessionListener,
    ) -> None:
        """`clock` is steady, in seconds."""
        self.configuration = ConfigurationFetcher(
            network, clock, lambda version, data: listener.apply_configuration(version, data)
        )
        self.counters: dict[str, CounterEndpointRow] = {}
        self.limiter_sets: dict[str, LimiterSetRow] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.last_listed_at: dict[str, float] = {}
        self.last_answer_at: dict[str, float] = {}
        self._settings = settings
        self._network = network
        self._clock = clock
        self._rng = rng
        self._listener = listener
        self._is_stopping = False

    def start(self) -> None:
        """Begins a session with each seed."""
        for host, _ in self._settings.seed_nodes:
            self._add_core(host)

    def reload(self, settings: Settings) -> None:
        """Takes over changed settings: the seeds may be others."""
        self._settings = settings
        self.start()

    async def stop(self) -> None:
        """Ends the sessions, so that the limiter's rank is free at once."""
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
        """Returns the counting registry of the highest term that is told, if any is."""
        endpoints = self._in_touch(self.counters) or list(self.counters.values())
        return max(endpoints, key=_counter_order, default=None)

    async def call_counter(
        self, request: Request, response_type: type[ResponseT], timeout_seconds: float
    ) -> Result[ResponseT, CallFailure]:
        """Calls the counting registry, wherever it is."""
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
        """Calls one registry again and again, until nobody lists it any more."""
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
                    state.session_id = 0  # the registry has started anew
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
            early_seconds = called_at + POLL_INTERVAL_SECONDS - self._clock()
            if early_seconds > 0:
                await asyncio.sleep(early_seconds)

    def _request(self, state: SessionState) -> SessionRequest:
        if state.session_id:
            return SessionRequest(
                known_instances=state.instances_revision,
                known_facts=state.facts_revision,
                known_configuration=self.configuration.version,
                session_id=state.session_id,
                known_buckets=state.buckets_revision,
            )
        return SessionRequest(
            known_instances=state.instances_revision,
            known_facts=state.facts_revision,
            known_configuration=self.configuration.version,
            limiter_name=self._settings.node_name,
            shared_clock=self._listener.shared_clock_reading(),
            known_buckets=state.buckets_revision,
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
        if response.facts_revision is not None:
            state.facts_revision = response.facts_revision
            state.is_current = bool(response.is_current)
            self._update_system(state.host, response)
            # what is held is surely the newest only once it is what the registry has
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
        if response.instances_revision is not None:
            state.instances_revision = response.instances_revision
        if response.instances is not None or is_new_session:
            self._listener.update_instances(state.host, response.instances or [], is_new_session)

    def _update_system(self, host: str, response: SessionResponse) -> None:
        """Takes over what a registry tells beside servers.

        Of limiters the registry is right that knows most: one that just started doesn't know those
        that are cut off. Of two that know as many, the one that is in touch with more.
        """
        for core_host in response.core_hosts or ():
            self._add_core(core_host)
        if isinstance(response.counter, CounterEndpointRow):
            self.counters[host] = response.counter
        if response.limiters is not None:
            self.limiter_sets[host] = response.limiters
            self._listener.update_limiters(max(self._in_touch(self.limiter_sets), key=_set_order))

    async def _offer_configuration(self, address: Address) -> None:
        """Gives the registry a configuration that it may have lost."""
        request = OfferRequest(version=self.configuration.version, data=self.configuration.data)
        result = await client.call(
            self._network, address, request, Acknowledgement, FETCH_TIMEOUT_SECONDS
        )
        if result.is_error():
            logging.info("proxy: offer_failed registry=%s:%d", *address)

    def _in_touch(self, by_registry: dict[str, ValueT]) -> list[ValueT]:
        """Returns the values of the registries that answered lately."""
        now = self._clock()
        return [
            value
            for host, value in by_registry.items()
            if now - self.last_answer_at.get(host, -IN_TOUCH_SECONDS) <= IN_TOUCH_SECONDS
        ]


def _counter_order(counter: CounterEndpointRow) -> tuple[int, int, str, int]:
    return counter.epoch, counter.number, counter.host, counter.port


def _set_order(limiters: LimiterSetRow) -> tuple[int, int, int]:
    return limiters.total, -limiters.silent, limiters.rank
