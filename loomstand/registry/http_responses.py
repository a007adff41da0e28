"""Responses to HTTP requests, and the error of an invalid request."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple


class BadRequestError(Exception):
    """An HTTP request is invalid; the response is 400 with this text."""


class HttpResponse(NamedTuple):
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        body: JSON, or empty.
    """

    status: int
    body: bytes


EMPTY_RESPONSE = HttpResponse(HTTPStatus.OK, b"{}")


def json_response(status: int, value: Mapping[str, object]) -> HttpResponse:
    """Returns a response with a JSON object."""
    return HttpResponse(status, json.dumps(value).encode())


def error_response(status: int, text: str) -> HttpResponse:
    """Returns a response with the reason of an error."""
    return json_response(status, {"error": text})
