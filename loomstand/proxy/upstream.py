"""Connections to servers in the gateway: what a whole answer is, and whose."""

from __future__ import annotations

import re
from math import inf

from loomstand.admission.outcome import Outcome
from loomstand.limiter.endings import Ending
from loomstand.limiter.protocols import Sends
from loomstand.limiter.request import HOP_FIELDS, Flight
from loomstand.limiter.upstream import Link, Pool
from loomstand.proxy.stale_connections import StaleConnections

STAYS = re.compile(rb"timeout=([0-9]{1,6})").search
# A server's idle close and our next request may cross on the way; of a request that can't be
# repeated nothing is left then. The stated time is in whole seconds, so it may be rounded.
MARGIN = 1.0
BROKEN = {Ending.CLOSED, Ending.RESET}
PROMISES = {408, 421, 429, 503}  # to clients: not run, and never will
# Surplus answers that are passed over for one request. A server sends one or two by mistake; where
# more come each costs a turn of the parser within one piece of bytes.
MOST_SURPLUS = 8
# seconds that a connection is kept where the server states nothing: those seen keep ten
UNSTATED = 4.0


class UpstreamConnection(Link):
    """One connection to a server. Answers carry the id of their request; a surplus one is passed
    over.
    """

    __slots__ = ("surplus",)

    def __init__(self, pool: Pool, srv: int) -> None:
        super().__init__(pool, srv)
        self.surplus, self.stays = 0, UNSTATED

    def opened(self) -> None:
        if self.flight is not None and self.flight.expire <= self.pool.limiter.now():
            # this process stood still while it came up: nobody waits any more, and nothing was sent
            self.wire.stop(Ending.EXPIRED)
            return
        super().opened()

    def took(self) -> None:
        flight, machine = self.flight, self.machine
        status, fields, body, close = machine.status, machine.fields, machine.body, machine.close
        id_, req = fields.get(b"loomstand-request-id"), flight.req
        if id_ is not None and id_ != req.request_id and self.surplus < MOST_SURPLUS:
            self.surplus += 1  # of an earlier request: the right one follows
            machine.reset()
            if self.wire.inbound.used:
                self.received()
            return
        not_run = b"loomstand-not-executed" in fields or status == 421
        if id_ != req.request_id or not own(status, fields, not_run):
            # no server's own answer to this request: it may have run
            self.wire.stop(Ending.MALFORMED)
            return
        if (said := STAYS(fields.get(b"keep-alive", b""))) is not None:
            self.stays = max(0.0, int(said[1]) - MARGIN)
        self.done(close or self.surplus > 0)
        limiter = self.pool.limiter
        if not_run:
            if status == 421:
                limiter.misdirected(flight)
            limiter.came(flight, Outcome.REJECTED)
            return
        left_out = HOP_FIELDS
        if (listed := fields.get(b"connection")) is not None:
            left_out = HOP_FIELDS | {part.strip().lower() for part in listed.split(b",")}
        extra = "".join(
            f"{name.decode('latin-1')}: {value.decode('latin-1')}\r\n"
            for name, value in fields.items()
            if name not in left_out
        )
        req.got = (status, body, extra)
        limiter.came(flight, Outcome.SERVER_ERROR if status >= 500 else Outcome.SUCCEEDED)

    def ended(self, why: Ending) -> None:
        if self.flight is not None and self.idle_at and why in BROKEN:
            self.pool.forgotten(self)
        super().ended(why)


def own(status: int, fields: dict[bytes, bytes], not_run: bool) -> bool:
    """Whether a server of the system can have said this. A success has its stamp, ran, and has no
    coding that nobody asked for; what clients take for a promise says by another field that it is
    one.
    """
    if 200 <= status < 300:
        return (
            not not_run
            and b"loomstand-response-stamp" in fields
            and b"content-encoding" not in fields
        )
    return not_run or status not in PROMISES


class UpstreamPool(Pool):
    """Connections to all servers."""

    link = UpstreamConnection

    def __init__(self, limiter: Sends, connect_timeout: float, idle_close: float) -> None:
        super().__init__(limiter, connect_timeout, idle_close)
        self.kept = StaleConnections()

    def send(self, flight: Flight) -> None:
        """A request that was lost on a kept connection goes on by a new one, as does one that was
        sent to that server before; one that must not run twice uses none that may be forgotten.
        """
        req, now, trusted = flight.req, self.limiter.loop.time(), inf
        if req.afresh or flight.srv in req.met:  # a second copy of its first answer has the same id
            trusted = 0.0
        elif not req.route.idempotent:
            trusted = self.kept.trusted(req.service, now)
        req.met = (*req.met, flight.srv)
        older = [v for v in self.idle.get(flight.srv, ()) if now - v.idle_at >= trusted]
        if not older:
            super().send(flight)
            return
        self.idle[flight.srv] = [v for v in self.idle[flight.srv] if now - v.idle_at < trusted]
        super().send(flight)
        self.idle[flight.srv] = older + self.idle.get(flight.srv, [])

    def give_up(self, flight: Flight, why: Ending) -> None:
        """What of it wasn't delivered never is: behind a cut the system would send it again for
        minutes.
        """
        if flight.link is not None and flight.link.flight is flight:
            flight.link.wire.sever()
        super().give_up(flight, why)

    def forgotten(self, lane: UpstreamConnection) -> None:
        """What was sent on a kept connection broke it. Servers may forget idle connections without
        a word, and many at once: those that were idle longer aren't used again, and the request's
        other tries, which are few, meet no other one that was kept.
        """
        flight, limiter = lane.flight, self.limiter
        flight.req.afresh = True
        after = (limiter.now() - flight.sent_at) / 10_000
        now = limiter.loop.time()
        self.kept.broke(flight.req.service, now - after - lane.idle_at, after, now)
        for other in [v for v in self.idle.get(lane.srv, ()) if v.idle_at <= lane.idle_at]:
            self.shut(other, Ending.IDLE)
