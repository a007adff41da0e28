"""The route table."""

from __future__ import annotations

import json

from configuration_samples import CONFIG, FIRST_ROUTE, changed_configuration
from hypothesis import given, settings
from hypothesis import strategies as st

from loomstand.config.configuration import parse_configuration
from loomstand.config.routes import RouteTable

STEADY = settings(derandomize=True, deadline=None, database=None)


def table_of(prefixes: list[str]) -> RouteTable:
    """Returns a table with a route for `a.example` and each prefix, and without tenants."""
    route = {"host": "a.example", "route_kind": "idempotent", "timeout": "1s", "service_name": "s"}
    resources = [
        {
            "resource_kind": "routes",
            "metadata": {"name": prefix},
            "specification": route | {"path_prefix": prefix},
        }
        for prefix in prefixes
    ]
    resources.append({"resource_kind": "services", "metadata": {"name": "s"}, "specification": {}})
    return RouteTable.from_configuration(
        parse_configuration(json.dumps({"version": "r1", "resources": resources}).encode())
    )


PATHS = st.text("/ab", max_size=8)


@settings(STEADY, max_examples=300)
@given(st.sets(PATHS.map(lambda prefix: f"/{prefix}/" if prefix else "/"), max_size=6), PATHS)
def test_the_longest_prefix_is_the_one_that_a_search_finds(prefixes, rest):
    found = table_of(sorted(prefixes)).find_route(b"a.example", f"/{rest}".encode())
    fitting = [prefix for prefix in prefixes if f"/{rest}".startswith(prefix)]
    assert (found.path_prefix if found else None) == max(fitting, key=len, default=None)


def test_table_finds_routes_tenants_and_services():
    table = RouteTable.from_configuration(parse_configuration(CONFIG))
    first, second = table.configuration.routes
    assert table.find_route(b"JEPU9.example:8782", b"/lepu270/2f") is first and table.version == 7
    assert table.find_route(b"hulo84.example", b"/xapu221/ny95/") is second
    for host, path in [
        (b"jepu9.example", b"/lepu270"),
        (b"", b"/lepu270/"),
        (b"x", b"/"),
        (b"[::1]", b"*"),
    ]:
        assert table.find_route(host, path) is None
    assert (
        table.find_tenant(b"fqasnmgkcuyj8pjbvk9m").name == "sese880"
        and table.find_tenant(b"") is None
    )
    assert table.requires_api_key(first) and not table.requires_api_key(second)
    assert not table_of(["/"]).requires_api_key(first)
    assert table.allowed_services[("jepu9.example", "/lepu270/")] == {"huvo11a", "kafi81c"}
    picks = [table.choose_service(first, n / 1000) for n in range(1000)]
    assert picks.count("huvo11a") == 900 and table.choose_service(first, 1 - 2**-53) == "kafi81c"
    reweighted = RouteTable.from_configuration(
        parse_configuration(changed_configuration(*FIRST_ROUTE, "traffic_split", 0, "weight", to=0))
    )
    assert reweighted.choose_service(reweighted.configuration.routes[0], 0.0) == "kafi81c"
    assert reweighted.allowed_services[("jepu9.example", "/lepu270/")] == {"kafi81c"}
