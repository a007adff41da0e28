"""A front makes one Brain for each limiter and calls `handle(now, note)` for every note in order;
it gets back the actions to carry out, in order. Parts (Desk, Keeper, Accounts, Servers) change each
other only by notes put into inboxes; they may read each other's figures. Fleets are the Desk's
own.
"""

from loomstand.admission.actions import Action
from loomstand.admission.actors import ActorLoop
from loomstand.admission.admission_control import AdmissionControl
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
from loomstand.failover.engine_view import Guide


class DecisionEngine:
    def __init__(
        self, settings: EngineSettings, seed: int, now: int, guide: Guide | None = None
    ) -> None:
        self.loop = ActorLoop(settings, seed, now)
        self.keeper = CounterClient(self.loop)
        self.desk = desk = AdmissionControl(self.loop, self.keeper, guide)
        self.first = desk.fleets[0]
        self.handlers = {
            EndpointsUpdated: desk.listed,
            RequestArrived: desk.arrived,
            AttemptEnded: desk.ended,
            TimerFired: desk.woke,
            ClientDisconnected: desk.vanished,
            SettingsChanged: desk.ruled,
            CounterReplied: self.keeper.counted,
            TenantTotalUpdated: desk.told,
        }

    def handle(self, now: int, note: Event) -> list[Action]:
        self.loop.now = max(self.loop.now, now)
        if self.first.guide:
            self.first.heed()
        if handler := self.handlers.get(type(note)):
            self.loop.post(handler, note)
        self.loop.post(self.keeper.serve)
        return self.loop.run()
