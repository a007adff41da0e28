"""A limiter with a fault put in on purpose, for the checker to find: `faulty.py FAULT --config FILE`."""

from __future__ import annotations

import sys
from dataclasses import replace

from loomstand import cli
from loomstand import interface as api
from loomstand.brain import Account, Brain
from loomstand.brain.fleet import Fleet
from loomstand.brain.server import Server
from loomstand.net import limiter

FAULT = sys.argv[1]
usual = Brain.handle


def handle(self, now, note):
    if FAULT == "drain" and isinstance(note, api.Listed):
        note.entries = tuple(replace(e, phase=api.Phase.LIVE) for e in note.entries)
    return usual(self, now, note)


if FAULT == "answers":  # rule 1: every twentieth passed req is never answered
    answer = limiter.Limiter.answer
    limiter.Limiter.answer = lambda self, req, *more, **kw: req.id % 20 == 0 or answer(self, req, *more, **kw)
elif FAULT == "twice":  # rule 2: what may have run is sent again
    Fleet.may_repeat = lambda self, job, srv: True
elif FAULT == "cold":  # rule 4: no budget for cold servers
    Fleet.cold_ok = lambda self, srv: True
    Server.warmth = lambda self: 1.0
elif FAULT == "ceiling":  # rule 5: the whole ceiling at each limiter, full at the start
    Account.held = lambda self, at: self.plan.ceiling_depth
    Account.turns = lambda self, at: at * self.cap_rate
Brain.handle = handle
sys.argv = ["loomstand", "serve", *sys.argv[2:]]
cli.main()
