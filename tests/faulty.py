"""A limiter with a fault put in on purpose, for the checker to find: `faulty.py FAULT --config
FILE`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace

from loomstand.admission.backend import Backend
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import EndpointState
from loomstand.admission.events import EndpointsUpdated
from loomstand.admission.load_balancer import LoadBalancer
from loomstand.admission.tenant_limiter import TenantLimiter
from loomstand.cli import main
from loomstand.limiter import limiter


def put_in(fault: str, patch: Callable[[object, str, object], None] = setattr) -> None:
    """Puts a fault into the limiter's classes by `patch`."""
    usual = DecisionEngine.handle

    def handle(self, now, note):
        if fault == "drain" and isinstance(note, EndpointsUpdated):
            note.endpoints = tuple(replace(e, state=EndpointState.LIVE) for e in note.endpoints)
        return usual(self, now, note)

    if fault == "answers":  # rule 1: every twentieth passed req is never answered
        answer = limiter.Limiter.answer
        patch(
            limiter.Limiter,
            "answer",
            lambda self, req, *more, **kw: req.id % 20 == 0 or answer(self, req, *more, **kw),
        )
    elif fault == "twice":  # rule 2: what may have run is sent again
        patch(LoadBalancer, "may_repeat", lambda self, job, srv: True)
    elif fault == "cold":  # rule 4: no budget for cold servers
        patch(LoadBalancer, "cold_ok", lambda self, srv: True)
        patch(Backend, "warmth", lambda self: 1.0)
    elif fault == "ceiling":  # rule 5: the whole ceiling at each limiter, full at the start
        patch(TenantLimiter, "held", lambda self, at: self.plan.rate_limit_burst)
        patch(TenantLimiter, "turns", lambda self, at: at * self.cap_rate)
    patch(DecisionEngine, "handle", handle)


if __name__ == "__main__":
    put_in(sys.argv[1])
    sys.argv = ["loomstand", "serve", *sys.argv[2:]]
    main.main()
