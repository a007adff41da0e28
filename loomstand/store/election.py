"""How a member becomes primary, or a primary changes its view: promises, data, backup, view,
lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from absl import logging

from loomstand.rpc.errors import CallFailure
from loomstand.rpc.network import transfer_seconds
from loomstand.store.ballot import Ballot, Held
from loomstand.store.change_history import NONE, ChangeHistory
from loomstand.store.replica import FOUNDING, Plan, Step
from loomstand.store.replica_io import CALL, ReplicaIO
from loomstand.store.views import Member

ROUNDS = 3  # views that may turn out to be newer in one campaign


@dataclass(frozen=True, slots=True)
class Release:
    """A primary's word that it serves no more under `under`, and its promise of `epoch`."""

    by: str
    epoch: int
    under: int


async def campaign(desk: ReplicaIO, plan: Plan, release: Release | None = None) -> bool:
    """Whether the plan's view stands and its primary, this member, leads. Only one may run at a
    time.
    """
    for _ in range(ROUNDS):
        base = desk.replica.base() if plan.step is not Step.FOUND else None
        if base is not None and plan.step is Step.TAKE:
            if desk.replica.me.id not in base.named():
                return False
            plan = Plan(plan.step, plan.why, base.voters, base.former)
        found = await Election(desk, Ballot(plan, base), release).run()
        if found is not None or plan.step is not Step.TAKE:
            return bool(found)
    return False


@dataclass(slots=True)
class Election:
    desk: ReplicaIO
    ballot: Ballot
    release: Release | None
    promised: set[str] = field(default_factory=set)

    async def run(self) -> bool | None:
        """Whether it came off; None if a newer view has shown up."""
        replica, plan, moves = (
            self.desk.replica,
            self.ballot.plan,
            self.ballot.plan.step is Step.MOVE,
        )
        if not moves:
            replica.resign()
            if self.release is None and not await self._would():
                return None if self._newer() else False
        epoch = await self._promises()
        if epoch is None:
            return None if self._newer() else False
        held = await self._data(epoch)
        if held is None:
            return False
        version, data = held
        await self.desk.ink(lambda now: replica.own(epoch, version, data))
        found, backup = await self._backup(epoch, version, data)
        if not found:
            return False
        view = self.ballot.view(replica, epoch, backup, self.promised)
        replica.settled = epoch
        await self.desk.ink(lambda now: replica.install(view))
        replica.renew(self.desk.clock(), view)
        rest = [m for m in view.named().values() if m.id != replica.me.id]
        await self.desk.until(
            (self.desk.install(m, view) for m in rest), lambda: replica.leads(self.desk.clock())
        )
        if not replica.leads(self.desk.clock()):
            return False
        logging.info("store: %s, as %s: %s", plan.step.value, plan.why, view)
        return True

    def _newer(self) -> bool:
        return self.ballot.outdated(self.desk.replica)

    async def _would(self) -> bool:
        """Whether enough of them would promise: a member that is cut off mustn't raise epochs in
        vain.
        """
        replica = self.desk.replica
        own = replica.may_promise(self.desk.clock(), replica.promised + 1, replica.me.id, 0)
        if not own:
            return False
        body = {"epoch": 0, "released": 0}
        answers = await self.desk.poll(
            self.ballot.electors(replica),
            body,
            lambda a: (
                self._newer()
                or self.ballot.agreed(replica, [replica.me.id, *(i for i in a if a[i]["ok"])])
            ),
        )
        self._top(answers)
        return self.ballot.won(replica, [replica.me.id, *(i for i in answers if answers[i]["ok"])])

    def _top(self, answers: dict[str, dict]) -> None:
        replica = self.desk.replica
        replica.top = max([replica.top, *(a["promised"] for a in answers.values())])

    async def _promises(self) -> int | None:
        """The epoch that enough of them promised, or None."""
        replica, release = self.desk.replica, self.release
        known = max(replica.top, replica.promised, *(p.promised for p in replica.peers.values()), 0)
        epoch = self.ballot.epoch(known)
        if epoch is None:
            return None
        sure = {replica.me.id}
        if release is not None and epoch <= release.epoch:
            epoch = release.epoch
            sure.add(release.by)
        released = release.under if release else 0
        await self.desk.ink(lambda now: replica.promise(now, epoch, replica.me.id, released))
        electors = [m for m in self.ballot.electors(replica) if m.id not in sure]

        def ids(answers: dict[str, dict]) -> set[str]:
            return sure | {i for i, a in answers.items() if a["ok"]}

        answers = await self.desk.poll(
            electors,
            {"epoch": epoch, "released": released},
            # a founder would rather have all seeds, so that they all vote from the start
            lambda a: (
                self._newer()
                or (self.ballot.base is not None and self.ballot.agreed(replica, ids(a)))
            ),
        )
        self._top(answers)
        self.promised = ids(answers)
        early = self.desk.clock() < replica.started + FOUNDING
        if self.ballot.base is None and early and len(self.promised) < len(replica.seeds):
            return None  # two voters could lose neither: rather once more, while there's time
        return epoch if self.ballot.won(replica, self.promised) else None

    async def _data(self, epoch: int) -> Held | None:
        """What the view before had in force, or may have: of its primary or its backup, the backup
        first.
        """
        replica = self.desk.replica
        held, replica.fetched = self.ballot.own(replica), NONE
        for member in self.ballot.sources():
            if held is None:
                body = {"epoch": epoch, "asker": replica.me.id}
                answer = await self.desk.ask(
                    member, "fetch", body, CALL + transfer_seconds(len(replica.data))
                )
                if not isinstance(answer, CallFailure):
                    held = (answer["version"], answer["data"])
                    replica.fetched = ChangeHistory.read(answer.get("orders"), *held)
        return self.ballot.prevails(replica, held)

    async def _backup(self, epoch: int, version: int, data: bytes) -> tuple[bool, Member | None]:
        """Who has written the configuration, and whether that will do: a core of one machine needs
        nobody.
        """
        replica = self.desk.replica
        for member in replica.backups(self.desk.clock(), self.ballot.base):
            if not self.ballot.takes(member, self.promised):
                continue
            failed = await self.desk.keep(member, epoch, version, data)
            if failed is None:
                return True, member
            replica.doubt(self.desk.clock(), member)
        return self.ballot.base is None and len(replica.seeds) == 1, None
