"""The limiters that a registry knows. A limiter is a member while its session with a registry stands; the
registries tell each other their sessions. Pure: the clock is given."""

from __future__ import annotations

# A session stands for so long after its last call: calls end within a second, and one may be lost.
STANDS = 2.0
# A limiter that fell silent may be cut off and go on with its part: its place is held for so long. Cuts of
# ten seconds are usual; one that was killed is back by then, or is told to be over.
HELD = 12.0


class Hands:
    """Limiters by name. `version` grows when the set of members, or of silent ones, changes."""

    def __init__(self) -> None:
        self.version = 0
        self.seen: dict[str, float] = {}
        self.own: dict[str, float] = {}  # those that speak to this registry
        self.present: tuple[str, ...] = ()
        self.missing: tuple[str, ...] = ()

    def spoke(self, name: str, now: float) -> None:
        """A limiter asked here."""
        self.own[name] = now
        self.told(name, now, now)

    def told(self, name: str, at: float, now: float) -> None:
        """A limiter was seen at that reading of the clock, here or elsewhere."""
        if at > self.seen.get(name, now - HELD):
            self.seen[name] = at
            if name not in self.present:
                self.sweep(now)

    def ended(self, name: str, now: float) -> None:
        """A limiter ended its session: nothing of its is held."""
        self.own.pop(name, None)
        if self.seen.pop(name, None) is not None:
            self.sweep(now)

    def sweep(self, now: float) -> None:
        """Lets sessions fall that stand no more."""
        for name, at in list(self.seen.items()):
            if now - at > HELD:
                del self.seen[name]
                self.own.pop(name, None)
        present = tuple(sorted(n for n, at in self.seen.items() if now - at <= STANDS))
        missing = tuple(sorted(n for n, at in self.seen.items() if now - at > STANDS))
        if (present, missing) != (self.present, self.missing):
            self.present, self.missing = present, missing
            self.version += 1
