"""Ring buffers, HTTP parsers, outcomes of endings, and configuration. No sockets."""

from __future__ import annotations

import json

import pytest
from helpers import HOST, config_file, member
from hypothesis import given, settings
from hypothesis import strategies as st

from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import Effect
from loomstand.config.limiter import LimiterConfigError, parse_limiter_config
from loomstand.config.limiter import engine_settings as convert_settings
from loomstand.limiter.buffers import INITIAL_RING_BYTES, MemoryBudget, Ring
from loomstand.limiter.endings import (
    LOCAL_FAILURES,
    Ending,
    attempt_outcome,
    counter_call_outcome,
    response_outcome,
)
from loomstand.limiter.http_parser import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_MESSAGE_BYTES,
    Malformed,
    RequestReceiver,
    ResponseReceiver,
)

settings.register_profile("steady", derandomize=True, deadline=None, database=None)
settings.load_profile("steady")
PORTS = {"listen": 3000, "discovery": 8500, "counter": 6400}


@given(st.lists(st.tuples(st.booleans(), st.binary(max_size=3000)), max_size=40))
def test_a_ring_keeps_bytes_in_order_and_within_its_budget(steps):
    memory_budget = MemoryBudget(3 * INITIAL_RING_BYTES)
    ring, model = Ring(memory_budget, 2 * INITIAL_RING_BYTES), b""
    for fill, data in steps:
        if fill:
            space = ring.space()
            n = min(len(space), len(data))
            space[:n] = data[:n]
            ring.wrote(n)
            model += data[:n]
            if ring.put(data):
                model += data
        else:
            assert ring.take(len(data)) == model[: len(data)]
            model = model[len(data) :]
        assert (
            ring.peek() == model and len(ring) == len(model) <= ring.size <= 2 * INITIAL_RING_BYTES
        )
        assert memory_budget.available == 3 * INITIAL_RING_BYTES - ring.size
        assert ring.find(b"\0\0") == model.find(b"\0\0")
    ring.close()
    assert memory_budget.available == 3 * INITIAL_RING_BYTES


def parse_pieces(parser, pieces):
    """Feeds a parser; returns complete messages as (start, fields, body, close)."""
    ring, parsed = Ring(MemoryBudget(1 << 20), MAX_MESSAGE_BYTES), []
    for piece in pieces:
        while piece:
            space = ring.space()
            n = min(len(space), len(piece))
            space[:n], piece = piece[:n], piece[n:]
            ring.wrote(n)
            while parser.step(ring):
                start = parser.status if isinstance(parser, ResponseReceiver) else parser.target
                parsed.append((start, dict(parser.fields), bytes(parser.body), parser.close))
                parser.reset()
    return parsed


@st.composite
def split(draw, raw):
    cuts = sorted(draw(st.lists(st.integers(0, len(raw)), max_size=12)))
    return [raw[a:b] for a, b in zip([0, *cuts], [*cuts, len(raw)], strict=True)]


@st.composite
def messages(draw):
    """Draws consecutive messages in pieces, and their expected fields and bodies."""
    raw, expected = b"", []
    for body in draw(st.lists(st.binary(max_size=200), min_size=1, max_size=4)):
        value = draw(st.text("abcXYZ019 ;=", max_size=20)).strip().encode()
        fields = {b"x-one": value}
        line = (
            b"\r\n" * draw(st.integers(0, 1))
            + b"POST /a?b=c HTTP/1.1\r\nX-One:"
            + b" " * draw(st.integers(0, 2))
        )
        line += value + b"\r\n"
        if draw(st.booleans()):
            fields[b"transfer-encoding"] = b"chunked"
            at = draw(st.integers(0, len(body)))
            chunks = [c for c in (body[:at], body[at:]) if c]
            raw += line + b"Transfer-Encoding: chunked\r\n\r\n"
            raw += (
                b"".join(b"%X;x=1\r\n%b\r\n" % (len(c), c) for c in chunks) + b"0\r\nT: 1\r\n\r\n"
            )
        else:
            fields[b"content-length"] = b"%d" % len(body)
            raw += line + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        expected.append((fields, body))
    return draw(split(raw)), expected


@given(messages())
def test_requests_parse_the_same_however_they_are_split(case):
    pieces, expected = case
    assert [
        (fields, body) for _, fields, body, _ in parse_pieces(RequestReceiver(), pieces)
    ] == expected


@given(messages())
def test_responses_parse_the_same_however_they_are_split(case):
    pieces, expected = case
    raw = b"".join(pieces).replace(
        b"POST /a?b=c HTTP/1.1", b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK"
    )
    assert [
        (fields, body) for _, fields, body, _ in parse_pieces(ResponseReceiver(), [raw])
    ] == expected
    assert [
        (fields, body)
        for _, fields, body, _ in parse_pieces(ResponseReceiver(), [bytes([b]) for b in raw])
    ] == expected


@given(messages(), st.data())
def test_a_truncated_message_is_never_complete(case, data):
    pieces, expected = case
    raw = b"".join(pieces)
    cut = raw[: data.draw(st.integers(0, len(raw) - 1))]
    assert len(parse_pieces(RequestReceiver(), [cut])) < len(expected)


@given(st.binary(max_size=400), st.data())
def test_noise_is_rejected_or_incomplete(noise, data):
    raw = b"GET /a HTTP/1.1\r\nHost: b\r\n\r\n"
    at = data.draw(st.integers(0, len(raw)))
    for parser in (RequestReceiver(), ResponseReceiver()):
        try:
            parse_pieces(parser, [raw[:at] + noise + raw[at:]])
        except Malformed as error:
            assert 400 <= error.status < 600


HEAD = b"GET /a HTTP/1.1\r\n"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a\r\n\r\n", 400),
        (b"GET /a HTTP/2.0\r\n\r\n", 505),
        (b"HEAD /a HTTP/1.1\r\n\r\n", 501),
        (HEAD + b"no colon\r\n\r\n", 400),
        (HEAD + b"bad name: 1\r\n\r\n", 400),
        (HEAD + b"a: 1\r\n folded\r\n\r\n", 400),
        (HEAD + b"a: 1\nb: 2\r\n\r\n", 400),
        (HEAD + b"a: 1\rb: 2\r\n\r\n", 400),
        (HEAD + b"a: \0\r\n\r\n", 400),
        (HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400),
        (HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (MAX_BODY_BYTES + 1), 413),
        (HEAD + b"a: %b\r\n\r\n" % (b"x" * MAX_HEAD_BYTES), 431),
        (b"x" * (MAX_HEAD_BYTES + 1), 431),
    ],
)
def test_bad_requests_get_their_status(raw, status):
    with pytest.raises(Malformed) as error:
        parse_pieces(RequestReceiver(), [raw])
    assert error.value.status == status


def test_repeated_fields_are_joined_and_equal_lengths_merged():
    raw = HEAD + b"A: 1\r\nContent-Length: 2\r\na: 2\r\nContent-Length: 2\r\n\r\nok"
    for parser in (RequestReceiver(), ResponseReceiver()):
        message = (
            raw.replace(HEAD, b"HTTP/1.1 200 OK\r\n")
            if isinstance(parser, ResponseReceiver)
            else raw
        )
        assert [m[1:3] for m in parse_pieces(parser, [message, message])] == [
            ({b"a": b"1, 2", b"content-length": b"2"}, b"ok")
        ] * 2


def test_a_response_without_a_length_is_rejected():
    with pytest.raises(Malformed):
        parse_pieces(ResponseReceiver(), [b"HTTP/1.1 200 OK\r\n\r\nsome"])


@pytest.mark.parametrize("ending", list(Ending))
def test_only_an_unwritten_request_is_proven_not_run(ending):
    not_run = {Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.REJECTED}
    assert (
        attempt_outcome(ending, False) in not_run and attempt_outcome(ending, True) not in not_run
    )
    # A local failure doesn't count against the server.
    assert (attempt_outcome(ending, False) is Outcome.NOT_SENT) == (ending in LOCAL_FAILURES)
    # The counter may have applied any call that was written.
    assert counter_call_outcome(ending, True) is Outcome.NO_RESPONSE
    assert counter_call_outcome(ending, False) is Outcome.CONNECT_FAILED


def test_only_a_503_or_504_with_not_started_is_rejected():
    assert response_outcome(503, True) is response_outcome(504, True) is Outcome.REJECTED
    assert response_outcome(200, True) is Outcome.SUCCEEDED
    assert {response_outcome(s, n) for s, n in ((503, False), (500, True), (404, False))} == {
        Outcome.SERVER_ERROR
    }


def config(change):
    file = config_file(PORTS, [member("s0", 3001)])
    change(file)
    return parse_limiter_config(json.dumps(file).encode(), {})


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (lambda f: f["limits"].update(sockets="many"), "limits.sockets"),
        (lambda f: f["limits"].update(sockets=3), "limits.sockets"),
        (lambda f: f["settings"].pop("balancers"), "settings.balancers"),
        (lambda f: f["settings"]["grades"][1].update(effect="odd"), "settings.grades[1].effect"),
        (lambda f: f["settings"].update(me=9), "settings.me"),
        (lambda f: f.update(listen="nowhere"), "listen"),
        (lambda f: f.update(counter=""), "counter"),
        (lambda f: f.update(seed="x"), "seed"),
        (lambda f: f["known"]["members"][0].update(host_port="s:x"), "known.members[0]"),
        (lambda f: f["known"]["members"][0].update(phase="gone"), "known.members[0].phase"),
    ],
)
def test_a_configuration_error_names_its_key(change, key):
    with pytest.raises(LimiterConfigError, match="key") as error:
        config(change)
    assert f"key '{key}'" in str(error.value)


def test_the_environment_overrides_the_file_and_settings_are_converted():
    raw = json.dumps(config_file(PORTS, [])).encode()
    read = parse_limiter_config(raw, {"PROXY_NAME": "n7", "PROXY_LISTEN": "127.0.0.2:80"})
    assert (read.name, read.listen_address, read.discovery_address) == (
        "n7",
        ("127.0.0.2", 80),
        (HOST, 8500),
    )
    converted = convert_settings(read.settings, 0)
    assert [f.effect for f in converted.frontends] == [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT]
    assert (
        converted.counter_timeout,
        converted.drain_grace_period,
        converted.frontends[0].client_timeout,
    ) == (
        1000,
        5000,
        15000,
    )
    with pytest.raises(LimiterConfigError, match="PROXY_DISCOVERY"):
        parse_limiter_config(raw, {"PROXY_DISCOVERY": "x:y"})
