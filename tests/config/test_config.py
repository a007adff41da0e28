"""Units, settings, the checked configuration and its table of routes."""

from __future__ import annotations

import json
from copy import deepcopy
from dataclasses import FrozenInstanceError

import pytest
from configuration_samples import CONFIG, FILE
from hypothesis import given, settings
from hypothesis import strategies as st

from loomstand.config import units
from loomstand.config.configuration import ClientLimits, ConfigurationError, parse_configuration
from loomstand.config.routes import RouteTable
from loomstand.config.settings import SettingsError, read_settings
from loomstand.config.settings import parse_settings as told

STEADY = settings(derandomize=True, deadline=None, database=None)
DOC = json.loads(CONFIG)
ROUTE = "resources[0] route r-a: specification."
OTHER = "resources[1] route r-b: specification."
TENANT = "resources[5] tenant sese880: specification."


def changed(*where, to=None, gone=False):
    """The example with one value put in, or taken out."""
    doc = deepcopy(DOC)
    at = doc
    for key in where[:-1]:
        at = at[key]
    if gone:
        del at[where[-1]]
    elif isinstance(at, list) and where[-1] == len(at):
        at.append(to)
    else:
        at[where[-1]] = to
    return json.dumps(doc).encode()


def refused(raw: bytes) -> str:
    with pytest.raises(ConfigurationError) as told:
        parse_configuration(raw)
    return str(told.value)


def test_units_both_ways():
    assert (
        units.parse_seconds("1500ms") == 1.5
        and units.parse_seconds("2.5s") == 2.5
        and units.parse_seconds("0ms") == 0
    )
    assert units.parse_version("r12") == 12 and units.format_version(12) == "r12"
    assert units.parse_address("10.1.0.3:8783") == ("10.1.0.3", 8783)
    assert units.format_address(("10.1.0.3", 8783)) == "10.1.0.3:8783"


def test_units_name_what_is_wrong():
    wrong = {
        units.parse_seconds: [
            "",
            "5",
            "s",
            "-1s",
            "1e3ms",
            "1 s",
            "nans",
            ".5s",
            "2m",
            "\u0663s",
            "9" * 400 + "s",
        ],
        units.parse_version: [
            "",
            "r",
            "7",
            "R7",
            "r-1",
            "r1.0",
            "r\u0663",
            f"r{2**63}",
            "r" + "9" * 9000,
        ],
        units.parse_address: [
            "10.1.0.3",
            "a:1",
            "1.1.0:1",
            "1.1.0.256:1",
            "1.1.0.03:1",
            "1.1.0.3:0",
            "::1:80",
        ],
    }
    for reader, texts in wrong.items():
        for text in texts:
            with pytest.raises(units.UnitError, match=r"^'.{0,59}('|\.\.\.) is (not|too) "):
                reader(text)


def test_the_example_settings():
    node = told(FILE + "\nself.shoe_size=44\n# a note\nself.limits.disk_mb.more=x\n")
    assert (node.role, node.serves, node.loss_counted) == ("my-core", ("control_plane",), True)
    assert (node.limits.cpu_share, node.limits.memory_mb, node.limits.disk_mb) == (0.645, 296, 256)
    assert (
        node.listen_addresses.control_plane == ("10.1.0.33", 8783)
        and node.listen_addresses.frontend is None
    )
    assert node.seed_nodes[2] == ("10.3.0.14", 8783) and node.internal_ports == (7340, 7355)
    assert (
        node.zones == {"charguia": "tunis", "ben-arous": "tunis"} and node.heartbeat_seconds == 1.5
    )
    assert (
        "quota" in node.contracts
        and node.tolerated_losses.machines == 1
        and node.tolerated_losses.zones == 0
    )
    assert (
        node.bounds.contact_seconds,
        node.bounds.revocation_global,
        node.bounds.budget_slack,
    ) == (
        4,
        True,
        62,
    )
    assert (node.bounds.drain_seconds, node.bounds.retry_budget_ratio) == (
        2.5,
        0.2,
    )  # not in this file
    assert (
        node.registry_address("10.2.0.25") == ("10.2.0.25", 7340)
        and node.store_address("10.2.0.25")[1] == 7341
    )
    assert node == told(FILE.replace("\n", "\r\n"))
    with pytest.raises(FrozenInstanceError):
        node.zone = "lac"


OPTIONAL = (
    "self.serves",
    "self.data",
    "self.limits",
    "network.zones",
    "platform_settings",
    "rule_terms",
)


@pytest.mark.parametrize("line", FILE.split("\n")[1:-1])
def test_each_setting_names_itself(line):
    key = line.partition("=")[0]
    if not key.startswith(OPTIONAL):
        with pytest.raises(SettingsError, match=f"^{key}: missing"):
            told(FILE.replace(line + "\n", ""))
    elif "serves" not in key:
        told(FILE.replace(line + "\n", ""))
    if not key.endswith(("data_directory", "discovery_source")):
        wrong = (
            ""
            if key.endswith(("name", "role", "class", "zone", "region")) or "zones" in key
            else "1,,x"
        )
        with pytest.raises(SettingsError, match=f"^{key}: [^\n]+$"):
            told(FILE.replace(line, f"{key}={wrong}"))
        with pytest.raises(SettingsError, match=f"^{key}: given twice$"):
            told(FILE + line)


def test_settings_that_cannot_be():
    wrong = [
        ("network.internal_ports", "7340,7340", "'7340,7340' leaves fewer than two ports"),
        ("network.seed_nodes", "", "empty"),
        ("self.loss_counted", "yes", "'yes' is neither true nor false"),
        ("self.limits.memory_mb", "2.5", "'2.5' is not a whole number"),
        ("rule_terms.bounds.budget_slack", "nan", "'nan' is not a number of 0 or more"),
    ]
    for key, value, message in wrong:
        rest = "\n".join(line for line in FILE.split("\n") if not line.startswith(key))
        with pytest.raises(SettingsError) as raised:
            told(f"{rest}\n{key}={value}")
        assert str(raised.value) == f"{key}: {message}"
    with pytest.raises(
        SettingsError, match=r"^network\.listen_addresses\.frontend: missing, and self\.serves"
    ):
        told(FILE.replace("=control_plane", "=frontend"))
    with pytest.raises(
        SettingsError, match=r"^line 2: 'rule_terms\.bo' is not of the form a\.b=value"
    ):
        told("\nrule_terms.bo")


def test_settings_from_a_file(tmp_path):
    path = tmp_path / "node.conf"
    with pytest.raises(SettingsError, match="can't be read"):
        read_settings(str(path))
    path.write_text(FILE)
    assert read_settings(str(path)) == told(FILE)


def test_the_example_configuration():
    got = parse_configuration(CONFIG)
    assert got.version == 7 and got.raw == CONFIG and "ctnf" not in repr(got)
    first, second = got.routes
    assert (
        first.traffic_split == (("huvo11a", 90), ("kafi81c", 10))
        and first.idempotent
        and first.max_attempts == 2
    )
    assert (first.timeout_seconds, first.target_latency_seconds, first.priority, first.public) == (
        1.2,
        0.3,
        2,
        False,
    )
    assert (
        second.host == "hulo84.example" and second.timeout_seconds == 600 and second.priority == 0
    )
    assert second.traffic_split == (("wuno96b", 1),) and not second.idempotent and second.public
    assert got.services["kafi81c"].health_check_path == "/health"
    assert got.services["wuno96b"].connection_limit == 130
    assert (
        got.tenants and got.tenants[0].rate_per_second == 63.5 and got.limits == ClientLimits(8192)
    )


def test_what_must_not_be_refused():
    valid = [
        changed("resources", 5, gone=True),
        changed("resources", 5, "specification", to={}),
        changed("resources", 5, "specification", "api_keys", to=["a", "a"]),
        changed("resources", 6, gone=True),
        changed("resources", 0, "specification", "traffic_split", 1, "weight", to=0),
        changed("resources", 1, "specification", "traffic_split", to=[]),
        changed("resources", 1, "specification", "priority", to=None),
        changed("resources", 0, "specification", "retry", to={"attempts": -1}),
        changed("more", to=[1e9]),
        b'{"version":"r0","resources":[]}',
    ]
    for raw in valid:
        got = parse_configuration(raw)
        assert (got.tenants is None) == (b"tenants" not in raw)


SPEC = ("resources", 0, "specification")
RAW_REFUSALS = [
    (CONFIG[:-1], "JSON: Expecting ',' delimiter"),
    (b"\xff" + CONFIG, "not UTF-8 at byte 0"),
    (b"[]", "JSON: not an object"),
    (b"[" * 100_000, "JSON: nested too deep"),
    (
        b'{"version":"r1","resources":[],"x":' + b"9" * 5000 + b"}",
        "JSON: a number of too many digits",
    ),
    (CONFIG.replace(b"63.5", b"NaN"), "JSON: NaN is not a number"),
    (CONFIG.replace(b"63.5", b"1e999"), TENANT + "rate_per_s: too large a number"),
    (CONFIG.replace(b"63.5", b"9" * 400), TENANT + "rate_per_s: too large a number"),
    (CONFIG.replace(b'"priority":1', b'"rate_per_s":1'), "JSON: key 'rate_per_s' given twice"),
    (changed("version", gone=True), "version: missing"),
    (changed("resources", gone=True), "resources: missing"),
    (changed("resources", 3, "resource_kind", gone=True), "resources[3]: resource_kind: missing"),
    (
        changed(*SPEC, "traffic_split", gone=True),
        ROUTE + "service_name: missing, and there is no traffic_split",
    ),
]
REFUSALS = [  # where in `resources`, what stands there instead, and the message
    ((3,), 1, "resources[3]: not an object"),
    ((3, "metadata"), None, "resources[3]: metadata: missing"),
    ((3, "metadata", "name"), " ", "resources[3] service: metadata.name: empty"),
    (
        (5, "metadata", "name"),
        "a\nb",
        "resources[5] tenant: metadata.name: a character that can't be sent on",
    ),
    (
        (5, "metadata", "name"),
        "\ud800",
        "resources[5] tenant: metadata.name: a character that can't be sent on",
    ),
    (
        (1, "metadata", "name"),
        "r-a",
        "resources[1] route r-a: metadata.name: given at resources[0] too",
    ),
    ((5, "specification", "api_keys"), [7], TENANT + "api_keys[0]: not a text"),
    ((5, "specification", "burst_size"), -1, TENANT + "burst_size: negative"),
    ((1, "specification", "service_name"), "gone", OTHER + "service_name: unknown service 'gone'"),
    ((0, "specification"), None, "resources[0]: specification: missing"),
    ((8,), DOC["resources"][6], "resources[8] limits: given twice"),
    (
        (8,),
        DOC["resources"][0] | {"metadata": {"name": "r-c"}},
        "resources[8] route r-c: specification.path_prefix: host and prefix are those of route r-a",
    ),
    (
        (8,),
        DOC["resources"][5] | {"metadata": {"name": "t2"}},
        "resources[8] tenant t2: specification.api_keys[0]: tenant sese880 has this key too",
    ),
]
ROUTE_REFUSALS = [  # a field of the first route, its value, and the message after the place
    (("service_name",), "gone", "unknown service 'gone'"),
    (("traffic_split", 1, "service_name"), "gone", "unknown service 'gone'"),
    (("traffic_split",), [{"service_name": "huvo11a", "weight": 0}], "the weights add up to 0"),
    (("traffic_split", 0, "weight"), -1, "negative"),
    (("traffic_split", 0, "weight"), True, "not a number"),
    (("traffic_split", 0), 1, "not an object"),
    (("timeout",), "600001ms", "over ten minutes"),
    (("timeout",), "-5ms", "'-5ms' is not a time such as 1500ms or 2.5s"),
    (("timeout",), 5.0, "not a text"),
    (("maximum_attempts",), 0, "0"),
    (("maximum_attempts",), 1.5, "not a whole number"),
    (("host",), "", "empty"),
    (("path_prefix",), "/a", "'/a' doesn't begin and end with a slash"),
    (("path_prefix",), "a/", "'a/' doesn't begin and end with a slash"),
    (("route_kind",), "odd", "'odd' is neither idempotent nor non_idempotent"),
    (("public",), 0, "neither true nor false"),
]


def test_a_refusal_says_where_and_what():
    for raw, message in RAW_REFUSALS:
        assert refused(raw).startswith(message)
    for version, message in [(7, "not a text"), ("7", "'7' is not a version such as r12")]:
        assert refused(changed("version", to=version)) == f"version: {message}"
    for where, value, message in REFUSALS:
        assert refused(changed("resources", *where, to=value)) == message
    for where, value, message in ROUTE_REFUSALS:
        field = "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in where)
        assert (
            refused(changed(*SPEC, *where, to=value))
            == f"{ROUTE.removesuffix('.')}{field}: {message}"
        )


def test_every_truncation_is_refused():
    for end in range(len(CONFIG)):
        refused(CONFIG[:end])


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(["r9", "1s", "/"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=4,
)


def places(at, path=()):
    """The path of every value in a JSON document."""
    for key, value in (
        at.items() if isinstance(at, dict) else enumerate(at) if isinstance(at, list) else ()
    ):
        yield (*path, key)
        yield from places(value, (*path, key))


def whole_or_refused(raw: bytes) -> None:
    try:
        RouteTable.from_configuration(parse_configuration(raw))
    except ConfigurationError as wrong:
        assert len(str(wrong).encode()) < 400 and len(str(wrong).splitlines()) == 1


@settings(STEADY, max_examples=300)
@given(st.sampled_from(list(places(DOC))), VALUES, st.booleans())
def test_no_changed_value_does_more_than_be_refused(where, value, gone):
    whole_or_refused(changed(*where, to=value, gone=gone))


@settings(STEADY, max_examples=300)
@given(st.binary(max_size=40), st.integers(0, len(CONFIG)), st.integers(0, 40))
def test_no_bytes_do_more_than_be_refused(some, at, over):
    whole_or_refused(some)
    whole_or_refused(CONFIG[:at] + some + CONFIG[at + over :])


def table(prefixes: list[str]) -> RouteTable:
    route = {"host": "a.example", "route_kind": "idempotent", "timeout": "1s", "service_name": "s"}
    resources = [
        {
            "resource_kind": "routes",
            "metadata": {"name": p},
            "specification": route | {"path_prefix": p},
        }
        for p in prefixes
    ]
    resources.append({"resource_kind": "services", "metadata": {"name": "s"}, "specification": {}})
    return RouteTable.from_configuration(
        parse_configuration(json.dumps({"version": "r1", "resources": resources}).encode())
    )


PATHS = st.text("/ab", max_size=8)


@settings(STEADY, max_examples=300)
@given(st.sets(PATHS.map(lambda p: f"/{p}/" if p else "/"), max_size=6), PATHS)
def test_the_longest_prefix_is_the_one_that_a_search_finds(prefixes, rest):
    found = table(sorted(prefixes)).find_route(b"a.example", f"/{rest}".encode())
    fitting = [p for p in prefixes if f"/{rest}".startswith(p)]
    assert (found.path_prefix if found else None) == max(fitting, key=len, default=None)


def test_a_table_finds_hosts_keys_and_services():
    have = RouteTable.from_configuration(parse_configuration(CONFIG))
    first, second = have.configuration.routes
    assert have.find_route(b"JEPU9.example:8782", b"/lepu270/2f") is first and have.version == 7
    assert have.find_route(b"hulo84.example", b"/xapu221/ny95/") is second
    for host, path in [
        (b"jepu9.example", b"/lepu270"),
        (b"", b"/lepu270/"),
        (b"x", b"/"),
        (b"[::1]", b"*"),
    ]:
        assert have.find_route(host, path) is None
    assert (
        have.find_tenant(b"fqasnmgkcuyj8pjbvk9m").name == "sese880"
        and have.find_tenant(b"") is None
    )
    assert have.requires_api_key(first) and not have.requires_api_key(second)
    assert not table(["/"]).requires_api_key(first)
    assert have.allowed_services[("jepu9.example", "/lepu270/")] == {"huvo11a", "kafi81c"}
    picks = [have.choose_service(first, n / 1000) for n in range(1000)]
    assert picks.count("huvo11a") == 900 and have.choose_service(first, 1 - 2**-53) == "kafi81c"
    none = RouteTable.from_configuration(
        parse_configuration(changed(*SPEC, "traffic_split", 0, "weight", to=0))
    )
    assert none.choose_service(none.configuration.routes[0], 0.0) == "kafi81c"
    assert none.allowed_services[("jepu9.example", "/lepu270/")] == {"kafi81c"}
