"""The validated, immutable settings of a process. Pure.

Durations are in seconds and their names end in `_seconds`. Defaults are the values of the example
in DEPLOY.md, "What a process is told"; a field without a default is required in the file.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from loomstand.config.units import Address


class PortRange(NamedTuple):
    """Ports reserved on every machine for the system's internal calls; both are inclusive."""

    first: int
    last: int


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Resource limits of the process (`self.limits`).

    Attributes:
        cpu_share: Share of one processor core that the process may use.
        cpu_cores: Speed of that core as a multiple of the reference core's speed.
        memory_mb: Memory in megabytes.
        file_descriptors: Number of open file descriptors.
        link_mbps: Bandwidth of the machine's link in megabits per second.
        disk_mb: Disk space in megabytes; 0 if there is no disk.
    """

    cpu_share: float = 0.86
    cpu_cores: float = 1.0
    memory_mb: int = 300
    file_descriptors: int = 4100
    link_mbps: float = 1000.0
    disk_mb: int = 0


@dataclass(slots=True, frozen=True)
class ListenAddresses:
    """Addresses for external calls (`network.listen_addresses`); None if the role has none."""

    frontend: Address | None = None
    readiness: Address | None = None
    control_plane: Address | None = None


@dataclass(slots=True, frozen=True)
class ToleratedLosses:
    """Simultaneous losses under which all rules hold (`rule_terms.tolerated_losses`)."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(slots=True, frozen=True)
class RuleBounds:
    """The bounds of the rules in RULES.md (`rule_terms.bounds`).

    Attributes:
        seed_lag_seconds: Maximum age of the operator's list of `control_plane` addresses.
        address_reuse_seconds: Time after a server's end from which another server may get its
            address (PROTOCOL.md).
        contact_seconds: Time without faults after which a machine counts as reachable.
        acknowledge_seconds: Time within which a valid change must be acknowledged.
        catch_up_seconds: Time for which a machine still counts as lost after its return.
        drain_seconds: Time after the acknowledgement of a drain from which no request may reach the
            drained server.
        grace_period_seconds: Time from SIGTERM to SIGKILL.
        loss_slack_seconds: Time after a request's last byte from which the request counts as
            accepted.
        configuration_apply_seconds: Time within which an acknowledged version must be in force.
        rollback_slack_seconds: Time after which an older version must not be applied any more.
        stretch_limit_seconds: Maximum extension of `configuration_apply_seconds` while faults
            affect the core.
        revocation_global: Accepted in the file, but unused by RULES.md and by the programs.
        revocation_seconds: Accepted in the file, but unused by RULES.md and by the programs.
        retry_budget_ratio: Allowed retries per request, for each service.
        budget_window_seconds: Length of the window in which retries are counted.
        budget_slack: Retries allowed in a window in addition to the ratio.
        quota_window_seconds: Length of the window in which a tenant's requests are counted.
        quota_overshoot: Share of its quota by which a tenant may exceed it.
        quota_slack: Requests allowed in a window in addition to the overshoot.
        recovery_seconds: Time after the return of machines within which requests must be served
            again.
    """

    seed_lag_seconds: float = 3.0
    address_reuse_seconds: float = 2.0
    contact_seconds: float = 3.0
    acknowledge_seconds: float = 5.0
    catch_up_seconds: float = 4.0
    drain_seconds: float = 2.5
    grace_period_seconds: float = 6.0
    loss_slack_seconds: float = 0.2
    configuration_apply_seconds: float = 2.5
    rollback_slack_seconds: float = 0.25
    stretch_limit_seconds: float = 8.0
    revocation_global: bool = False
    revocation_seconds: float = 5.0
    retry_budget_ratio: float = 0.2
    budget_window_seconds: float = 10.0
    budget_slack: float = 56.0
    quota_window_seconds: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    recovery_seconds: float = 15.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one process.

    Attributes:
        node_name: The machine's name, used in logs.
        role: The role's name in the deploy file.
        machine_class: The class of the machine in the deploy file.
        serves: Services that the role offers externally: `frontend`, `control_plane`; empty for a
            role that only serves internal calls.
        ip_address: The machine's IPv4 address.
        zone: The machine's zone.
        region: The machine's region.
        loss_counted: Whether a loss of the machine counts against `tolerated_losses`.
        first_start: Whether the whole system starts for the first time, with empty disks.
        data_directory: Directory of the store's data; empty if there is no disk.
        limits: Resource limits of the process.
        listen_addresses: Addresses for external calls.
        internal_ports: Ports for the system's internal calls.
        seed_nodes: The `control_plane` addresses of up to three machines; they may be down.
        zones: The region of each zone.
        heartbeat_seconds: The time between two heartbeats of a server.
        contracts: Names of the parts of the rules that are in force.
        tolerated_losses: Simultaneous losses under which all rules hold.
        bounds: The bounds of the rules.
    """

    node_name: str
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip_address: str
    zone: str
    region: str
    loss_counted: bool
    first_start: bool
    data_directory: str
    limits: ProcessLimits
    listen_addresses: ListenAddresses
    internal_ports: PortRange
    seed_nodes: tuple[Address, ...]
    zones: Mapping[str, str]
    heartbeat_seconds: float
    contracts: tuple[str, ...]
    tolerated_losses: ToleratedLosses
    bounds: RuleBounds

    def registry_address(self, ip: str) -> Address:
        """Returns the address for internal calls of the registry at this IP address."""
        return ip, self.internal_ports.first

    def store_address(self, ip: str) -> Address:
        """Returns the address for internal calls of the store at this IP address."""
        return ip, self.internal_ports.first + 1
