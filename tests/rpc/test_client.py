"""Calls with typed messages over a stub network."""

from __future__ import annotations

import asyncio

import pytest
from expression import Error, Ok

from loomstand.rpc.client import call
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import MessageError
from loomstand.rpc.messages.quota_messages import IncrementRequest, IncrementResponse

ADDRESS = ("10.1.0.1", 7340)
REQUEST = IncrementRequest(counter_name=7, step=1.0, retention_seconds=4.0)


class StubNetwork:
    """Returns the same result for every call, and records the calls."""

    def __init__(self, result):
        self.result, self.calls = result, []

    async def call(self, address, operation, body, timeout_seconds):
        self.calls.append((address, operation, body, timeout_seconds))
        return self.result


def call_with_result(result):
    network = StubNetwork(result)
    return network, asyncio.run(call(network, ADDRESS, REQUEST, IncrementResponse, 0.5))


def test_request_is_sent_with_operation_and_wire_keys_and_response_is_typed():
    network, result = call_with_result(Ok({"total": 3.0, "counts": 9}))
    assert network.calls == [(ADDRESS, "count", {"name": 7, "step": 1.0, "keep": 4.0}, 0.5)]
    assert result.ok == IncrementResponse(total=3.0, counting_term=9)


@pytest.mark.parametrize("failure", CallFailure)
def test_failure_is_returned_unchanged(failure):
    assert call_with_result(Error(failure))[1].error is failure


def test_invalid_response_raises_message_error():
    with pytest.raises(MessageError, match=r"^KeyError: 'total'$"):
        call_with_result(Ok({"counts": 9}))
