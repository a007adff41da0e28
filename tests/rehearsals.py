"""Runs rehearsals for tests and checks that all of their processes have exited."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from loomstand.testing.rehearsal import report
from loomstand.testing.rehearsal.runner import LIMITER, is_running, run_rehearsal, started_pids
from loomstand.testing.rehearsal.scenario import Rehearsal

TESTS = Path(__file__).parent
EXAMPLES = TESTS.parent / "examples" / "rehearse"


def run_and_report(
    rehearsal: Rehearsal, out: Path, plan: bytes = b"", program=LIMITER, seed: int = 1
) -> dict:
    """Runs a rehearsal and returns its report."""
    asyncio.run(run_rehearsal(rehearsal, seed, out, plan, program=program))
    return report.make(rehearsal, seed, out)


def all_exited(out: Path) -> bool:
    """Whether all processes of a rehearsal have exited, now or within two seconds."""
    for _ in range(100):
        if not any(is_running(pid) for pid in started_pids(out)):
            return True
        time.sleep(0.02)
    return False
