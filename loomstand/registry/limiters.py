"""The limiters that a registry knows.

A limiter is present while it has a session with any registry; registries replicate their sessions
to each other. After a timeout the limiter is silent for a while, in which it may still use its
quota share. Pure: the clock's reading is an argument, in seconds.
"""

from __future__ import annotations

from zlib import crc32

from loomstand.rpc.messages.session_messages import LimiterSetRow

# Time after a limiter's last call at which its session ends. A call ends within 0.6 s and the next
# follows at once. A limiter that can't reach the registries keeps using its quota share, so until
# this timeout the limiters together exceed a quota by that share.
SESSION_TIMEOUT_SECONDS = 1.2
# Session timeout of a limiter that never called this registry: other registries report its calls up
# to 1 s late.
REPORTED_SESSION_TIMEOUT_SECONDS = 2.4
# Time after its last call for which a silent limiter keeps its rank and quota share, as it may be
# partitioned from the registries and still use them. Network partitions of 20 s are common; a
# limiter that was killed has restarted or deregistered by then. Limiters reduce their shares
# earlier (`proxy/quota_credits.py`).
SILENT_RETENTION_SECONDS = 30.0


class LimiterTable:
    """Limiters by name.

    Attributes:
        revision: Number that increases when the set of present or of silent limiters changes.
        last_contact_at: By name, the time of the limiter's last call to any registry.
        last_call_at: By name, the time of the limiter's last call to this registry.
        present: Names of the limiters with a session, sorted.
        silent: Names of the limiters whose session ended by timeout and whose rank is reserved,
            sorted.
        ranks: By name, the index of each present or silent limiter in the order of names.
        next_expiry_at: Earliest time at which a session or the retention of a silent limiter can
            end. It avoids a check of all sessions in each call, which took 0.4 ms at 1,000 limiters
            and 2 ms at 3,000.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.last_contact_at: dict[str, float] = {}
        self.last_call_at: dict[str, float] = {}
        self.present: tuple[str, ...] = ()
        self.silent: tuple[str, ...] = ()
        self.ranks: dict[str, int] = {}
        self.next_expiry_at = 0.0

    def limiter_set(self, name: str) -> LimiterSetRow:
        """Returns a limiter's rank, the number of limiters and the number of silent limiters."""
        return LimiterSetRow(self.ranks.get(name, 0), len(self.ranks), len(self.silent))

    def session_digest(self) -> int:
        """Returns a checksum of the limiters with a session at this registry."""
        return crc32("\n".join(sorted(self.last_call_at)).encode())

    def session_ages(self, now: float) -> dict[str, float]:
        """Returns the seconds since each limiter's last call to this registry, by name."""
        return {name: now - called_at for name, called_at in self.last_call_at.items()}

    def has_called(self, name: str) -> bool:
        """Returns whether a limiter called this registry and hasn't deregistered since."""
        return name in self.last_call_at

    def record_call(self, name: str, now: float) -> None:
        """Records a limiter's call to this registry."""
        is_present = (
            name in self.last_call_at
            and self.ranks.get(name) is not None
            and name not in self.silent
        )
        self.last_call_at[name] = now
        self.last_contact_at[name] = now
        if not is_present or now > self.next_expiry_at:
            self.expire(now)

    def record_report(self, name: str, last_contact_at: float, now: float) -> None:
        """Records another registry's report of a limiter's last call.

        It is ignored if the limiter also called this registry: limiters combine the answers of all
        registries themselves.
        """
        if name in self.last_call_at:
            return
        if last_contact_at > self.last_contact_at.get(name, now - SILENT_RETENTION_SECONDS):
            self.last_contact_at[name] = last_contact_at
            self.expire(now)

    def deregister(self, name: str, now: float) -> None:
        """Removes a limiter that ended its session, without reserving its rank."""
        self.last_call_at.pop(name, None)
        if self.last_contact_at.pop(name, None) is not None:
            self.expire(now)

    def expire(self, now: float) -> None:
        """Ends the sessions that timed out, and removes limiters silent for too long.

        Later calls can only postpone the end of a session. So until `next_expiry_at`, only a call
        of a new or silent limiter or a deregistration can change the result.
        """
        for name, last_contact_at in list(self.last_contact_at.items()):
            if now - last_contact_at > SILENT_RETENTION_SECONDS:
                del self.last_contact_at[name]
                self.last_call_at.pop(name, None)
        timeouts = {
            name: timeout
            for name, last_contact_at in self.last_contact_at.items()
            if now - last_contact_at <= (timeout := self._session_timeout_seconds(name))
        }
        self.next_expiry_at = min(
            (
                last_contact_at + timeouts.get(name, SILENT_RETENTION_SECONDS)
                for name, last_contact_at in self.last_contact_at.items()
            ),
            default=now,
        )
        present = tuple(sorted(timeouts))
        silent = tuple(sorted(self.last_contact_at.keys() - timeouts.keys()))
        if (present, silent) != (self.present, self.silent):
            self.present = present
            self.silent = silent
            self.ranks = {name: rank for rank, name in enumerate(sorted(self.last_contact_at))}
            self.revision += 1

    def _session_timeout_seconds(self, name: str) -> float:
        if name in self.last_call_at:
            return SESSION_TIMEOUT_SECONDS
        return REPORTED_SESSION_TIMEOUT_SECONDS
