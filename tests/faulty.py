"""Runs a limiter with an injected fault that the checker must find.

faulty.py FAULT --config FILE
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
from loomstand.admission.rate_limit_bucket import RateLimitBucket
from loomstand.cli import main
from loomstand.limiter import limiter


def inject_fault(fault: str, patch: Callable[[object, str, object], None] = setattr) -> None:
    """Injects a fault into the limiter's classes by `patch`."""
    original_handle = DecisionEngine.handle

    def handle(self, now, event):
        if fault == "drain" and isinstance(event, EndpointsUpdated):
            event.endpoints = tuple(replace(e, state=EndpointState.LIVE) for e in event.endpoints)
        return original_handle(self, now, event)

    if fault == "answers":  # rule 1: every twentieth passed request is never answered
        answer = limiter.Limiter.answer
        patch(
            limiter.Limiter,
            "answer",
            lambda self, req, *more, **kw: req.id % 20 == 0 or answer(self, req, *more, **kw),
        )
    elif fault == "twice":  # rule 2: a request that may have run is sent again
        patch(LoadBalancer, "is_safe_to_send", lambda self, pending, server: True)
    elif fault == "cold":  # rule 4: servers in slow start get as many requests as others
        patch(LoadBalancer, "allows_slow_start", lambda self, server: True)
        patch(Backend, "capacity", lambda self: 1.0)
    elif (
        fault == "ceiling"
    ):  # rule 5: each limiter grants the whole ceiling, with a full bucket at the start
        patch(RateLimitBucket, "capacity", lambda self, now: self.burst * self.limiters)
        patch(RateLimitBucket, "earned", lambda self, now: now * self.rate)
    patch(DecisionEngine, "handle", handle)


if __name__ == "__main__":
    inject_fault(sys.argv[1])
    sys.argv = ["loomstand", "serve", *sys.argv[2:]]
    main.main()
