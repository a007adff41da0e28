"""Requests that meet a starting proxy: what they wait for, and the queue in which they do.

At a start the configuration, the servers' heartbeats and the first credits are under way. A request
waits for them for a moment, as all proxies would reject it alike. No sockets; owns timers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.admission.identifiers import stable_digest
from loomstand.proxy.configuration_updates import ConfigurationUpdates
from loomstand.proxy.endpoint_updates import EndpointUpdates
from loomstand.proxy.quota_credits import QuotaCredits
from loomstand.proxy.request import ProxyRequest

# The most that a request waits, and half of its client's time: when all start at once the
# configuration comes within 0.6 s, and servers' heartbeats 1.5 s apart.
MAX_WAIT_SECONDS = 0.8
STARTUP_SECONDS = 4.0  # after which a limiter knows all servers that there are


class StartupConditions:
    """What must have come before a request is admitted; after `STARTUP_SECONDS` nothing."""

    def __init__(
        self,
        clock: Callable[[], float],
        configuration: ConfigurationUpdates,
        endpoints: EndpointUpdates,
        quota_credits: QuotaCredits,
    ) -> None:
        """The start is now, by `clock`, which is steady, in seconds."""
        self.started_at = clock()
        self._clock = clock
        self._configuration = configuration
        self._endpoints = endpoints
        self._credits = quota_credits

    def is_over(self, now: float) -> bool:
        """Returns whether the start is over."""
        return now - self.started_at >= STARTUP_SECONDS

    def are_met(self, request: ProxyRequest) -> bool:
        """Returns whether a request that arrived need not wait."""
        return (
            self._configuration.table is not None
            and self._has_server(request)
            and self._has_first_credits()
        )

    def are_met_in_queue(self, request: ProxyRequest) -> bool:
        """Returns whether a request that waits need wait no longer."""
        return self.are_met(request) and not self._lacks_credit(request)

    def _has_server(self, request: ProxyRequest) -> bool:
        """Returns whether a server is known that could serve the request.

        After the start, a server that isn't known isn't there.
        """
        if self._clock() - self.started_at > STARTUP_SECONDS:  # first, as each request asks
            return True
        table = self._configuration.table
        route = table.find_route(request.host, request.path) if table is not None else None
        if route is None:
            return True
        live_by_service = self._endpoints.live_by_service
        return any(
            weight > 0 and live_by_service.get(service) for service, weight in route.traffic_split
        )

    def _has_first_credits(self) -> bool:
        """Returns whether the first credits have come, if any tenant needs some."""
        return (
            self._credits.has_answer
            or self._clock() - self.started_at > STARTUP_SECONDS
            or not self._credits.tenants
        )

    def _lacks_credit(self, request: ProxyRequest) -> bool:
        """Returns whether a request waits for a credit."""
        if request.tenant is None:
            return False
        digest = stable_digest(request.tenant.name)
        return bool(digest) and not self._credits.has_credit(digest, self._clock())


class RequestQueue:
    """The requests that wait for the end of the start.

    Attributes:
        arrived_at: The requests that wait, and when each arrived.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        conditions: StartupConditions,
        admit: Callable[[ProxyRequest, float, bool], None],
    ) -> None:
        """`admit` gets the request, when it arrived, and that it has waited."""
        self.arrived_at: dict[ProxyRequest, float] = {}
        self._loop = loop
        self._conditions = conditions
        self._admit = admit

    def add(
        self, request: ProxyRequest, arrived_at: float, max_wait_seconds: float = MAX_WAIT_SECONDS
    ) -> None:
        """Lets a request wait; half of its client's time at the most."""
        self.arrived_at[request] = arrived_at
        if request.deadline_remaining_ms is not None:
            half_seconds = request.deadline_remaining_ms / 2000
            max_wait_seconds = min(max_wait_seconds, half_seconds)
        self._loop.call_later(max_wait_seconds, self._release, request)

    def release_ready(self) -> None:
        """Admits the requests that need wait no longer, after something came."""
        for request in list(self.arrived_at):
            if request.client is None or self._conditions.are_met_in_queue(request):
                self._release(request)

    def _release(self, request: ProxyRequest) -> None:
        arrived_at = self.arrived_at.pop(request, None)
        if arrived_at is not None and request.client is not None:
            self._admit(request, arrived_at, True)
