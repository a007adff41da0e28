"""The calls of a rescue: collects the reports of all members and founds a new view.

`rescue` and `rescue_election_rules` make the decisions.
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

# Timeout of a rescue at the chosen member: collecting reports twice, promises, one or two backup
# writes, and the installation of the view.
RESCUE_SECONDS = 4.0


class RescueService:
    """Handles rescues at one store and keeps the newest configuration offered to it."""

    def __init__(
        self,
        io: ReplicaIO,
        leadership_lock: asyncio.Lock,
        become_serving: Callable[[], None],
    ) -> None:
        """Creates the service.

        Args:
            io: The store's replica.
            leadership_lock: Lock that serializes the actions of a primary or candidate.
            become_serving: Makes the store serve if it can.
        """
        self._io = io
        self._leadership_lock = leadership_lock
        self._become_serving = become_serving
        # newest configuration that was offered and isn't known to be committed
        self._offered = NO_CONFIGURATION

    def offer(self, configuration: VersionedData) -> None:
        """Keeps a configuration offered by a registry or limiter; a rescue may need it."""
        if configuration.version > max(self._offered.version, self._io.replica.version):
            self._offered = configuration

    def report(self) -> MemberReport:
        """Returns the report of this member."""
        if self._offered.version <= self._io.replica.version:
            self._offered = NO_CONFIGURATION
        return MemberReport.of(self._io.replica, self._io.clock(), self._offered)

    async def _collect_case(self, gone_hosts: list[str]) -> RescueCase:
        """Collects reports of all known members, and of those named in the reported views."""
        reports = [self.report()]
        asked = {self._io.replica.member.address}
        while True:
            unasked = self._known_addresses(reports) - asked
            if not unasked:
                return make_case(reports, gone_hosts, self._io.replica.seeds)
            asked |= unasked
            answers = await asyncio.gather(
                *(self._request_report(address) for address in sorted(unasked))
            )
            reports += [report for report in answers if report is not None]

    def _known_addresses(self, reports: list[MemberReport]) -> set[Address]:
        named = {
            member.address
            for report in reports
            if report.view
            for member in report.view.members().values()
        }
        return named | {*self._io.replica.peers.by_address}

    async def _request_report(self, address: Address) -> MemberReport | None:
        result = await client.call(
            self._io.network, address, MemberReportRequest(), MemberReportResponse, CALL_SECONDS
        )
        match result:
            case Result(tag="ok", ok=response):
                return MemberReport.from_message(response)
        return None

    async def handle(self, request: RescueRequest) -> RescueResponse:
        """Returns the rescue case, or founds a view if the request has the case's token."""
        case = await self._collect_case(request.gone_hosts)
        if not request.token:
            return RescueResponse(case=case.to_message())
        refusals = _refusals(case, request.token)
        if refusals:
            return RescueResponse(refusals=refusals)
        chosen = case.chosen()
        assert chosen is not None  # otherwise there is an obstacle: too few disks
        if chosen.member == self._io.replica.member:
            async with self._leadership_lock:
                return await self._found_view(request.gone_hosts, request.token)
        if request.is_handed_on:
            return RescueResponse(refusals=["the core machines don't see the same"])
        return await self._forward(request, chosen)

    async def _forward(self, request: RescueRequest, chosen: MemberReport) -> RescueResponse:
        forwarded = RescueRequest(
            gone_hosts=request.gone_hosts,
            token=request.token,
            is_handed_on=True,
            recipient=chosen.member.id,
        )
        result = await client.call(
            self._io.network, chosen.member.address, forwarded, RescueResponse, RESCUE_SECONDS
        )
        match result:
            case Result(tag="ok", ok=response):
                return response
        return RescueResponse(
            refusals=[f"{chosen.host}, which was to found the view, gave no answer: look again"]
        )

    async def _found_view(self, gone_hosts: list[str], token: str) -> RescueResponse:
        replica = self._io.replica
        # another rescue may have finished while this one waited for the lock
        case = await self._collect_case(gone_hosts)
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
