"""The engine's unit of time, and the conversion of milliseconds into it.

All clock readings and durations inside `loomstand.admission` are whole ticks. A tick is 0.1 ms, the
resolution of times in the operators' wire protocol. The common clock is the one whose readings are
comparable between limiters. Pure.
"""

from __future__ import annotations

from math import ceil, floor

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10

# Milliseconds are floats; decimals beyond this are rounding errors, which must not move a value to
# the next tick.
_ROUNDING_DIGITS = 3


def ticks_rounded_up(milliseconds: float) -> int:
    """Returns a duration or clock reading in ticks, never shorter or earlier than stated."""
    return ceil(round(milliseconds * TICKS_PER_MILLISECOND, _ROUNDING_DIGITS))


def ticks_rounded_down(milliseconds: float) -> int:
    """Returns a deadline or limit in ticks, never later or longer than stated."""
    return floor(round(milliseconds * TICKS_PER_MILLISECOND, _ROUNDING_DIGITS))
