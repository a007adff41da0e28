"""How the system stands as seen from one registry, for operators. No API key is in it.

Operators get it as JSON with the names given here; versions are texts as `r7`.
"""

from __future__ import annotations

import msgspec

from loomstand.config.units import format_address
from loomstand.rpc.messages.configuration_messages import StatusResponse
from loomstand.rpc.network import Address


class ConfigurationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration held.

    Attributes:
        version: Its version.
        is_current: Whether it is known to be the newest.
    """

    version: str
    is_current: bool = msgspec.field(name="sure")


class CountingStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Who counts.

    Attributes:
        holder: Host of the registry that counts, if it is known.
        is_local: Whether the registry that answers counts.
        lease_left: For how long still, as `914ms`.
    """

    holder: str | None = msgspec.field(name="by")
    is_local: bool = msgspec.field(name="here")
    lease_left: str = msgspec.field(name="left")


class LimiterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The limiters, by name.

    Attributes:
        present: Those whose session stands.
        silent: Those whose place is reserved.
    """

    present: list[str]
    silent: list[str] = msgspec.field(name="missing")


class StoreStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What the store beside the registry says.

    Attributes:
        version: Version of the committed configuration.
        epoch: Epoch of the newest view.
        primary: Address of its primary, if it is in reach.
        backup: Address of its backup, if there is one.
        is_ready: Whether the store knows the newest configuration.
        conflict_count: Changes refused since its start, as their version stands for another
            content.
    """

    version: str
    epoch: int
    primary: str | None
    backup: str | None
    is_ready: bool = msgspec.field(name="ready")
    conflict_count: int = msgspec.field(name="conflicts")


class SystemStatus(msgspec.Struct, frozen=True, kw_only=True):
    """How the system stands.

    Attributes:
        node_name: Name of the registry's node.
        incarnation: Names this start of the registry.
        configuration: The configuration held.
        counting: Who counts.
        limiters: The limiters.
        servers: By service, how many servers are in each state.
        operator_addresses: Where each core machine takes operators' calls.
        store: The store beside the registry, None if it doesn't answer.
    """

    node_name: str = msgspec.field(name="name")
    incarnation: str = msgspec.field(name="life")
    configuration: ConfigurationStatus
    counting: CountingStatus
    limiters: LimiterStatus
    servers: dict[str, dict[str, int]]
    operator_addresses: list[str] = msgspec.field(name="cores")
    store: StoreStatus | None


def store_status(response: StatusResponse) -> StoreStatus:
    """Returns what operators get of a store's answer."""
    return StoreStatus(
        version=f"r{response.version}",
        epoch=response.epoch,
        primary=_address_text(response.primary),
        backup=_address_text(response.backup),
        is_ready=response.is_ready,
        conflict_count=response.conflict_count,
    )


def _address_text(address: Address | None) -> str | None:
    return None if address is None else format_address(address)
