"""The status of the system as one registry sees it, for operators. It contains no API keys.

Operators get it as JSON with the field names given here; versions are texts such as `r7`.
"""

from __future__ import annotations

import msgspec

from loomstand.config.units import format_address
from loomstand.rpc.messages.configuration_messages import StatusResponse
from loomstand.rpc.network import Address


class ConfigurationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that the registry holds in memory.

    Attributes:
        version: Version of this configuration.
        is_current: Whether this configuration is known to be the newest.
    """

    version: str
    is_current: bool = msgspec.field(name="sure")


class CountingStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The counting lease.

    Attributes:
        holder: Host of the registry that counts, None if unknown.
        is_local: Whether the registry that answers holds the lease.
        lease_left: Remaining time of that lease, such as `914ms`.
    """

    holder: str | None = msgspec.field(name="by")
    is_local: bool = msgspec.field(name="here")
    lease_left: str = msgspec.field(name="left")


class LimiterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The limiters, by name.

    Attributes:
        present: Limiters with a session.
        silent: Limiters whose session timed out and whose rank is reserved.
    """

    present: list[str]
    silent: list[str] = msgspec.field(name="missing")


class StoreStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of the store on the registry's machine.

    Attributes:
        version: Version of the committed configuration.
        epoch: Epoch of the newest view.
        primary: Address of the view's primary, None if it isn't reachable.
        backup: Address of the view's backup, if there is one.
        is_ready: Whether the store knows the newest configuration.
        conflict_count: Number of changes refused since the store's start because their version
            already has other content.
    """

    version: str
    epoch: int
    primary: str | None
    backup: str | None
    is_ready: bool = msgspec.field(name="ready")
    conflict_count: int = msgspec.field(name="conflicts")


class SystemStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of the system.

    Attributes:
        node_name: Name of the registry's node.
        incarnation: Text that identifies this start of the registry.
        configuration: The configuration that the registry holds.
        counting: The counting lease.
        limiters: The limiters.
        servers: Number of servers in each state, by service.
        operator_addresses: Addresses at which the core machines serve operators' calls.
        store: Status of the store on this machine, None if it doesn't answer.
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
    """Returns the part of a store's answer that operators get."""
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
