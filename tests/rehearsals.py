"""Plays rehearsals for tests: limiter processes among stand-ins, and whether all of them ended."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from loomstand.testing.rehearsal import report
from loomstand.testing.rehearsal.scenario import Rehearsal
from loomstand.testing.rehearsal.stage import LIMITER, alive, pids, stage

TESTS = Path(__file__).parent
EXAMPLES = TESTS.parent / "examples" / "rehearse"


def played(told: Rehearsal, out: Path, plan: bytes = b"", program=LIMITER, seed: int = 1) -> dict:
    asyncio.run(stage(told, seed, out, plan, program=program))
    return report.make(told, seed, out)


def gone(out: Path) -> bool:
    """Whether all processes of a rehearsal are gone, at once or within two seconds."""
    for _ in range(100):
        if not any(alive(pid) for pid in pids(out)):
            return True
        time.sleep(0.02)
    return False
