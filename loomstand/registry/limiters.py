"""The limiters that a registry knows.

A limiter is a member while its session with a registry stands; the registries tell each other their
sessions. Pure: the clock's reading is given, in seconds.
"""

from __future__ import annotations

from zlib import crc32

from loomstand.rpc.messages.session_messages import LimiterSetRow

# A session stands for so long after its last call: calls end within 0.6 s, and the next comes at
# once. A limiter that is cut off goes on with its quota share, so for as long as nobody knows, all
# of them are that much over a quota together.
SESSION_TIMEOUT_SECONDS = 1.2
# What another registry tells of a limiter that never called here is up to a second older.
REPORTED_SESSION_TIMEOUT_SECONDS = 2.4
# A limiter that fell silent may be cut off and go on with its quota share: its place is reserved
# for so long. Cuts of twenty seconds are usual; one that was killed is back by then, or has
# deregistered. Limiters shrink their shares before (`proxy/quota_credits.py`).
PLACE_RETENTION_SECONDS = 30.0


class LimiterTable:
    """Limiters by name.

    Attributes:
        revision: Grows when the set of members, or of silent limiters, changes.
        last_contact_at: By name, when any registry last heard the limiter.
        last_call_at: By name, when the limiter last called this registry.
        present: Names of the limiters whose session stands, in order.
        silent: Names of those whose place is reserved, in order.
        ranks: By name, the place of each, present or silent, in the order of names.
        next_expiry_at: Until when no session can end, whoever calls meanwhile. All sessions were
            looked at in each call of each limiter: 0.4 ms of a call at 1,000 limiters, 2 ms at
            3,000.
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
        """Returns what a limiter hears of the limiters: its place, how many, how many silent."""
        return LimiterSetRow(self.ranks.get(name, 0), len(self.ranks), len(self.silent))

    def session_digest(self) -> int:
        """Returns a number that tells whether two registries have the same limiters' sessions."""
        return crc32("\n".join(sorted(self.last_call_at)).encode())

    def session_ages(self, now: float) -> dict[str, float]:
        """Returns the limiters that called here, each with the seconds since."""
        return {name: now - called_at for name, called_at in self.last_call_at.items()}

    def has_called(self, name: str) -> bool:
        """Returns whether a limiter called here and hasn't deregistered since."""
        return name in self.last_call_at

    def record_call(self, name: str, now: float) -> None:
        """A limiter called this registry."""
        is_member = (
            name in self.last_call_at
            and self.ranks.get(name) is not None
            and name not in self.silent
        )
        self.last_call_at[name] = now
        self.last_contact_at[name] = now
        if not is_member or now > self.next_expiry_at:
            self.expire(now)

    def record_report(self, name: str, last_contact_at: float, now: float) -> None:
        """Another registry heard a limiter.

        Where the limiter called here too, only that counts: limiters put together what all
        registries say.
        """
        if name in self.last_call_at:
            return
        if last_contact_at > self.last_contact_at.get(name, now - PLACE_RETENTION_SECONDS):
            self.last_contact_at[name] = last_contact_at
            self.expire(now)

    def deregister(self, name: str, now: float) -> None:
        """A limiter ended its session: no place is reserved for it."""
        self.last_call_at.pop(name, None)
        if self.last_contact_at.pop(name, None) is not None:
            self.expire(now)

    def expire(self, now: float) -> None:
        """Ends the sessions that stand no more.

        Times of limiters that call only grow, so until the first session that may end by what is
        known now, only a limiter that is new or was silent changes anything.
        """
        for name, last_contact_at in list(self.last_contact_at.items()):
            if now - last_contact_at > PLACE_RETENTION_SECONDS:
                del self.last_contact_at[name]
                self.last_call_at.pop(name, None)
        timeouts = {
            name: timeout
            for name, last_contact_at in self.last_contact_at.items()
            if now - last_contact_at <= (timeout := self._session_timeout_seconds(name))
        }
        self.next_expiry_at = min(
            (
                last_contact_at + timeouts.get(name, PLACE_RETENTION_SECONDS)
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
