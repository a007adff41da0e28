"""Rate-limited log lines for operators on standard error."""

from __future__ import annotations

import sys
import time
from contextlib import suppress

BURST = 50  # lines
PER_S = 10  # lines per second after a burst


class Log:
    """Token bucket for log lines; counts the lines that it suppresses."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.left, self.at, self.kept = float(BURST), time.monotonic(), 0

    def __call__(self, text: str) -> None:
        now = time.monotonic()
        self.left, self.at = min(BURST, self.left + PER_S * (now - self.at)), now
        if self.left < 1:
            self.kept += 1
            return
        self.left -= 1
        more = f" ({self.kept} lines kept back)" if self.kept else ""
        self.kept = 0
        with suppress(OSError, ValueError):  # standard error is closed: continue to serve
            print(f"{self.name}: {text}{more}", file=sys.stderr, flush=True)
