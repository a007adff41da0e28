"""Every recorded exchange decodes to its message class and encodes to the same bytes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from loomstand.rpc.frames import FrameDecoder, encode_item
from loomstand.rpc.messages import (
    configuration_messages,
    counting_lease_messages,
    gossip_messages,
    quota_messages,
    replication_messages,
    rescue_messages,
    session_messages,
)
from loomstand.rpc.messages.base import (
    Acknowledgement,
    Message,
    MessageError,
    Request,
    _carries_bytes,
)
from loomstand.rpc.messages.rows import CounterEndpointRow, MemberRow, ViewRow

GOLDEN = Path(__file__).parents[1] / "golden"
FILES = ("stores", "town", "older")
MESSAGES: dict[str, tuple[type[Request], type[Message]]] = {
    "registry ask": (session_messages.SessionRequest, session_messages.SessionResponse),
    "registry bye": (session_messages.DeregisterRequest, Acknowledgement),
    "registry count": (quota_messages.IncrementRequest, quota_messages.IncrementResponse),
    "registry fetch": (
        session_messages.ConfigurationRequest,
        session_messages.ConfigurationResponse,
    ),
    "registry grant": (quota_messages.CreditRequest, quota_messages.CreditResponse),
    "registry offer": (configuration_messages.OfferRequest, Acknowledgement),
    "registry tell": (gossip_messages.GossipRequest, gossip_messages.GossipResponse),
    "registry whole": (gossip_messages.SnapshotRequest, gossip_messages.SnapshotResponse),
    "store beat": (replication_messages.HeartbeatRequest, replication_messages.HeartbeatResponse),
    "store duty": (
        counting_lease_messages.CountingLeaseRequest,
        counting_lease_messages.CountingLeaseResponse,
    ),
    "store fetch": (
        replication_messages.CandidateReadRequest,
        replication_messages.CandidateReadResponse,
    ),
    "store held": (
        replication_messages.CommittedRequest,
        replication_messages.CommittedResponse,
    ),
    "store install": (replication_messages.InstallViewRequest, Acknowledgement),
    "store keep": (replication_messages.WriteRequest, Acknowledgement),
    "store lead": (replication_messages.TransferLeadershipRequest, Acknowledgement),
    "store news": (replication_messages.CommitRequest, Acknowledgement),
    "store offer": (configuration_messages.OfferRequest, configuration_messages.PutResponse),
    "store promise": (replication_messages.PrepareRequest, replication_messages.PrepareResponse),
    "store put": (configuration_messages.PutRequest, configuration_messages.PutResponse),
    "store read": (configuration_messages.ReadRequest, configuration_messages.ReadResponse),
    "store rescue": (rescue_messages.RescueRequest, rescue_messages.RescueResponse),
    "store status": (configuration_messages.StatusRequest, configuration_messages.StatusResponse),
    "store told": (rescue_messages.MemberReportRequest, rescue_messages.MemberReportResponse),
    "store wait": (configuration_messages.WaitRequest, configuration_messages.WaitResponse),
}
UNKNOWN_CALL = "unheard-of"
# Requests that the golden runs build themselves, with keys in a different order than the programs
# use or with 0.0 for 0. Their decoded values are compared instead of their bytes.
HANDWRITTEN_REQUESTS = {
    "stores: store promise",
    "older: store promise",
    "older: registry ask",
    "older: registry grant",
}


def recorded_exchanges() -> list[Any]:
    return list(_recorded_exchanges())


def _recorded_exchanges() -> Iterator[Any]:
    for name in FILES:
        exchanges = json.loads((GOLDEN / f"{name}.json").read_text())["exchanges"]
        for call, exchange_by_shape in exchanges.items():
            for shape, exchange in exchange_by_shape.items():
                if not call.endswith(UNKNOWN_CALL):
                    yield pytest.param(call, exchange, id=f"{name}: {call} {shape}")


def decode_frame(frame: str) -> list[Any]:
    (decoded,) = FrameDecoder().feed(bytes.fromhex(frame))
    return decoded.to_item()


def is_release(request: dict[str, Any]) -> bool:
    """Whether the body of a `duty` request releases the counting lease."""
    return "back" in request


def reencode(message_type: type[Message], body: dict[str, Any]) -> dict[str, Any]:
    return message_type.from_wire(body).to_wire()


def with_lists(body: Any) -> Any:
    """Replaces tuples with lists, as both have the same wire format."""
    if isinstance(body, dict):
        return {key: with_lists(value) for key, value in body.items()}
    return [with_lists(value) for value in body] if isinstance(body, list | tuple) else body


def test_every_recorded_call_has_message_classes():
    calls = {param.values[0] for param in recorded_exchanges()}
    assert calls == set(MESSAGES)
    for call, (request_type, _) in MESSAGES.items():
        assert request_type.operation == call.split()[1]


@pytest.mark.parametrize(("call", "exchange"), recorded_exchanges())
def test_recorded_request_is_reencoded_to_the_same_bytes(call, exchange, request):
    request_type, _ = MESSAGES[call]
    number, operation, body = decode_frame(exchange["request"])
    assert operation == request_type.operation
    try:
        message = request_type.from_wire(body)
    except MessageError as error:
        _, is_ok, answer = decode_frame(exchange["answer"])
        # the recorded reason for refusing a call with missing keys
        assert (is_ok, answer) == (False, {"why": f"{operation}: {error}"})
        return
    if any(request.node.callspec.id.startswith(prefix) for prefix in HANDWRITTEN_REQUESTS):
        assert with_lists(message.to_wire()) == with_lists(body)
        return
    assert encode_item([number, operation, message.to_wire()]).hex() == exchange["request"]


@pytest.mark.parametrize(("call", "exchange"), recorded_exchanges())
def test_recorded_response_is_reencoded_to_the_same_bytes(call, exchange):
    number, is_ok, body = decode_frame(exchange["answer"])
    if not is_ok:
        return
    _, response_type = MESSAGES[call]
    if call == "store duty" and is_release(decode_frame(exchange["request"])[2]):
        response_type = Acknowledgement
    assert encode_item([number, True, reencode(response_type, body)]).hex() == exchange["answer"]


TYPES = list(dict.fromkeys(kind for pair in MESSAGES.values() for kind in pair))


@pytest.mark.parametrize("message_type", TYPES)
def test_unknown_keys_are_ignored(message_type):
    for param in recorded_exchanges():
        call, exchange = param.values
        for frame, known_type in zip(("request", "answer"), MESSAGES[call], strict=True):
            _, kind, body = decode_frame(exchange[frame])
            if known_type is not message_type or kind is False or not body:
                continue
            try:
                expected = message_type.from_wire(body)
            except MessageError:
                continue
            assert message_type.from_wire(body | {"later": [1, {}]}) == expected


def test_missing_key_has_the_error_text_of_earlier_releases():
    with pytest.raises(MessageError, match=r"^KeyError: 'h'$"):
        session_messages.SessionRequest.from_wire({})
    with pytest.raises(MessageError, match=r"^KeyError: 'step'$"):
        quota_messages.IncrementRequest.from_wire({"name": 1, "keep": 4.0})


def test_value_of_wrong_type_is_refused():
    with pytest.raises(MessageError, match=r"^ValueError: Expected `int`, got `str`"):
        quota_messages.IncrementRequest.from_wire({"name": "x", "step": 1.0, "keep": 4.0})


def test_numbers_are_read_leniently():
    body = {"name": "7", "step": "1.5", "keep": 4}
    message = quota_messages.IncrementRequest.from_wire(body)
    expected = quota_messages.IncrementRequest(counter_name=7, step=1.5, retention_seconds=4.0)
    assert message == expected


def test_view_has_rescue_epoch_on_the_wire_only_after_a_rescue():
    member = MemberRow("00000000000000aa", "10.1.0.1", 7341)
    for rescue_epoch, length in ((0, 5), (1_000_017, 6)):
        view = ViewRow(1_000_018, member, None, [member], [], rescue_epoch)
        request = replication_messages.InstallViewRequest(view=view, recipient="aa")
        body = request.to_wire()
        assert len(body["view"]) == length
        assert replication_messages.InstallViewRequest.from_wire(body) == request
    nothing = replication_messages.InstallViewRequest(view=None)
    assert nothing.to_wire() == {"view": None}


def test_counter_endpoint_of_an_earlier_release_has_no_term():
    body = {"counter": ["10.1.0.1", 7340]}
    response = session_messages.SessionResponse.from_wire(body)
    assert response.counter == CounterEndpointRow("10.1.0.1", 7340, -1, -1)


def test_absent_and_none_are_distinct():
    opening = session_messages.SessionRequest(
        known_instances=0,
        known_system_state_revision=-1,
        known_configuration=0,
        limiter_name="n-1",
        shared_clock=None,
    )
    expected = {"h": 0, "f": -1, "c": 0, "name": "n-1", "clock": None}
    assert list(opening.to_wire().items()) == list(expected.items())
    following = session_messages.SessionRequest.from_wire({"h": 0, "f": -1, "c": 0, "s": 9})
    assert following.shared_clock is msgspec.UNSET
    assert following.to_wire() == {"h": 0, "f": -1, "c": 0, "s": 9}


def test_bytes_are_not_copied():
    data = bytes(1 << 20)
    request = configuration_messages.PutRequest.from_wire({"version": 3, "data": data})
    assert request.data is data
    assert request.to_wire()["data"] is data


def test_message_classes_with_bytes_are_detected():
    with_bytes = {kind for kind in TYPES if _carries_bytes(kind)}
    assert with_bytes == {
        configuration_messages.OfferRequest,
        configuration_messages.PutRequest,
        configuration_messages.ReadResponse,
        configuration_messages.WaitResponse,
        replication_messages.CandidateReadResponse,
        replication_messages.CommitRequest,
        replication_messages.CommittedResponse,
        replication_messages.WriteRequest,
        session_messages.ConfigurationResponse,
    }
