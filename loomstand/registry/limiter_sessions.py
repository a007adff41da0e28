"""Limiters' sessions: each limiter long-polls the registry with the revisions that it knows.

The registry responds at once if it has newer state, else at the next change, or without changes
after a timeout.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import msgspec

from loomstand.registry.change_notifier import ChangeNotifier
from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.counting_service import CountingService
from loomstand.registry.replication import BROADCAST_TIMEOUT_SECONDS, Replication
from loomstand.registry.shared_clock import TICKS_PER_SECOND
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Acknowledgement
from loomstand.rpc.messages.session_messages import (
    DeregisterRequest,
    SessionRequest,
    SessionResponse,
)

# Time for which a limiter's call waits for a change: half of the session timeout.
SESSION_POLL_SECONDS = 0.6
# A session id has a count in its upper bits and a random number in these lower bits, so that it
# differs from the ids of sessions before this registry's start. The count starts at a random number
# too, of `INITIAL_COUNT_BITS`.
SESSION_ID_RANDOM_BITS = 16
INITIAL_COUNT_BITS = 14
# Known revision of a limiter that opens a session, as it has no state of this registry.
NO_REVISION = -1


class SessionIdGenerator:
    """Generator of session ids, which the frequent calls contain in place of the limiter's name."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._count = rng.getrandbits(INITIAL_COUNT_BITS)

    def next(self) -> int:
        """Returns the id of a new session."""
        self._count += 1
        return self._count << SESSION_ID_RANDOM_BITS | self._rng.getrandbits(SESSION_ID_RANDOM_BITS)


class LimiterSessions:
    """The sessions of all limiters with this registry."""

    def __init__(
        self,
        context: RegistryContext,
        state: RegistryState,
        counting: CountingService,
        replication: Replication,
        session_ids: SessionIdGenerator,
    ) -> None:
        self._context = context
        self._notifier = context.notifier
        self._instances = state.instances
        self._limiters = state.limiters
        self._shared_clock = state.shared_clock
        self._configuration = state.configuration
        self._counting = counting
        self._replication = replication
        self._session_ids = session_ids
        self._limiter_names: dict[int, str] = {}  # by session id
        # by session id, the revision of the servers that the limiter stated in its last call
        self._known_instances: dict[int, int] = {}
        self._calls = ChangeNotifier(context.clock)

    async def handle_session(self, request: SessionRequest) -> SessionResponse:
        """Returns state newer than the limiter's, or waits `SESSION_POLL_SECONDS` for a change."""
        is_new = request.session_id not in self._limiter_names
        if is_new:
            request = self._open_session(request)
        name = self._limiter_names[request.session_id]
        self._known_instances[request.session_id] = request.known_instances
        self._calls.notify()
        self._limiters.record_call(name, self._context.clock())
        self._notifier.notify_limiters(self._limiters.revision)
        # after a restart of all registries, the shared clock is restored from the limiters
        if not self._shared_clock.is_known and request.shared_clock:
            clock_seconds = request.shared_clock / TICKS_PER_SECOND
            self._shared_clock.synchronize(clock_seconds, self._context.clock())
        if not self._has_changes(request):
            await self._notifier.wait_until(
                lambda: self._has_changes(request), SESSION_POLL_SECONDS
            )
        now = self._context.clock()
        # The end of a call isn't recorded for a limiter that deregistered while the call waited: it
        # would make the limiter present again.
        if self._limiters.has_called(name):
            self._limiters.record_call(name, now)
        return self._response(request, name, is_new, now)

    def _open_session(self, request: SessionRequest) -> SessionRequest:
        """Opens a session, and returns the request with the new id and no known revisions.

        Raises:
            CallRefusedError: The request continues a session that doesn't exist.
        """
        name = request.limiter_name
        if name is None:
            raise CallRefusedError("no such session")
        previous_sessions = [
            session_id
            for session_id, session_name in self._limiter_names.items()
            if session_name == name
        ]
        for session_id in previous_sessions:
            del self._limiter_names[session_id]
            self._known_instances.pop(session_id, None)
        session_id = self._session_ids.next()
        self._limiter_names[session_id] = name
        self._restore_departures(request.departed_instances or ())  # `UNSET` is false
        return msgspec.structs.replace(
            request,
            session_id=session_id,
            known_instances=NO_REVISION,
            known_system_state_revision=NO_REVISION,
            known_buckets=0,
        )

    def _restore_departures(self, instance_ids: Iterable[str]) -> None:
        """Records servers that left before all registries, which had recorded it, restarted."""
        now = self._context.clock()
        is_changed = [
            self._instances.record_leave(instance_id, now) for instance_id in instance_ids
        ]
        if any(is_changed):
            self._notifier.notify()

    async def wait_until_known(self, instances_revision: int, timeout_seconds: float) -> None:
        """Waits until the present limiters have the servers up to a revision, or the timeout."""
        await self._calls.wait_until(
            lambda: self._is_known_to_all(instances_revision), timeout_seconds
        )

    def _is_known_to_all(self, instances_revision: int) -> bool:
        present = set(self._limiters.present)
        return all(
            self._known_instances.get(session_id, NO_REVISION) >= instances_revision
            for session_id, name in self._limiter_names.items()
            if name in present
        )

    def _has_changes(self, request: SessionRequest) -> bool:
        return (
            self._instances.revision > request.known_instances
            or self._notifier.system_state_revision != request.known_system_state_revision
            or self._configuration.version > request.known_configuration
            or self._counting.quota_buckets.revision > request.known_buckets
        )

    def _response(
        self, request: SessionRequest, name: str, is_new: bool, now: float
    ) -> SessionResponse:
        has_instances = self._instances.revision > request.known_instances
        buckets_revision = self._counting.quota_buckets.revision
        has_totals = buckets_revision > request.known_buckets
        version = self._configuration.version
        response = SessionResponse(
            session_id=request.session_id if is_new else None,
            instances_revision=self._instances.revision if has_instances else None,
            instances=(
                self._instances.changed_since(request.known_instances, now)
                if has_instances
                else None
            ),
            buckets_revision=buckets_revision if has_totals else None,
            tenant_totals=(
                self._counting.totals_since(request.known_buckets) if has_totals else None
            ),
            configuration_version=version if version > request.known_configuration else None,
            # the limiter may hold the only copy of a newer configuration
            requests_configuration=version < request.known_configuration,
        )
        if self._notifier.system_state_revision == request.known_system_state_revision:
            return response
        return self._with_system_state(response, name, now)

    def _with_system_state(
        self, response: SessionResponse, name: str, now: float
    ) -> SessionResponse:
        return msgspec.structs.replace(
            response,
            system_state_revision=self._notifier.system_state_revision,
            limiters=self._limiters.limiter_set(name),
            counter=self._counting.endpoint(),
            core_hosts=list(self._context.core_hosts),
            is_current=self._configuration.is_current(self._context.clock()),
            shared_clock=self._shared_clock.ticks(now, self._counting.is_counting(now)),
        )

    async def handle_deregister(self, request: DeregisterRequest) -> Acknowledgement:
        """Ends a limiter's session, and forwards the request to the other registries."""
        name = request.limiter_name
        self._limiters.deregister(name, self._context.clock())
        self._counting.grants.release(name)
        self._notifier.notify_limiters(self._limiters.revision)
        if not request.is_forwarded:
            forwarded = DeregisterRequest(limiter_name=name, is_forwarded=True)
            await self._replication.call_others(
                forwarded, Acknowledgement, BROADCAST_TIMEOUT_SECONDS
            )
        return Acknowledgement()
