"""The operators' call by which a lost store is looked at and founded anew (docs/rescue.md)."""

from __future__ import annotations

import json
from typing import Any

from loomstand.rpc.network import Address, Network

WITHIN = 5.0  # seconds: a look and, at the store chosen, all of a rescue


async def rescue(network: Network, store: Address, body: bytes) -> tuple[int, dict[str, Any]]:
    """Status and answer to {"gone": [host], "token": text or left out}: the case, or what was
    founded; 409 with the reasons unless the token is that of the state as it is now.
    """
    try:
        said = json.loads(body or b"{}")
        gone, token = said.get("gone", []), said.get("token")
        if not isinstance(gone, list) or not isinstance(token, str | None):
            raise ValueError("`gone` is a list of hosts, `token` a text")
    except (ValueError, AttributeError, RecursionError) as why:
        return 400, {"error": f"body: {type(why).__name__}: {why}"}
    call = {"gone": [str(host) for host in gone], "token": token}
    got = await network.call(store, "rescue", call, WITHIN)
    if got.is_error():
        return 503, {"error": f"the store beside this registry: {got.error.value}"}
    return (409, {"error": "; ".join(got.ok["no"])}) if "no" in got.ok else (200, got.ok)
