"""A front makes one Brain for each limiter and calls `handle(now, note)` for every note in order;
it gets back the actions to carry out, in order. Parts (Desk, Keeper, Accounts, Servers) change each
other only by notes put into inboxes; they may read each other's figures. Fleets are the Desk's
own."""

from loomstand import interface as api
from loomstand.actors import Loop
from loomstand.brain.desk import Desk
from loomstand.brain.keeper import Keeper
from loomstand.sites.guide import Guide


class Brain:
    def __init__(
        self, settings: api.Settings, seed: int, now: int, guide: Guide | None = None
    ) -> None:
        self.loop = Loop(settings, seed, now)
        self.keeper = Keeper(self.loop)
        self.desk = desk = Desk(self.loop, self.keeper, guide)
        self.first = desk.fleets[0]
        self.handlers = {
            api.Listed: desk.listed,
            api.Arrived: desk.arrived,
            api.Ended: desk.ended,
            api.Woke: desk.woke,
            api.Vanished: desk.vanished,
            api.Ruled: desk.ruled,
            api.Counted: self.keeper.counted,
            api.Told: desk.told,
        }

    def handle(self, now: int, note: api.Note) -> list[api.Action]:
        self.loop.now = max(self.loop.now, now)
        if self.first.guide:
            self.first.heed()
        if handler := self.handlers.get(type(note)):
            self.loop.post(handler, note)
        self.loop.post(self.keeper.serve)
        return self.loop.run()
