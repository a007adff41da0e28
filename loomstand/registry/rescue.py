"""The operators' call that inspects a store that lost too many members, and re-creates it.

See docs/rescue.md.
"""

from __future__ import annotations

import json
from http import HTTPStatus

from loomstand.registry.http_responses import HttpResponse, error_response, json_response
from loomstand.rpc.client import call
from loomstand.rpc.messages.rescue_messages import RescueRequest, RescueResponse
from loomstand.rpc.network import Address, Network

# Timeout of an inspection, or of a complete rescue at the chosen store.
RESCUE_TIMEOUT_SECONDS = 5.0


def parse_rescue(body: bytes) -> RescueRequest:
    """Parses an operator's `{"gone": [host], "token": text}`; both fields are optional.

    Raises:
        ValueError: The body isn't JSON, or a field has the wrong type.
        AttributeError: The body isn't a JSON object.
        RecursionError: The body is nested too deeply.
    """
    fields = json.loads(body or b"{}")
    gone_hosts = fields.get("gone", [])
    token = fields.get("token")
    if not isinstance(gone_hosts, list) or not isinstance(token, str | None):
        # a ValueError, like all other invalid input: operators get its text in the response
        raise ValueError("`gone` is a list of hosts, `token` a text")  # noqa: TRY004
    return RescueRequest(gone_hosts=[str(host) for host in gone_hosts], token=token)


async def handle_rescue(network: Network, store: Address, body: bytes) -> HttpResponse:
    """Forwards an operator's call to the store on this machine.

    Returns:
        The state of the store, or the new view; status 409 with the reasons if the token isn't
        that of the store's current state.
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
