"""Servers that registries recently reported as gone, which this limiter reports in new sessions.

Registries hold servers in memory only. After a restart of all of them the limiters restore the
departures, so that limiters that missed one, or start later, don't use the server. Pure: methods
take the time, in seconds of a monotonic clock, as an argument.
"""

from __future__ import annotations

from collections.abc import Iterable

from loomstand.registry.instances import GONE
from loomstand.rpc.messages.rows import InstanceRow

# Network partitions of 20 s are common, and a late heartbeat arrives within seconds.
REPORT_SECONDS = 30.0


class RecentDepartures:
    """Departed servers, each for a limited time from its first report."""

    def __init__(self) -> None:
        self._reported_at: dict[str, float] = {}  # by id, in the order of the times

    def record(self, rows: Iterable[InstanceRow], now: float) -> None:
        """Records the servers that are gone according to a registry's rows."""
        self._remove_old(now)
        for row in rows:
            if row.state == GONE:
                self._reported_at.setdefault(row.instance_id, now)

    def instance_ids(self, now: float) -> list[str]:
        """Returns the identifiers of the servers that left within `REPORT_SECONDS`."""
        self._remove_old(now)
        return list(self._reported_at)

    def _remove_old(self, now: float) -> None:
        for instance_id, reported_at in list(self._reported_at.items()):
            if now - reported_at <= REPORT_SECONDS:
                return  # the later entries are newer
            del self._reported_at[instance_id]
