"""Calls with typed messages, over a network that answers as told."""

from __future__ import annotations

import asyncio

import pytest
from expression import Error, Ok

from loomstand.rpc.client import call
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import MessageError
from loomstand.rpc.messages.quota_messages import IncrementRequest, IncrementResponse

ADDRESS = ("10.1.0.1", 7340)
REQUEST = IncrementRequest(counter_name=7, step=1.0, keep_seconds=4.0)


class AnsweringNetwork:
    """Gives one result to every call, and keeps the calls."""

    def __init__(self, result):
        self.result, self.calls = result, []

    async def call(self, address, operation, body, timeout_seconds):
        self.calls.append((address, operation, body, timeout_seconds))
        return self.result


def called(result):
    network = AnsweringNetwork(result)
    return network, asyncio.run(call(network, ADDRESS, REQUEST, IncrementResponse, 0.5))


def test_a_request_goes_by_its_operation_and_keys_and_its_answer_is_typed():
    network, result = called(Ok({"total": 3.0, "counts": 9}))
    assert network.calls == [(ADDRESS, "count", {"name": 7, "step": 1.0, "keep": 4.0}, 0.5)]
    assert result.ok == IncrementResponse(total=3.0, counting_term=9)


@pytest.mark.parametrize("failure", CallFailure)
def test_a_failure_is_given_as_it_is(failure):
    assert called(Error(failure))[1].error is failure


def test_an_answer_of_another_form_is_an_error():
    with pytest.raises(MessageError, match=r"^KeyError: 'total'$"):
        called(Ok({"counts": 9}))
