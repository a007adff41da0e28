"""Replication between registries: servers, limiters, the counting term and the shared clock.

A change is broadcast at once. In regular rounds each registry sends the heartbeats received since
the last round to each other registry, and gets back which rows that registry lacks (anti-entropy).
A registry that starts applies snapshots of the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec
from expression import Result

from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.counting_service import CountingService
from loomstand.registry.instances import Instance
from loomstand.rpc.client import ResponseT, call
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import Request
from loomstand.rpc.messages.gossip_messages import (
    GossipRequest,
    GossipResponse,
    HeartbeatRow,
    SnapshotRequest,
    SnapshotResponse,
)
from loomstand.rpc.messages.rows import CountingTermRow, InstanceRow
from loomstand.rpc.network import Address

# Interval between two rounds. Without rounds, the other registries would mark a server that calls
# only one registry silent after three heartbeat intervals, which is 4.5 s at an interval of 1.5 s.
GOSSIP_INTERVAL_SECONDS = 1.0
# Timeout of a broadcast, which precedes the response to a server that drains or leaves and to a
# limiter that deregisters; these wait 1 s for the response.
BROADCAST_TIMEOUT_SECONDS = 0.35
# Timeout of a snapshot request.
SNAPSHOT_TIMEOUT_SECONDS = 0.5


class Replication:
    """Replication of this registry's soft state to the others, and of theirs to it."""

    def __init__(
        self, context: RegistryContext, state: RegistryState, counting: CountingService
    ) -> None:
        self._context = context
        self._notifier = context.notifier
        self._instances = state.instances
        self._limiters = state.limiters
        self._shared_clock = state.shared_clock
        self._counting = counting
        # by id, the sequence of each server that called this registry since the last round
        self._unsent_sequences: dict[str, int] = {}
        # By registry, the ids of the servers whose rows it hasn't acknowledged, for example during
        # a network partition. The rows are sent again in the next rounds.
        self._pending: dict[Address, set[str]] = {}

    # calls of other registries

    async def handle_gossip(self, request: GossipRequest) -> GossipResponse:
        """Applies another registry's message, and returns which state this registry lacks."""
        now = self._context.clock()
        ages = request.instance_ages or {}
        for row in request.instances or ():
            self._apply_row(row, now, ages.get(row.instance_id, 0.0))
        unknown_instances = [
            instance_id
            for instance_id, heartbeat in (request.recent_heartbeats or {}).items()
            if not self._instances.apply_heartbeat(
                instance_id, heartbeat.sequence, now - heartbeat.age_seconds
            )
        ]
        for name, age_seconds in (request.limiter_ages or {}).items():
            self._limiters.record_report(name, now - age_seconds, now)
        if isinstance(request.counting_term, CountingTermRow):
            self._apply_counting_term(request.counting_term, request.clock_seconds, now)
        self._notifier.notify_limiters(self._limiters.revision)
        has_same_limiters = request.limiters_digest == self._limiters.session_digest()
        return GossipResponse(
            unknown_instances=unknown_instances, has_same_limiters=has_same_limiters
        )

    async def handle_snapshot(self, _request: SnapshotRequest) -> SnapshotResponse:
        """Returns all servers to a registry that has just started."""
        now = self._context.clock()
        return SnapshotResponse(
            instances=self._instances.changed_since(0, now),
            instance_ages=self._instances.ages(self._instances.last_heartbeat_at, now),
            clock_seconds=self._shared_clock.read(now),
            is_clock_set=self._shared_clock.is_known,
        )

    def _apply_row(self, row: InstanceRow, now: float, age_seconds: float) -> None:
        if self._instances.apply(Instance.from_row(row, now), now - age_seconds):
            self._notifier.notify()

    def _apply_counting_term(
        self, term: CountingTermRow, clock_seconds: float | None, now: float
    ) -> None:
        self._counting.observe_term(None, term)
        if self._counting.is_counting(now) or clock_seconds is None:
            return
        if self._shared_clock.synchronize(clock_seconds, now):
            self._notifier.notify_system_state()

    # calls to other registries

    def record_heartbeat(self, instance: Instance) -> None:
        """Records a server's heartbeat, which is sent to the other registries in the next round."""
        self._unsent_sequences[instance.id] = max(
            instance.sequence, self._unsent_sequences.get(instance.id, 0)
        )

    async def broadcast(self, instance_id: str, timeout_seconds: float) -> bool:
        """Sends the row of a changed server to the other registries.

        Registries that don't answer get the row in a later round.

        Returns:
            Whether more than half of all registries, including this one, have the row now.
        """
        rows = self._instances.rows([instance_id], self._context.clock())
        request = GossipRequest(instances=rows)

        async def send(registry: Address) -> bool:
            """Sends the row to a registry; if that fails, adds it to the next round."""
            result = await self._call(registry, request, GossipResponse, timeout_seconds)
            if result.is_error():
                self.add_pending(registry, [instance_id])
            return result.is_ok()

        registries = self._context.other_registries()
        informed_count = 1 + sum(await asyncio.gather(*map(send, registries)))
        return self._context.is_core_known and 2 * informed_count > 1 + len(registries)

    async def call_others(
        self, request: Request, response_type: type[ResponseT], timeout_seconds: float
    ) -> list[Result[ResponseT, CallFailure]]:
        """Calls all other registries concurrently, and returns their responses."""
        calls = (
            self._call(registry, request, response_type, timeout_seconds)
            for registry in self._context.other_registries()
        )
        return await asyncio.gather(*calls)

    def add_pending(self, registry: Address, instance_ids: Iterable[str]) -> None:
        """Includes the rows of these servers in the next round to a registry."""
        self._pending.setdefault(registry, set()).update(instance_ids)

    async def bootstrap(self) -> None:
        """Applies snapshots of the other registries, instead of waiting for heartbeats."""
        results = await self.call_others(
            SnapshotRequest(), SnapshotResponse, SNAPSHOT_TIMEOUT_SECONDS
        )
        for result in results:
            if result.is_ok():
                self._apply_snapshot(result.ok)

    def _apply_snapshot(self, snapshot: SnapshotResponse) -> None:
        now = self._context.clock()
        for row in snapshot.instances:
            self._apply_row(row, now, snapshot.instance_ages.get(row.instance_id, 0.0))
        if snapshot.is_clock_set:
            self._shared_clock.synchronize(snapshot.clock_seconds, now)

    async def run(self) -> None:
        """Expires old state and sends a round to the other registries, once per interval."""
        while not self._context.is_stopping:
            await asyncio.sleep(GOSSIP_INTERVAL_SECONDS)
            now = self._context.clock()
            self._expire(now)
            request = self._gossip_request(now)
            registries = self._context.other_registries()
            self._pending = {
                registry: self._pending[registry]
                for registry in registries
                if self._pending.get(registry)
            }
            for registry in registries:
                self._context.tasks.spawn(self._gossip(registry, request))

    def _expire(self, now: float) -> None:
        self._limiters.expire(now)
        self._counting.expire(now)
        if self._instances.expire(now):
            self._notifier.notify()
        self._notifier.notify_limiters(self._limiters.revision)
        if self._shared_clock.has_recently_stepped(now):
            self._notifier.notify_system_state()

    def _gossip_request(self, now: float) -> GossipRequest:
        sequences = self._unsent_sequences
        self._unsent_sequences = {}
        ages = self._instances.ages(sequences, now)
        return GossipRequest(
            recent_heartbeats={
                instance_id: HeartbeatRow(sequence, ages[instance_id])
                for instance_id, sequence in sequences.items()
            },
            limiters_digest=self._limiters.session_digest(),
            clock_seconds=self._shared_clock.read(now),
            counting_term=self._counting.own_term(now),
        )

    async def _gossip(self, registry: Address, request: GossipRequest) -> None:
        pending = self._pending.pop(registry, None)
        if pending:
            request = self._with_rows(request, pending)
        result = await self._call(registry, request, GossipResponse, GOSSIP_INTERVAL_SECONDS)
        if result.is_error():
            self.add_pending(registry, pending or ())
            return
        repair = GossipRequest()
        if result.ok.unknown_instances:
            repair = self._with_rows(repair, result.ok.unknown_instances)
        if not result.ok.has_same_limiters:
            # some limiter has a session with only one of the two registries
            limiter_ages = self._limiters.session_ages(self._context.clock())
            repair = msgspec.structs.replace(repair, limiter_ages=limiter_ages)
        if repair != GossipRequest():
            await self._call(registry, repair, GossipResponse, GOSSIP_INTERVAL_SECONDS)

    def _with_rows(self, request: GossipRequest, instance_ids: Iterable[str]) -> GossipRequest:
        now = self._context.clock()
        return msgspec.structs.replace(
            request,
            instances=self._instances.rows(instance_ids, now),
            instance_ages=self._instances.ages(instance_ids, now),
        )

    async def _call(
        self,
        registry: Address,
        request: Request,
        response_type: type[ResponseT],
        timeout_seconds: float,
    ) -> Result[ResponseT, CallFailure]:
        return await call(self._context.network, registry, request, response_type, timeout_seconds)
