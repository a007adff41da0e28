"""The operators' call by which a lost store is looked at and founded anew (docs/rescue.md)."""

from __future__ import annotations

import json
from http import HTTPStatus

from loomstand.registry.http_responses import HttpResponse, error_response, json_response
from loomstand.rpc.client import call
from loomstand.rpc.messages.rescue_messages import RescueRequest, RescueResponse
from loomstand.rpc.network import Address, Network

# A look, and all of a rescue at the store that is chosen.
RESCUE_TIMEOUT_SECONDS = 5.0


def parse_rescue(body: bytes) -> RescueRequest:
    """Reads an operator's `{"gone": [host], "token": text}`; both may be left out.

    Raises:
        ValueError: The body isn't JSON, or a field has the wrong type.
        AttributeError: The body isn't an object.
        RecursionError: The body is too deep.
    """
    fields = json.loads(body or b"{}")
    gone_hosts = fields.get("gone", [])
    token = fields.get("token")
    if not isinstance(gone_hosts, list) or not isinstance(token, str | None):
        # operators get this text in the answer, as for all other bad input
        raise ValueError("`gone` is a list of hosts, `token` a text")  # noqa: TRY004
    return RescueRequest(gone_hosts=[str(host) for host in gone_hosts], token=token)


async def handle_rescue(network: Network, store: Address, body: bytes) -> HttpResponse:
    """Forwards an operator's call to the store beside this registry.

    Returns:
        How the store stands, or what was founded; 409 with the reasons unless the token is that of
        the state as it is now.
    """
    try:
        request = parse_rescue(body)
    except (ValueError, AttributeError, RecursionError) as error:
        return error_response(HTTPStatus.BAD_REQUEST, f"body: {type(error).__name__}: {error}")
    result = await call(network, store, request, RescueResponse, RESCUE_TIMEOUT_SECONDS)
    if result.is_error():
        text = f"the store beside this registry: {result.error.value}"
        return error_response(HTTPStatus.SERVICE_UNAVAILABLE, text)
    if result.ok.refusals is not None:
        return error_response(HTTPStatus.CONFLICT, "; ".join(result.ok.refusals))
    return json_response(HTTPStatus.OK, result.ok.to_wire())
