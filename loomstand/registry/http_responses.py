"""Responses to HTTP requests, and the error of an invalid request."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple


class BadRequestError(Exception):
    """An HTTP request is invalid; the response has status 400 and the error's text."""


class HttpResponse(NamedTuple):
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        body: A JSON document, or empty.
    """

    status: int
    body: bytes


EMPTY_RESPONSE = HttpResponse(HTTPStatus.OK, b"{}")


def json_response(status: int, value: Mapping[str, object]) -> HttpResponse:
    """Returns a response with a JSON object."""
    return HttpResponse(status, json.dumps(value).encode())


def error_response(status: int, text: str) -> HttpResponse:
    """Returns a JSON response with the text of an error."""
    return json_response(status, {"error": text})
