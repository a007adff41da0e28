"""Sessions of limiters with a registry, on whole clusters."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from loomstand.testing.simulation.cluster import Cluster


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    started = Cluster(1, proxies=4)
    started.run(started.start())
    yield started
    started.close()


@pytest.mark.parametrize("registries", [1, 2, 3])
def test_a_deregistered_limiter_is_no_longer_a_member(cluster, registries):
    """Guards against a deregistered limiter that becomes a member again.

    A limiter has a long poll in flight at each registry, which its deregistration ends. If the end
    of that call is recorded as contact with the limiter, its rank is reserved for 30 s, in which
    the others' quota shares are too small. With several registries, the deregistration that they
    forward to each other arrives later and hides the fault.
    """
    cluster.wait(1.0)
    lost = cluster.core_ips[registries:]
    for ip in lost:
        cluster.registries[ip].kill()
    cluster.wait(1.0)
    cluster.run(cluster.proxies["10.2.0.1"].terminate())
    for _ in range(4):
        cluster.wait(0.5)
        for ip in cluster.core_ips[:registries]:
            limiters = cluster.registry(ip).state.limiters
            assert (len(limiters.present), len(limiters.silent)) == (3, 0)
