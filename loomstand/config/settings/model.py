"""The checked settings of a process, immutable.

Spans are in seconds and end in `_seconds`. Defaults are the values of the example in DEPLOY.md,
"What a process is told"; a field without one has to be in the file. Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from loomstand.config.units import Address


class PortRange(NamedTuple):
    """Ports that every machine keeps free for the system's own calls, both ends included."""

    first: int
    last: int


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """What the process may use (`self.limits`).

    Attributes:
        cpu_share: Share of a core.
        cpu_cores: How many times as fast as the reference core that core is.
        memory_mb: Megabytes of memory.
        file_descriptors: Open descriptors.
        link_mbps: Megabits a second on the machine's link.
        disk_mb: Megabytes of disk; 0 where there is none.
    """

    cpu_share: float = 0.86
    cpu_cores: float = 1.0
    memory_mb: int = 300
    file_descriptors: int = 4100
    link_mbps: float = 1000.0
    disk_mb: int = 0


@dataclass(slots=True, frozen=True)
class ListenAddresses:
    """Where calls from outside are taken (`network.listen_addresses`), as far as the role does."""

    frontend: Address | None = None
    readiness: Address | None = None
    control_plane: Address | None = None


@dataclass(slots=True, frozen=True)
class ToleratedLosses:
    """What may be lost at once with all rules kept (`rule_terms.tolerated_losses`)."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(slots=True, frozen=True)
class RuleBounds:
    """The figures of the rules in RULES.md (`rule_terms.bounds`).

    Attributes:
        seed_lag_seconds: How old the operator's list of `control_plane` addresses may be.
        address_reuse_seconds: After a server's end, another may get its address (PROTOCOL.md).
        contact_seconds: How long a machine has to be without trouble to be in touch.
        acknowledge_seconds: Within which a valid order has to be acknowledged.
        catch_up_seconds: How long a machine that is back still counts as lost.
        drain_seconds: After the acknowledgement of a drain no request may reach that server.
        grace_period_seconds: From SIGTERM to SIGKILL.
        loss_slack_seconds: After its last byte a request counts as taken.
        configuration_apply_seconds: Within which an acknowledged version has to be in force.
        rollback_slack_seconds: After which an older version may not be applied any more.
        stretch_limit_seconds: By which an unsettled core stretches the bound of configuration.
        revocation_global: In the file; no rule of RULES.md uses it, nor do the programs.
        revocation_seconds: Likewise.
        retry_budget_ratio: Retries allowed for each request, by service.
        budget_window_seconds: The window in which retries are counted.
        budget_slack: Retries allowed beyond the ratio, in a window.
        quota_window_seconds: The window in which a tenant's requests are counted.
        quota_overshoot: Share by which a tenant may exceed its quota.
        quota_slack: Requests allowed beyond that, in a window.
        recovery_seconds: After machines return, within which requests have to be served again.
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
        node_name: The machine's name, in logs.
        role: The role's name in the deploy file.
        machine_class: The class of the machine in the deploy file.
        serves: What the role serves outside: `frontend`, `control_plane`; empty for a role that
            only takes the system's own calls.
        ip_address: The machine's IPv4 number.
        zone: The machine's zone.
        region: The machine's region.
        loss_counted: Whether the machine's loss counts among the tolerated ones.
        first_start: Whether the whole system starts for the first time, with empty disks.
        data_directory: Where the store keeps its data; empty where there is no disk.
        limits: What the process may use.
        listen_addresses: Where calls from outside are taken.
        internal_ports: Ports for the system's own calls.
        seed_nodes: The `control_plane` addresses of up to three machines; they may be down.
        zones: The region of each zone.
        heartbeat_seconds: The time between two heartbeats of a server.
        contracts: The parts of the rules that are in force.
        tolerated_losses: What may be lost at once with all rules kept.
        bounds: The figures of the rules.
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
        """Returns where the registry of the machine with this IP number takes internal calls."""
        return ip, self.internal_ports.first

    def store_address(self, ip: str) -> Address:
        """Returns where the store of the machine with this IP number takes internal calls."""
        return ip, self.internal_ports.first + 1
