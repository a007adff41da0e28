"""Whether an answer of the store may still be passed on: whoever does so looks as it writes its
own.

A process may freeze, or its bytes wait in a socket, after the lease was looked at; meanwhile others
may serve and acknowledge more. So an answer that tells what is in force says for how long nobody
else can serve, and whoever passes it on counts that from when it *asked*: the store looked at its
lease after that. An acknowledgement stays true for good; one that comes later than it was waited
for is no answer all the same, as its asker has gone on. What doesn't pass is no answer (503), never
a verdict on the order.
"""

from __future__ import annotations

from typing import Any

LEFT = "left"  # in a body: seconds from its writing for which nobody else can serve


def left(answer: dict[str, Any], asked: float, now: float, within: float) -> float:
    """Seconds for which `answer`, to what was asked at `asked`, may be passed on; 0.0 if it is none
    any more.

    `within`: seconds for which it was waited. A store of before this rule says no time: only that
    counts.
    """
    return max(0.0, asked + min(within, float(answer.get(LEFT, within))) - now)
