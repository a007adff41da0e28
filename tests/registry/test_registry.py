"""Pure parts of the registry and the proxy: servers, limiters, counters, HTTP routing, frames."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from loomstand.admission.identifiers import ATTEMPT_FACTOR, stable_digest
from loomstand.config.configuration import Tenant
from loomstand.proxy.instance_view import InstanceView
from loomstand.registry.counters import Counters
from loomstand.registry.http_routing import HttpRequest, match_method, match_path, match_query
from loomstand.registry.instances import (
    DRAINING,
    GONE,
    READY,
    SILENT,
    Instance,
    InstanceTable,
)
from loomstand.registry.limiters import (
    SESSION_TIMEOUT_SECONDS,
    SILENT_RETENTION_SECONDS,
    LimiterTable,
)
from loomstand.registry.quota_buckets import INTERVAL_SLOT_BITS, QuotaBuckets
from loomstand.rpc.errors import FrameError
from loomstand.rpc.frames import FrameDecoder, encode_item
from loomstand.rpc.messages.rows import InstanceRow


def instance(id_="i-1", sequence=1, state=READY, address="10.0.0.9:8080", service="a"):
    return Instance(id_, address, service, "z", 2, state, sequence, 0.0)


def test_a_delayed_heartbeat_reverts_no_drain_and_a_mere_heartbeat_is_no_change():
    instances = InstanceTable(1.5)
    assert instances.apply(instance(sequence=1), 0.0)
    assert not instances.apply(instance(sequence=2), 1.5)
    assert instances.apply(instance(sequence=4, state=DRAINING), 3.0)
    assert not instances.apply(instance(sequence=3), 3.1)
    assert [row.state for row in instances.changed_since(0, 3.1)] == [DRAINING]
    assert instances.changed_since(instances.revision, 3.1) == []


def test_a_gone_server_stays_gone_and_a_new_server_at_its_address_replaces_it():
    instances = InstanceTable(1.5)
    instances.apply(instance("i-1"), 0.0)
    # uses the address of the first server, which ended without a call
    instances.apply(instance("i-2", service="b"), 3.0)
    states = {row.instance_id: row.state for row in instances.changed_since(0, 3.0)}
    assert states == {"i-1": GONE, "i-2": READY}
    assert not instances.apply(instance("i-1", sequence=99), 3.1)


def test_silence_is_reported_and_ends_with_a_heartbeat_at_any_registry():
    instances, other = InstanceTable(1.5), InstanceTable(1.5)
    instances.apply(instance(sequence=1), 0.0)
    other.apply(instance(sequence=1), 0.0)
    assert not instances.expire(4.0)
    assert instances.expire(5.0) and instances.changed_since(0, 5.0)[0].state == SILENT
    other.apply(instance(sequence=3), 5.1)
    assert not instances.apply_heartbeat("i-1", 3, 5.1)  # it is silent here, so its row is needed
    for row in other.rows(["i-1"], 5.2):
        assert instances.apply(Instance.from_row(row, 5.2), 5.2)
    assert instances.changed_since(0, 5.2)[0].state == READY
    # a heartbeat at another registry keeps it from becoming silent here
    assert instances.apply_heartbeat("i-1", 4, 9.0) and not instances.expire(9.6)


def test_a_limiter_is_present_during_its_session_and_silent_after_a_timeout():
    limiters = LimiterTable()
    limiters.record_call("f-1", 0.0)
    limiters.record_report("f-2", 0.0, 0.0)
    assert limiters.present == ("f-1", "f-2")
    limiters.record_call("f-2", 0.0)
    limiters.record_report(
        "f-2", SESSION_TIMEOUT_SECONDS, SESSION_TIMEOUT_SECONDS
    )  # ignored: the limiter called this registry itself
    limiters.record_call("f-1", SESSION_TIMEOUT_SECONDS)
    limiters.expire(SESSION_TIMEOUT_SECONDS + 0.1)
    assert (limiters.present, limiters.silent) == (("f-1",), ("f-2",))
    revision = limiters.revision
    limiters.record_call("f-2", SESSION_TIMEOUT_SECONDS + 0.3)
    assert limiters.present == ("f-1", "f-2") and limiters.revision > revision
    limiters.deregister("f-1", SESSION_TIMEOUT_SECONDS + 0.4)  # its rank isn't reserved
    assert (limiters.present, limiters.silent) == (("f-2",), ())
    limiters.expire(SESSION_TIMEOUT_SECONDS + SILENT_RETENTION_SECONDS + 1)
    assert (limiters.present, limiters.silent) == ((), ())


def test_counters_are_kept_for_the_requested_retention_time():
    counters = Counters(1)
    assert [counters.add(7, 2.0, 1.0, 0.0), counters.add(7, 3.0, 1.0, 0.5)] == [2.0, 5.0]
    counters.expire(1.2)
    assert counters.add(7, 0.0, 1.0, 1.2) == 5.0
    counters.expire(3.0)
    assert counters.sums == {} and counters.add(7, 1.0, 1.0, 3.0) == 1.0


def test_a_tenant_near_its_limit_is_reported_only_after_an_increment():
    buckets, ann = QuotaBuckets(), stable_digest("ann")
    name, other = ann << INTERVAL_SLOT_BITS | 7, stable_digest("bob") << INTERVAL_SLOT_BITS | 7
    attempt = ATTEMPT_FACTOR * ATTEMPT_FACTOR  # a request, whether or not it is admitted
    admitted = 1.0 + attempt
    buckets.update_quotas([Tenant("ann", (), 1, 10.0, 10.0), Tenant("bob", (), 1, 0.0, 0.0)])
    is_reported = [buckets.record(name, admitted, n * admitted, 0.01 * n) for n in range(1, 7)]
    assert is_reported == [False] * 5 + [True]  # over half of the burst
    assert [(bucket.counter_name, bucket.total) for bucket in buckets.changed_since(0)] == [
        (name, 6 * admitted)
    ] and buckets.changed_since(buckets.revision) == []
    # requests that weren't admitted
    assert not buckets.record(name, 3.0 * attempt, 6 + 9 * attempt, 0.07)
    buckets.update_quotas([Tenant("ann", (), 1, 10.0, 20.0)])
    assert not buckets.record(name, 1.0, 7.0, 0.08)  # a larger quota; the level stays
    # totals are incomplete after another registry has started counting
    assert not buckets.record(name, 9.0, 17.0, 0.09, is_complete=False)
    assert not buckets.record(other, 500.0, 500.0, 0.1)  # a tenant without a quota
    # a tenant that sends requests at its rate stays below its limit
    assert not any(buckets.record(name, 1.0, 8.0 + n, 1.0 + 0.1 * n) for n in range(50))


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        (b"POST", b"/api/rpc?call=x&of=i-1", "x"),
        (b"POST", b"/api/rpc?of=i-1&call=x&call=y", "x"),
        (b"GET", b"/api/rpc?call=x", 405),
        (b"POST", b"/api/rpc", 404),
        (b"POST", b"/api", 404),
    ],
)
def test_http_requests_are_routed_by_a_tree_of_matchers(method, target, expected):
    tree = match_path({"/api/rpc": match_method({"POST": match_query("call", {"x": "x"})})})
    assert tree.match(HttpRequest.parse(method, target)) == expected


def test_the_availability_of_a_server_combines_the_reports_of_all_registries():
    view = InstanceView()

    def row(state, sequence, id_="i-1"):
        return InstanceRow(id_, "10.0.0.9:8080", "a", "z", 2, state, sequence, 0)

    assert view.update("one", [row(READY, 5)], is_new_session=True) == ["i-1"]
    assert (
        view.update("two", [row(SILENT, 4)], is_new_session=True) == []
    )  # one registry that gets heartbeats suffices
    assert (
        view.update("one", [row(SILENT, 5)]) == ["i-1"]
        and view.instances["i-1"].availability == SILENT
    )
    assert (
        view.update("two", [], is_new_session=True) == []
    )  # registry two restarted without rows; registry one still reports the server as silent
    assert (
        view.update("one", [], is_new_session=True) == ["i-1"]
        and view.instances["i-1"].availability == READY
    )
    assert view.update("two", [row(DRAINING, 7)]) == ["i-1"]
    assert view.update("one", [row(READY, 6)]) == []  # a delayed report
    assert view.update("one", [row(GONE, 1 << 60)]) == ["i-1"]
    assert view.update("two", [row(READY, 9)]) == [] and view.instances["i-1"].availability == GONE
    assert view.update("two", [row(GONE, 1 << 60, "i-0")]) == []  # unknown here


@given(st.lists(st.integers(0, 1 << 40), max_size=4), st.lists(st.integers(1, 7), max_size=40))
def test_frames_are_decoded_however_the_bytes_are_split(numbers, cuts):
    raw = b"".join(encode_item([n, "op", {"n": n}]) for n in numbers)
    reader, got, at = FrameDecoder(), [], 0
    for cut in [*cuts, len(raw)]:
        got += [frame.to_item() for frame in reader.feed(raw[at : at + cut])]
        at += cut
    assert got == [[n, "op", {"n": n}] for n in numbers]


@pytest.mark.parametrize(
    "raw",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\0",
        encode_item({"no": "call"}),
        b"\0\0\0\x01\xff",
        encode_item([1, 2]),
    ],
)
def test_bytes_that_are_no_frames_raise_an_error(raw):
    with pytest.raises(FrameError):
        list(FrameDecoder().feed(raw))
    assert cbor2.loads(encode_item([1, "x", {}])[4:]) == [1, "x", {}]
