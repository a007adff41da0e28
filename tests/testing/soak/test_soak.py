"""Runs a few short seeds of the soak test."""

from __future__ import annotations

import pytest

from loomstand.testing.soak.run import SoakOptions, run_seed

DISTURBED_SECONDS = 8.0
LOOPBACK_NETWORK = 91


@pytest.mark.parametrize("seed", [3, 4, 7, 9])
def test_nothing_breaks_while_processes_are_signalled_and_restarted(seed):
    options = SoakOptions(seed, DISTURBED_SECONDS, network=LOOPBACK_NETWORK + seed)
    report = run_seed(options)
    assert report.faults == [], report.summary()
    assert report.endings["200"] > 500
