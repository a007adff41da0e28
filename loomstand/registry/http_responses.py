"""Answers to the calls from outside, and the error of a call that can't be understood."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple


class BadRequestError(Exception):
    """A call from outside can't be understood; it is answered 400 with this text."""


class HttpResponse(NamedTuple):
    """An answer.

    Attributes:
        status: The HTTP status.
        body: JSON, or empty.
    """

    status: int
    body: bytes


EMPTY_RESPONSE = HttpResponse(HTTPStatus.OK, b"{}")


def json_response(status: int, value: Mapping[str, object]) -> HttpResponse:
    """Returns an answer with a JSON object."""
    return HttpResponse(status, json.dumps(value).encode())


def error_response(status: int, text: str) -> HttpResponse:
    """Returns an answer that says why the call isn't done."""
    return json_response(status, {"error": text})
