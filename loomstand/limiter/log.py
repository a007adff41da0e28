"""Rate-limited log lines for operators on standard error."""

from __future__ import annotations

import sys
import time
from contextlib import suppress

BURST_LINES = 50
LINES_PER_SECOND = 10  # sustained rate after a burst


class Log:
    """Writes log lines at a limited rate.

    A line above the limit is suppressed; the next line written states how many were.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.tokens, self.refilled_at, self.suppressed = float(BURST_LINES), time.monotonic(), 0

    def __call__(self, text: str) -> None:
        """Writes a line, or suppresses it if the token bucket is empty."""
        now = time.monotonic()
        self.tokens, self.refilled_at = (
            min(BURST_LINES, self.tokens + LINES_PER_SECOND * (now - self.refilled_at)),
            now,
        )
        if self.tokens < 1:
            self.suppressed += 1
            return
        self.tokens -= 1
        suffix = f" ({self.suppressed} lines kept back)" if self.suppressed else ""
        self.suppressed = 0
        with suppress(OSError, ValueError):  # standard error is closed: continue to serve
            print(f"{self.name}: {text}{suffix}", file=sys.stderr, flush=True)
