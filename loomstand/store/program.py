"""A store: the replica driven by calls and a clock, and the configuration served to registries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from absl import logging
from expression import Result

from loomstand.rpc import Address, Network
from loomstand.rpc.errors import CallFailure, CallRefusedError
from loomstand.rpc.network import transfer_seconds
from loomstand.store.change_history import Answer, ChangeHistory, digest
from loomstand.store.disk import Disk
from loomstand.store.election import Release, campaign
from loomstand.store.freshness import LEFT, left
from loomstand.store.graceful_shutdown import may_end
from loomstand.store.learner import Learner
from loomstand.store.lease_service import LeaseService
from loomstand.store.recovery import wake
from loomstand.store.replica import ABSENT, BEAT, Plan, Replica, State, Step
from loomstand.store.replica_io import CALL, Body, ReplicaIO
from loomstand.store.rescue_calls import RescueCalls
from loomstand.store.views import Member, Record, View

ANSWER = 0.85  # s in which a change is acknowledged or refused
TICK = 0.1  # s between two looks at what is due
PULLED = 2.0  # s at most for bringing what is in force: 8 MB with much else on the link
HOPS = 2  # how often a change or a question is handed on
FRESH = 0.4  # s for which the serving primary holds back an answer to `wait`: a third of the lease
CLASHED = 100  # numbers of refused orders that aren't told of again in the log


@dataclass(frozen=True, slots=True)
class Place:
    """Where a store stands: its own address, the stores' addresses at the seeds, whether all is
    new, and the seconds from SIGTERM to SIGKILL.
    """

    address: Address
    seeds: tuple[Address, ...]
    first_start: bool
    grace_period: float = 6.0


class Store:
    """Serves other stores and registries by `network.listen` at its address (see `serve`)."""

    def __init__(
        self, place: Place, network: Network, disk: Disk, clock: Callable[[], float], rng: Random
    ) -> None:
        self.place, self.network, self.disk, self.clock, self.rng = place, network, disk, clock, rng
        self._desk: ReplicaIO | None = None
        # over what a primary or candidate does: a put, a settling, a campaign
        self.busy = asyncio.Lock()
        self.changed = asyncio.Event()
        self.shown: tuple[Any, ...] = ()
        self.mark = rng.getrandbits(24)  # of what is shown: another one in each life
        self.beating: set[Address] = set()
        self.pulling, self.slow = False, CALL
        self.stopped = asyncio.Event()
        # orders refused for their number, and those told of
        self.conflicts, self.clashed = 0, set[int]()
        self.aid = RescueCalls(lambda: self.desk, self.busy, rng, self._crown)
        self._lending: LeaseService | None = None
        self.learner = Learner()

    @property
    def desk(self) -> ReplicaIO:
        if self._desk is None:
            raise CallRefusedError("not begun")
        return self._desk

    @property
    def lending(self) -> LeaseService:
        if self._lending is None:
            raise CallRefusedError("not begun")
        return self._lending

    @property
    def replica(self) -> Replica:
        return self.desk.replica

    # --- life

    async def run(self) -> None:
        """Serves until `stop` is done."""
        started = self.clock()
        woken = await wake(self.disk, self._new, self.stopped)
        if woken is None:
            return
        record, pages = woken
        me = Member(record.id, self.place.address)
        replica = Replica(me, self.place.seeds, record, started, self.rng)
        self._desk = ReplicaIO(replica, self.network, self.disk, self.clock)
        self._lending = LeaseService(self._desk, lambda: self.changed.wait(), self._let, pages)
        self.learner = Learner.wake(pages)
        self.aid.given(*self.learner.copy)
        logging.info(
            "store: member %s at %s, %s", me.id, me.address[0], record.view or "no view yet"
        )
        await self.network.listen(self.place.address, self.serve)
        beat = -1e9
        while not self.stopped.is_set():
            now = self.clock()
            # after a start of all, whoever is primary by its disk asks for the lease as others come
            # up
            eager = replica.owns() and not replica.leads(now)
            if now - beat >= (TICK if eager else BEAT) - TICK / 2:
                beat = now
                self._beats()
            self._tick(now)
            await asyncio.sleep(TICK)
        for task in list(self.desk.tasks):
            task.cancel()

    def _new(self) -> Record:
        """For an empty disk."""
        return Record(f"{self.rng.getrandbits(64):016x}", self.place.first_start)

    async def stop(self) -> None:
        """Leaves: others take its places first, if there are any; see leaving.py."""
        if self._desk is not None:
            logging.info("store: leaves")
            self.replica.state = State.LEAVING
            self._beats()
            since = self.clock()
            while not may_end(self.replica, self.clock(), since, self.place.grace_period):
                await asyncio.sleep(TICK)
        self.stopped.set()

    def _tick(self, now: float) -> None:
        self.desk.examine(now)
        self.replica.seed(now, self.place.seeds)
        self.replica.forget(now)
        self._crown()
        if self.replica.fenced() and not self.desk.pen.locked():
            self.desk.spawn(self.desk.ink(lambda now: self.replica.fenced() or self.replica.record))
        if self.learner.due(self.replica) and not self.desk.pen.locked():
            self.desk.spawn(self._copy())
        if not self.busy.locked() and self.replica.due(now) is not None:
            self.desk.spawn(self._act())
        self.lending.tick()
        self._bump()

    def _let(self) -> None:
        """Who counts has changed: the others hear it by beats, the registry beside at once."""
        self._beats()
        self._bump()

    def _crown(self) -> None:
        if self.replica.crown(self.clock()):
            logging.info(
                "store: serves version %d, %s", self.replica.version, self.replica.record.view
            )
            self._tell()
            self.lending.begin()

    # --- beats and news

    def _beats(self) -> None:
        for address in list(self.replica.peers):
            if address not in self.beating:
                self.beating.add(address)
                self.desk.spawn(self._beat(address))

    async def _beat(self, address: Address) -> None:
        replica, sent, says = self.replica, self.clock(), self.lending.says()
        body = replica.beat(sent, address) | says
        try:
            result = await self.network.call(address, "beat", body, 3 * BEAT)
        finally:
            self.beating.discard(address)
        match result:
            case Result(tag="ok", ok=answer):
                peer = replica.on_answer(self.clock(), sent, answer)
                self.lending.heed(answer, sent)
                if self.lending.outdated(says):
                    self._beats()
                # what is due by this answer needn't wait for the next look
                self._tick(self.clock())
                view, member = replica.record.view, Member.read(answer["member"])
                if (
                    view
                    and replica.owns()
                    and peer.epoch < view.epoch
                    and member.id in view.named()
                ):
                    await self.desk.install(member, view)
                if peer.version > (replica.version if replica.informed else -1):
                    await self._pull(address)

    async def _pull(self, address: Address) -> None:
        if self.pulling:
            return
        self.pulling = True
        try:
            match await self.network.call(address, "held", {}, self.slow):
                case Result(tag="ok", ok=answer):
                    self._learn(answer)
                    self.slow = CALL
                case _:  # it may be larger than the one held here: the next try is given more
                    self.slow = min(PULLED, 2 * self.slow)
        finally:
            self.pulling = False

    def _learn(self, news: Body) -> None:
        if self.replica.commit(news["version"], news["data"]):
            self._bump()
            if self.learner.due(self.replica) and not self.desk.pen.locked():
                self.desk.spawn(self._copy())

    async def _copy(self) -> None:
        """Writes what is in force to this disk too, though it's neither the primary's nor the
        backup's.
        """
        if held := self.learner.due(self.replica):
            await self.desk.note(self.learner.page(held))
            self.learner.copy = held

    def _tell(self) -> None:
        """Tells all others at once what is in force."""
        self._bump()
        now, replica = self.clock(), self.replica
        body = {"version": replica.version, "data": replica.data}
        for address, peer in replica.peers.items():
            if now - peer.answered < ABSENT:
                within = CALL + transfer_seconds(len(replica.data))
                self.desk.spawn(self.network.call(address, "news", body, within))

    # --- what is due

    async def _act(self) -> None:
        if not self.busy.locked():
            async with self.busy:
                await self._due()

    async def _due(self) -> None:
        """Does the one thing that is due; under `busy`."""
        plan, done = self.replica.due(self.clock()), False
        if plan is None:
            return
        try:
            if plan.step is Step.SETTLE:
                done = await self._settle()
            elif plan.step is Step.YIELD:
                done = await self._yield()
            else:
                done = await self._campaign(plan)
        finally:
            if not done:
                self.replica.postpone(self.clock())

    async def _campaign(self, plan: Plan, release: Release | None = None) -> bool:
        done = await campaign(self.desk, plan, release)
        # it reigned before: its new backup has what it holds
        if done and self.replica.writes(self.clock()):
            self._commit()
        self._crown()
        self._bump()
        return done

    def _commit(self) -> None:
        held = self.replica.record
        if self.replica.commit(held.version, held.data):
            self._tell()

    async def _settle(self) -> bool:
        """What the primary holds goes to its backup once more, and is then in force."""
        replica, held, view = self.replica, self.replica.record, self.replica.record.view
        if view is None or not replica.leads(self.clock()):
            return False
        failed = view.backup and await self.desk.keep(
            view.backup, view.epoch, held.version, held.data
        )
        if failed is CallFailure.REFUSED:  # it has something later of this epoch, or can't write
            plan = Plan(Step.MOVE, "its backup doesn't follow", view.voters, view.former)
            return await self._campaign(plan)
        if failed or not replica.leads(self.clock()) or replica.record is not held:
            return False
        replica.settled = view.epoch
        if replica.reign:
            self._commit()
        self._crown()
        return True

    async def _yield(self) -> bool:
        replica, view = self.replica, self.replica.record.view
        if view is None or view.backup is None:
            return False
        backup, epoch = view.backup, replica.promised + 1
        # the promise ends its serving for good, a restart included: so nobody need wait for grants
        # to end
        replica.reign = False
        await self.desk.ink(lambda now: replica.promise(now, epoch, backup.id, view.epoch))
        logging.info("store: hands over to %s", backup.address[0])
        # nor need the registry that counts stop: the next primary knows of it
        body = {
            "by": replica.me.id,
            "epoch": epoch,
            "under": view.epoch,
            "duty": self.lending.duty.will(self.clock()),
        }
        return not isinstance(await self.desk.ask(backup, "lead", body), CallFailure)

    async def _lead(self, release: Release, will: list[Any] | None) -> None:
        async with self.busy:
            base = self.replica.base()
            if base is not None and base.epoch == release.under and base.primary.id == release.by:
                if will:
                    self.lending.duty.inherit(self.clock(), will)
                plan = Plan(Step.TAKE, "its primary leaves", base.voters, base.former)
                await self._campaign(plan, release)

    # --- calls

    async def serve(self, op: str, body: Body) -> Body:
        """The answer to a call; CallRefusedError if it did nothing.

        Of stores: beat, promise, keep, fetch, install, lead, news, held. Of anybody: put and offer
        {version, data} -> {version: the one in force, conflict: True if the number stands for
        another content and this one is refused for good}; read {} -> {version, data, left: see
        answers.py}; status {} and wait {have: version, mark: of the last answer, within: seconds}
        -> {version, mark, epoch, primary: [host, port] or None, cores: [[host, port]], ready, duty:
        [epoch, number, host] or None} and, from wait, data if there is a newer version than `have`;
        duty {host, life} -> {span: seconds from the sending, duty} while this one serves and that
        registry may count, duty {host, life, back: True} -> {}; rescue as `RescueCalls.serve` says,
        and told {} -> a `Told`.
        """
        replica = self.replica
        if "to" in body:
            replica.mine(body["to"])
        match op:
            case "beat":
                answer = replica.on_beat(self.clock(), body)
                self.lending.heed(body, self.clock())
                self._bump()
                return answer | self.lending.says()
            case "promise":
                return await self._promise(body)
            case "keep":
                epoch, asker, version, data = (
                    body["epoch"],
                    body["asker"],
                    body["version"],
                    body["data"],
                )
                orders = ChangeHistory.read(body.get("orders"), version, data)
                await self.desk.ink(lambda now: replica.keep(epoch, asker, version, data, orders))
                return {}
            case "fetch":
                held = await self.desk.ink(lambda now: replica.fetch(body["epoch"], body["asker"]))
                return {"version": held.version, "data": held.data, "orders": held.orders.body()}
            case "install":
                view = View.read(body["view"])
                if view is not None:
                    await self.desk.ink(lambda now: replica.install(view))
                    replica.renew(self.clock(), view)
                return {}
            case "lead":
                release = Release(body["by"], body["epoch"], body["under"])
                self.desk.spawn(self._lead(release, body.get("duty")))
                return {}
            case "news":
                self._learn(body)
                return {}
            case "held":
                if not replica.informed:
                    raise CallRefusedError("nothing known to be in force")
                return {"version": replica.version, "data": replica.data}
            case "put" | "offer":
                return await self._put(op, body)
            case "told":
                return self.aid.told().body()
            case "rescue":
                return await self.aid.serve(body)
            case "read":
                return await self._read(body)
            case "status":
                return self.status()
            case "wait":
                return await self._wait(body["have"], body["within"], body.get("mark", self.mark))
            case "duty":
                return await self.lending.asked(body)
        raise CallRefusedError(f"no such call: {op}")

    async def _promise(self, body: Body) -> Body:
        replica, epoch, asker, released = (
            self.replica,
            body["epoch"],
            body["asker"],
            body["released"],
        )
        if self.lending.bars(released):
            would = False
        elif epoch == 0:  # only whether it would
            would = replica.state is not State.SICK
            would = would and replica.may_promise(
                self.clock(), replica.promised + 1, asker, released
            )
        else:
            try:
                await self.desk.ink(lambda now: replica.promise(now, epoch, asker, released))
                would = True
            except CallRefusedError:
                would = False
        view = replica.base()
        return {"ok": would, "promised": replica.promised, "view": view.body() if view else None}

    async def _put(self, op: str, body: Body) -> Body:
        replica, version, data = self.replica, int(body["version"]), bytes(body["data"])
        if op == "offer":
            self.aid.given(version, data)
        try:
            async with asyncio.timeout(ANSWER + transfer_seconds(len(data))):
                if not replica.leads(self.clock()):
                    return await self._hand_on(
                        op, body, ANSWER - 0.05 + transfer_seconds(len(data))
                    )
                async with self.busy:
                    taken = await self._take(version, data, op == "put")
                    return {"version": replica.version} | ({} if taken else {"conflict": True})
        except TimeoutError:
            raise CallRefusedError("not in time") from None

    async def _take(self, version: int, data: bytes, order: bool) -> bool:
        """Puts a version in force, if it's higher; False if it's an order whose number stands for
        another content (see `Answer`). As the primary, under `busy`.
        """
        replica = self.replica
        if replica.leads(self.clock()) and (
            not replica.reign or replica.record.version > replica.version
        ):
            await self._settle()
        if not replica.writes(self.clock()):
            raise CallRefusedError("not the primary")
        answer = replica.orders.judge(replica.version, replica.data, version, data)
        if answer is Answer.TAKE:
            await self._write(version, data)
        elif order and answer is Answer.CONFLICT:
            self._conflict(version)
            return False
        elif order and answer is Answer.PASSED:
            await self._note_passed(replica.orders.passed(version, digest(data)))
        return True

    async def _note_passed(self, orders: ChangeHistory) -> None:
        """Has on both disks that a lower number was acknowledged, unless it's too low to be
        remembered.
        """
        replica = self.replica
        if orders == replica.orders:
            return
        if replica.record.version != replica.version:
            raise CallRefusedError("what it wrote last isn't settled")
        replica.orders = orders
        await self._write(replica.version, replica.data)

    async def _write(self, version: int, data: bytes) -> None:
        """Has a configuration with its orders on its disk and the backup's, and puts it in
        force.
        """
        replica, view = self.replica, self.replica.record.view
        assert view is not None
        backup = [self.desk.keep(view.backup, view.epoch, version, data)] if view.backup else []
        own = self.desk.ink(lambda now: replica.own(view.epoch, version, data))
        wrote, *kept = await asyncio.gather(own, *backup, return_exceptions=True)
        if isinstance(wrote, BaseException):
            raise CallRefusedError("its disk")
        if any(kept):
            # what it wrote may be in force: another backup may settle it while the asker still
            # waits
            plan = Plan(Step.MOVE, "its backup doesn't write", view.voters, view.former)
            if not await self._campaign(plan):
                replica.postpone(self.clock())
                raise CallRefusedError("no backup")
        if not replica.writes(self.clock()) or replica.record.version != version:
            raise CallRefusedError("the lease is over")
        self._commit()

    def _conflict(self, version: int) -> None:
        self.conflicts += 1
        if version not in self.clashed:
            self.clashed = {*sorted(self.clashed)[-CLASHED:], version}
            logging.info("store: r%d was taken with another content: refused", version)

    async def _read(self, body: Body) -> Body:
        replica = self.replica
        if (lasts := replica.lease_left(self.clock())) > 0.0:
            return {"version": replica.version, "data": replica.data, LEFT: lasts}
        return await self._hand_on("read", body, CALL + transfer_seconds(len(replica.data)))

    async def _hand_on(self, op: str, body: Body, within: float) -> Body:
        hops, primary = int(body.get("hops", 0)), self._seat()[1]
        if hops >= HOPS or primary is None or primary == self.place.address:
            raise CallRefusedError("no primary")
        asked = self.clock()
        match await self.network.call(primary, op, body | {"hops": hops + 1}, within):
            case Result(tag="ok", ok=answer) if (
                lasts := left(answer, asked, self.clock(), within)
            ) > 0.0:
                return answer | ({LEFT: lasts} if LEFT in answer else {})
        raise CallRefusedError("the primary didn't answer")

    # --- what registries ask

    def _seat(self) -> tuple[int, Address | None]:
        """The newest epoch known, and its primary's address if that is there."""
        replica, now = self.replica, self.clock()
        view = replica.base()
        if view is None:
            return 0, None
        own = view.primary.id == replica.me.id
        there = (
            replica.lease_left(now) > 0.0 if own else replica.silence(now, view.primary) < ABSENT
        )
        return view.epoch, view.primary.address if there else None

    def status(self) -> Body:
        replica, now = self.replica, self.clock()
        epoch, primary = self._seat()
        return {
            "version": replica.version,
            "epoch": epoch,
            "primary": [*primary] if primary else None,
            "backup": [*seen.backup.address] if (seen := replica.base()) and seen.backup else None,
            "cores": [[*a] for a in replica.cores(now)],
            "ready": replica.informed and self.lending.fresh(),
            "duty": self.lending.told(),
            "conflicts": self.conflicts,
            "mark": self.mark,
        }

    def _bump(self) -> None:
        """Wakes those who wait, if what they'd be told has changed."""
        replica, now = self.replica, self.clock()
        serves = replica.lease_left(now) > 0.0
        ready = replica.informed and self.lending.fresh()
        shown = (
            replica.version,
            ready,
            serves,
            self.lending.told(),
            *self._seat(),
            replica.cores(now),
        )
        if shown != self.shown:
            self.shown, self.mark = shown, self.mark + 1
            self.changed.set()
            self.changed = asyncio.Event()

    async def _wait(self, have: int, within: float, mark: int) -> Body:
        if self.replica.version <= have and mark == self.mark:
            if self.replica.lease_left(self.clock()) > 0.0:
                within = min(within, FRESH)
            try:
                async with asyncio.timeout(within):
                    await self.changed.wait()
            except TimeoutError:
                pass
        answer = self.status()
        if self.replica.version > have:
            answer["data"] = self.replica.data
        return answer
