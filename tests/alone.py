"""pytest-xdist scheduler that runs tests on sockets and processes alone, after all other tests.

Tests on a simulated clock don't depend on the machine's speed and are distributed to all workers,
one by one. The tests of the files in `ALONE` depend on it: one worker runs all of them, when no
other worker has a test left. Without `-n` the scheduler is not used, and all tests run in sequence.
"""

from __future__ import annotations

import contextlib

import pytest

ALONE = {  # files whose tests open sockets or start processes that must keep up with real time
    "test_ctl.py",
    "test_limiter_on_sockets.py",
    "test_listener_close.py",
    "test_membership.py",
    "test_rehearsal.py",
    "test_rpc.py",
    "test_scale_run.py",
    "test_failover_processes.py",
    "test_signals_at_start.py",
    "test_soak.py",
    "test_wire.py",
}
SCOPE = "alone"


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    from xdist.scheduler import LoadScopeScheduling

    class AloneLastScheduling(LoadScopeScheduling):
        """Makes each test a work unit of its own, and the tests of `ALONE` one unit, the last."""

        def _split_scope(self, nodeid: str) -> str:
            return SCOPE if nodeid.partition("::")[0].rpartition("/")[2] in ALONE else nodeid

        def last_worker(self):
            """Returns the worker that is to run `ALONE`.

            The other workers are shut down as soon as no other work unit is left.
            """
            return next((node for node in self.nodes if not node.shutting_down), None)

        def _assign_work_unit(self, node) -> None:
            if SCOPE in self.workqueue and len(self.workqueue) > 1:
                self.workqueue.move_to_end(SCOPE)
            others = [work for other, work in self.assigned_work.items() if other is not node]
            if list(self.workqueue) == [SCOPE] and any(self._pending_of(work) for work in others):
                return  # `mark_test_complete` retries this when another worker completes a test
            with contextlib.suppress(OSError):  # the worker has just died; `remove_node` follows
                super()._assign_work_unit(node)

        def _reschedule(self, node) -> None:
            if node.shutting_down or node not in self.registered_collections:
                # An unregistered node replaces a worker that died; xdist calls this method again
                # for it once it has collected the tests.
                return
            while self.workqueue and list(self.workqueue) != [SCOPE]:
                if self._pending_of(self.assigned_work[node]) > 2:
                    return
                # A worker runs its last pending test only after it has got another one, so each
                # worker needs at least two units.
                self._assign_work_unit(node)
            if self.workqueue and node is self.last_worker():
                self._assign_work_unit(node)
            else:
                node.shutdown()

        def mark_test_complete(self, node, item_index: int, duration: float = 0) -> None:
            super().mark_test_complete(node, item_index, duration)
            last = self.last_worker()
            if list(self.workqueue) == [SCOPE] and last not in (None, node):
                self._reschedule(last)

        def remove_node(self, node) -> str | None:
            """Returns the test during which a worker died, if any.

            No work is reassigned, as `--max-worker-restart 0` ends the run in this case. The base
            class also reassigns completed tests, and then waits for them forever.
            """
            units = self.assigned_work.pop(node)
            return next(
                (test for unit in units.values() for test, done in unit.items() if not done), None
            )

    return AloneLastScheduling(config, log)
