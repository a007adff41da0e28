"""Queues requests that arrive while the proxy is starting.

During startup the configuration, the servers' heartbeats and the first credits have not arrived
yet. A request waits for them briefly, as after a restart of all proxies every proxy would reject
it. Uses timers, but no sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.admission.identifiers import stable_digest
from loomstand.proxy.configuration_updates import ConfigurationUpdates
from loomstand.proxy.endpoint_updates import EndpointUpdates
from loomstand.proxy.quota_credits import QuotaCredits
from loomstand.proxy.request import ProxyRequest

# Maximum time in the queue, further limited to half of the client's deadline. When all programs
# start at once, the configuration arrives within 0.6 s; servers send heartbeats every 1.5 s.
MAX_WAIT_SECONDS = 0.8
STARTUP_SECONDS = 4.0  # after this time a limiter knows all existing servers


class StartupConditions:
    """Conditions for admitting a request during startup.

    After `STARTUP_SECONDS`, an arriving request requires only a configuration.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        configuration: ConfigurationUpdates,
        endpoints: EndpointUpdates,
        quota_credits: QuotaCredits,
    ) -> None:
        """Startup begins now by `clock`, which is monotonic, in seconds."""
        self.started_at = clock()
        self._clock = clock
        self._configuration = configuration
        self._endpoints = endpoints
        self._credits = quota_credits

    def is_over(self, now: float) -> bool:
        """Returns whether startup is over."""
        return now - self.started_at >= STARTUP_SECONDS

    def are_met(self, request: ProxyRequest) -> bool:
        """Returns whether an arriving request can be admitted without waiting."""
        return (
            self._configuration.table is not None
            and self._has_server(request)
            and self._has_first_credits()
        )

    def are_met_in_queue(self, request: ProxyRequest) -> bool:
        """Returns whether a queued request can be admitted."""
        return self.are_met(request) and not self._lacks_credit(request)

    def _has_server(self, request: ProxyRequest) -> bool:
        """Returns whether a server is known that could serve the request.

        After startup always True, as a server still unknown by then doesn't exist.
        """
        if self._clock() - self.started_at > STARTUP_SECONDS:  # first, as this runs per request
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
        """Returns whether the first credits have arrived, or no tenant needs any."""
        return (
            self._credits.has_answer
            or self._clock() - self.started_at > STARTUP_SECONDS
            or not self._credits.tenants
        )

    def _lacks_credit(self, request: ProxyRequest) -> bool:
        """Returns whether no credit is available for a request.

        Returns False if the request's tenant is not known yet, as the credit is checked again when
        the request is admitted.
        """
        if request.tenant is None:
            return False
        digest = stable_digest(request.tenant.name)
        return bool(digest) and not self._credits.has_credit(digest, self._clock())


class RequestQueue:
    """Queue of requests that wait for startup to finish.

    Attributes:
        arrived_at: Arrival times of the queued requests.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        conditions: StartupConditions,
        admit: Callable[[ProxyRequest, float, bool], None],
    ) -> None:
        """`admit` is called with the request, its arrival time and `has_waited=True`."""
        self.arrived_at: dict[ProxyRequest, float] = {}
        self._loop = loop
        self._conditions = conditions
        self._admit = admit

    def add(
        self, request: ProxyRequest, arrived_at: float, max_wait_seconds: float = MAX_WAIT_SECONDS
    ) -> None:
        """Queues a request, for at most half of its client's deadline."""
        self.arrived_at[request] = arrived_at
        if request.deadline_remaining_ms is not None:
            half_seconds = request.deadline_remaining_ms / 2000
            max_wait_seconds = min(max_wait_seconds, half_seconds)
        self._loop.call_later(max_wait_seconds, self._release, request)

    def release_ready(self) -> None:
        """Admits the queued requests whose conditions are met; called after updates."""
        for request in list(self.arrived_at):
            if request.client is None or self._conditions.are_met_in_queue(request):
                self._release(request)

    def _release(self, request: ProxyRequest) -> None:
        arrived_at = self.arrived_at.pop(request, None)
        if arrived_at is not None and request.client is not None:
            self._admit(request, arrived_at, True)
