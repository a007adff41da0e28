"""Hundreds of changes, and configurations of thousands of routes."""

from __future__ import annotations

import json
from typing import Any

import pytest

from loomstand.shared.configuration import ConfigurationError, parse


def body(routes: int, version: int = 7, **more: Any) -> bytes:
    """So many routes of two services; `more` is changed in the first."""
    spec = {
        "host": "town.example", "route_kind": "idempotent", "timeout": "5000ms", "target_latency": "800ms",
        "priority": 2, "maximum_attempts": 2, "public": False,
        "traffic_split": [{"service_name": "alpha", "weight": 90}, {"service_name": "beta", "weight": 10}],
    }  # fmt: skip
    found: list[dict[str, Any]] = [
        {"resource_kind": "services", "metadata": {"name": name}, "specification": {}}
        for name in ("alpha", "beta")
    ]
    for n in range(routes):
        own = spec | {"path_prefix": f"/r{n}/"} | (more if n == 0 else {})
        found.append({"resource_kind": "routes", "metadata": {"name": f"r-{n}"}, "specification": own})
    return json.dumps({"version": f"r{version}", "resources": found}).encode()


@pytest.mark.parametrize("timeout", ["0ms", "0s", "0.0s"])
def test_a_route_without_time_is_refused(timeout):
    assert parse(body(2)).routes[0].timeout == 5.0
    with pytest.raises(ConfigurationError, match=r"resources\[2\] route r-0: specification.timeout: 0$"):
        parse(body(2, timeout=timeout))
