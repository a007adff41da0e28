"""Entry point of the decision engine: events in, actions out. Pure.

A limiter creates one `DecisionEngine`, calls `handle` for each event in order, and carries out the
returned actions in order. Inside, actors change each other's state only by messages:
`AdmissionControl`, the tenants' limiters, the servers and the `CounterClient`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loomstand.admission.actions import Action
from loomstand.admission.actors import Actor, ActorLoop
from loomstand.admission.admission_control import DEFAULT_SERVICE, AdmissionControl
from loomstand.admission.counter_client import CounterClient
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsUpdated,
    Event,
    RequestArrived,
    SettingsChanged,
    TenantTotalUpdated,
    TimerFired,
)
from loomstand.admission.settings import EngineSettings
from loomstand.failover.engine_view import FailoverPolicy


class DecisionEngine:
    """All decisions of one limiter.

    Attributes:
        loop: Delivers the actors' messages.
        admission: The requests, tenants and load balancers.
        counter_client: Calls the counter.

    Args:
        settings: The settings in force.
        seed: Seed of the random number generator.
        now: Reading of the common clock, in ticks.
        failover: The zone plan's rules for the default service, or None without a plan.
    """

    def __init__(
        self, settings: EngineSettings, seed: int, now: int, failover: FailoverPolicy | None = None
    ) -> None:
        self.loop = ActorLoop(settings, seed, now)
        self.counter_client = CounterClient(self.loop)
        self.admission = AdmissionControl(self.loop, self.counter_client, failover)
        self._zone_balancer = self.admission.load_balancers[DEFAULT_SERVICE] if failover else None
        admission = self.admission
        # Any: each handler takes its own class of event, which a mapping's type can't express
        self._handlers: dict[type, tuple[Actor, Callable[[Any], None]]] = {
            RequestArrived: (admission, admission.request_arrived),
            AttemptEnded: (admission, admission.attempt_ended),
            ClientDisconnected: (admission, admission.client_disconnected),
            EndpointsUpdated: (admission, admission.endpoints_updated),
            SettingsChanged: (admission, admission.settings_changed),
            TenantTotalUpdated: (admission, admission.tenant_total_updated),
            TimerFired: (admission, admission.timer_fired),
            CounterReplied: (self.counter_client, self.counter_client.counter_replied),
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Updates the state with an event and returns the actions to carry out, in order.

        Args:
            now: Reading of the common clock, in ticks; ignored if earlier than a previous one.
            event: What happened.
        """
        self.loop.now = max(self.loop.now, now)
        if self._zone_balancer:
            self._zone_balancer.apply_zone_changes()
        handler = self._handlers.get(type(event))
        if handler is not None:
            actor, method = handler
            actor.post(method, event)
        self.counter_client.post(self.counter_client.serve)
        return self.loop.run()
