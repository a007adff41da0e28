"""The calls of a rescue: all members are asked what they hold, the one chosen founds the view.

What decides is in `rescue` and `rescue_election_rules`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from expression import Result

from loomstand.rpc import Address, client
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.rescue_messages import (
    MemberReportRequest,
    MemberReportResponse,
    RescueRequest,
    RescueResponse,
    RescueResult,
)
from loomstand.store.election import Election
from loomstand.store.member_report import MemberReport, best_configuration
from loomstand.store.record import NO_CONFIGURATION, VersionedData
from loomstand.store.replica_io import CALL_SECONDS, ReplicaIO
from loomstand.store.rescue import RescueCase, make_case
from loomstand.store.rescue_election_rules import make_rescue_rules
from loomstand.store.views import View

# For a whole rescue at the member chosen: two looks, promises, a backup's write or two, and the
# view's.
RESCUE_SECONDS = 4.0


class RescueService:
    """The rescue at one store; it keeps what registries and limiters gave back."""

    def __init__(
        self,
        io: ReplicaIO,
        leadership_lock: asyncio.Lock,
        become_serving: Callable[[], None],
    ) -> None:
        """Sets the service up.

        Args:
            io: The store's replica.
            leadership_lock: Held by whatever a primary or candidate does.
            become_serving: Has the store serve if it can.
        """
        self._io = io
        self._leadership_lock = leadership_lock
        self._become_serving = become_serving
        # the highest that was given back and isn't known to be committed
        self._offered = NO_CONFIGURATION

    def offer(self, configuration: VersionedData) -> None:
        """A registry or limiter holds this; without a primary it is kept, a rescue may need it."""
        if configuration.version > max(self._offered.version, self._io.replica.version):
            self._offered = configuration

    def report(self) -> MemberReport:
        """What this member holds."""
        if self._offered.version <= self._io.replica.version:
            self._offered = NO_CONFIGURATION
        return MemberReport.of(self._io.replica, self._io.clock(), self._offered)

    async def _find_case(self, gone_hosts: list[str]) -> RescueCase:
        """Asks all members that it knows of, and those that the views found name besides."""
        reports = [self.report()]
        asked = {self._io.replica.member.address}
        while True:
            unasked = self._known_addresses(reports) - asked
            if not unasked:
                return make_case(reports, gone_hosts, self._io.replica.seeds)
            asked |= unasked
            answers = await asyncio.gather(*(self._ask(address) for address in sorted(unasked)))
            reports += [report for report in answers if report is not None]

    def _known_addresses(self, reports: list[MemberReport]) -> set[Address]:
        named = {
            member.address
            for report in reports
            if report.view
            for member in report.view.members().values()
        }
        return named | {*self._io.replica.peers.by_address}

    async def _ask(self, address: Address) -> MemberReport | None:
        result = await client.call(
            self._io.network, address, MemberReportRequest(), MemberReportResponse, CALL_SECONDS
        )
        match result:
            case Result(tag="ok", ok=response):
                return MemberReport.from_message(response)
        return None

    async def handle(self, request: RescueRequest) -> RescueResponse:
        """Tells how the store stands or, with the token of that, founds its view."""
        case = await self._find_case(request.gone_hosts)
        if not request.token:
            return RescueResponse(case=case.to_message())
        refusals = _refusals(case, request.token)
        if refusals:
            return RescueResponse(refusals=refusals)
        chosen = case.chosen()
        assert chosen is not None  # else there would be too few disks
        if chosen.member == self._io.replica.member:
            async with self._leadership_lock:
                return await self._found(request.gone_hosts, request.token)
        if request.is_handed_on:
            return RescueResponse(refusals=["the core machines don't see the same"])
        return await self._hand_on(request, chosen)

    async def _hand_on(self, request: RescueRequest, chosen: MemberReport) -> RescueResponse:
        handed_on = RescueRequest(
            gone_hosts=request.gone_hosts,
            token=request.token,
            is_handed_on=True,
            recipient=chosen.member.id,
        )
        result = await client.call(
            self._io.network, chosen.member.address, handed_on, RescueResponse, RESCUE_SECONDS
        )
        match result:
            case Result(tag="ok", ok=response):
                return response
        return RescueResponse(
            refusals=[f"{chosen.host}, which was to found the view, gave no answer: look again"]
        )

    async def _found(self, gone_hosts: list[str], token: str) -> RescueResponse:
        replica = self._io.replica
        # another rescue may have ended while this one waited
        case = await self._find_case(gone_hosts)
        refusals = _refusals(case, token)
        if refusals:
            return RescueResponse(refusals=refusals)
        configuration = best_configuration(replica, self._offered)
        rules = make_rescue_rules(case, configuration, replica.rng)
        try:
            is_elected = await Election(self._io, rules, None).run()
        except CallRefusedError as error:
            return RescueResponse(refusals=[f"nothing is founded: {error}"])
        view = replica.record.view
        self._become_serving()
        if not is_elected or view is None or replica.lease_left(self._io.clock()) <= 0.0:
            replica.back_off(self._io.clock())
            return RescueResponse(
                refusals=[
                    "nothing is founded: some member in reach didn't promise, or wrote nothing; "
                    "look again"
                ]
            )
        return RescueResponse(result=_result(view, replica.version))


def _refusals(case: RescueCase, token: str) -> list[str]:
    if token == case.token():
        return case.obstacles()
    return [
        "the state is another one than that of this token: look again",
        *case.obstacles(),
    ]


def _result(view: View, version: int) -> RescueResult:
    return RescueResult(
        epoch=view.epoch,
        version=f"r{version}",
        primary=view.primary.address[0],
        backup=view.backup.address[0] if view.backup else None,
        voters=[member.address[0] for member in view.voters],
    )
