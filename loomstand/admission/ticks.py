"""The engine's unit of time, and the conversion of milliseconds into it.

All clock readings and spans inside `loomstand.admission` are whole ticks. A tick is a tenth of a
millisecond, the resolution in which the operators' wire states times. Pure.
"""

from __future__ import annotations

from math import ceil, floor

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10

# Milliseconds come as floats; the decimals beyond this are noise of their arithmetic, which must
# not move a value to the next tick.
_ROUNDING_DIGITS = 3


def ticks_rounded_up(milliseconds: float) -> int:
    """Returns the span or clock reading in ticks, never shorter or earlier than stated."""
    return ceil(round(milliseconds * TICKS_PER_MILLISECOND, _ROUNDING_DIGITS))


def ticks_rounded_down(milliseconds: float) -> int:
    """Returns the deadline or limit in ticks, never later or longer than stated."""
    return floor(round(milliseconds * TICKS_PER_MILLISECOND, _ROUNDING_DIGITS))
