"""The operators' configuration: parsed and validated, or refused with the location of the error."""

from __future__ import annotations

import pytest
from configuration_samples import CONFIG, DOCUMENT, FIRST_ROUTE, changed_configuration
from hypothesis import given, settings
from hypothesis import strategies as st

from loomstand.config.configuration import ClientLimits, ConfigurationError, parse_configuration
from loomstand.config.routes import RouteTable

STEADY = settings(derandomize=True, deadline=None, database=None)
ROUTE_LOCATION = "resources[0] route r-a: specification."
OTHER_ROUTE_LOCATION = "resources[1] route r-b: specification."
TENANT_LOCATION = "resources[5] tenant sese880: specification."


def error_message(raw: bytes) -> str:
    """Returns the error message for these bytes; fails if they are accepted."""
    with pytest.raises(ConfigurationError) as raised:
        parse_configuration(raw)
    return str(raised.value)


def test_example_configuration():
    configuration = parse_configuration(CONFIG)
    assert (
        configuration.version == 7
        and configuration.raw == CONFIG
        and "ctnf" not in repr(configuration)
    )
    first, second = configuration.routes
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
    assert configuration.services["kafi81c"].health_check_path == "/health"
    assert configuration.services["wuno96b"].connection_limit == 130
    assert (
        configuration.tenants
        and configuration.tenants[0].rate_per_second == 63.5
        and configuration.limits == ClientLimits(8192)
    )


def test_valid_variants_are_accepted():
    valid_documents = [
        changed_configuration("resources", 5, gone=True),
        changed_configuration("resources", 5, "specification", to={}),
        changed_configuration("resources", 5, "specification", "api_keys", to=["a", "a"]),
        changed_configuration("resources", 6, gone=True),
        changed_configuration("resources", 0, "specification", "traffic_split", 1, "weight", to=0),
        changed_configuration("resources", 1, "specification", "traffic_split", to=[]),
        changed_configuration("resources", 1, "specification", "priority", to=None),
        changed_configuration("resources", 0, "specification", "retry", to={"attempts": -1}),
        changed_configuration("more", to=[1e9]),
        b'{"version":"r0","resources":[]}',
    ]
    for raw in valid_documents:
        configuration = parse_configuration(raw)
        assert (configuration.tenants is None) == (b"tenants" not in raw)


DOCUMENT_ERRORS = [  # the document, and the start of the message
    (CONFIG[:-1], "JSON: Expecting ',' delimiter"),
    (b"\xff" + CONFIG, "not UTF-8 at byte 0"),
    (b"[]", "JSON: not an object"),
    (b"[" * 100_000, "JSON: nested too deep"),
    (
        b'{"version":"r1","resources":[],"x":' + b"9" * 5000 + b"}",
        "JSON: a number of too many digits",
    ),
    (CONFIG.replace(b"63.5", b"NaN"), "JSON: NaN is not a number"),
    (CONFIG.replace(b"63.5", b"1e999"), TENANT_LOCATION + "rate_per_s: too large a number"),
    (CONFIG.replace(b"63.5", b"9" * 400), TENANT_LOCATION + "rate_per_s: too large a number"),
    (CONFIG.replace(b'"priority":1', b'"rate_per_s":1'), "JSON: key 'rate_per_s' given twice"),
    (changed_configuration("version", gone=True), "version: missing"),
    (changed_configuration("resources", gone=True), "resources: missing"),
    (
        changed_configuration("resources", 3, "resource_kind", gone=True),
        "resources[3]: resource_kind: missing",
    ),
    (
        changed_configuration(*FIRST_ROUTE, "traffic_split", gone=True),
        ROUTE_LOCATION + "service_name: missing, and there is no traffic_split",
    ),
]
RESOURCE_ERRORS = [  # path within `resources`, the new value at this path, and the message
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
    ((5, "specification", "api_keys"), [7], TENANT_LOCATION + "api_keys[0]: not a text"),
    ((5, "specification", "burst_size"), -1, TENANT_LOCATION + "burst_size: negative"),
    (
        (1, "specification", "service_name"),
        "gone",
        OTHER_ROUTE_LOCATION + "service_name: unknown service 'gone'",
    ),
    ((0, "specification"), None, "resources[0]: specification: missing"),
    ((8,), DOCUMENT["resources"][6], "resources[8] limits: given twice"),
    (
        (8,),
        DOCUMENT["resources"][0] | {"metadata": {"name": "r-c"}},
        "resources[8] route r-c: specification.path_prefix: host and prefix are those of route r-a",
    ),
    (
        (8,),
        DOCUMENT["resources"][5] | {"metadata": {"name": "t2"}},
        "resources[8] tenant t2: specification.api_keys[0]: tenant sese880 has this key too",
    ),
]
ROUTE_ERRORS = [  # path of a field in the first route, its value, and the end of the message
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


def test_error_names_location_and_problem():
    for raw, message in DOCUMENT_ERRORS:
        assert error_message(raw).startswith(message)
    for version, message in [(7, "not a text"), ("7", "'7' is not a version such as r12")]:
        assert error_message(changed_configuration("version", to=version)) == f"version: {message}"
    for path, value, message in RESOURCE_ERRORS:
        assert error_message(changed_configuration("resources", *path, to=value)) == message
    for path, value, message in ROUTE_ERRORS:
        field = "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)
        assert (
            error_message(changed_configuration(*FIRST_ROUTE, *path, to=value))
            == f"{ROUTE_LOCATION.removesuffix('.')}{field}: {message}"
        )


def test_every_truncation_is_refused():
    for end in range(len(CONFIG)):
        error_message(CONFIG[:end])


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


def paths_of_values(node, path=()):
    """Yields the path of each value below a node of a JSON document; `path` is the node's path."""
    for key, value in (
        node.items()
        if isinstance(node, dict)
        else enumerate(node)
        if isinstance(node, list)
        else ()
    ):
        yield (*path, key)
        yield from paths_of_values(value, (*path, key))


def parsed_or_refused(raw: bytes) -> None:
    """Parses a configuration; an error, if any, must be one short line."""
    try:
        RouteTable.from_configuration(parse_configuration(raw))
    except ConfigurationError as error:
        assert len(str(error).encode()) < 400 and len(str(error).splitlines()) == 1


@settings(STEADY, max_examples=300)
@given(st.sampled_from(list(paths_of_values(DOCUMENT))), VALUES, st.booleans())
def test_no_changed_value_does_more_than_be_refused(where, value, gone):
    parsed_or_refused(changed_configuration(*where, to=value, gone=gone))


@settings(STEADY, max_examples=300)
@given(st.binary(max_size=40), st.integers(0, len(CONFIG)), st.integers(0, 40))
def test_no_bytes_do_more_than_be_refused(some, at, over):
    parsed_or_refused(some)
    parsed_or_refused(CONFIG[:at] + some + CONFIG[at + over :])
