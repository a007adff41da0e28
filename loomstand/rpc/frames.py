"""Frames: four bytes of length, one `cbor2` item, its CRC-32. A state machine that knows no socket.

The checksum of TCP is sixteen bits, and some faults of memory and of network cards come before it
is made. A peer of before the CRC sends none, and its reader passes over what follows the item: so
one is asked for from the first frame on that has it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from zlib import crc32

import cbor2

MAX_FRAME_BYTES = (
    16 << 20
)  # a configuration of thousands of routes is some MB; more is no frame of ours
LENGTH_BYTES = 4
CHECKSUM_BYTES = 4


class FrameError(Exception):
    """Bytes that are no frame of ours."""


def encode_frame(item: Any) -> bytes:
    """One frame."""
    raw = cbor2.dumps(item)
    return (
        (len(raw) + CHECKSUM_BYTES).to_bytes(LENGTH_BYTES, "big")
        + raw
        + crc32(raw).to_bytes(CHECKSUM_BYTES, "big")
    )


class FrameDecoder:
    """Fed with bytes as they come, gives the items that are whole."""

    __slots__ = ("buf", "summed")

    def __init__(self) -> None:
        self.buf, self.summed = bytearray(), False

    def feed(self, data: bytes) -> Iterator[list[Any]]:
        """Every whole item. Raises FrameError at bytes that can't be one: the connection is of no
        use then.
        """
        self.buf += data
        while len(self.buf) >= LENGTH_BYTES:
            size = int.from_bytes(self.buf[:LENGTH_BYTES], "big")
            if not 0 < size <= MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {size} bytes")
            if len(self.buf) < LENGTH_BYTES + size:
                return
            raw = bytes(self.buf[LENGTH_BYTES : LENGTH_BYTES + size])
            del self.buf[: LENGTH_BYTES + size]
            if len(raw) > CHECKSUM_BYTES and crc32(raw[:-CHECKSUM_BYTES]) == int.from_bytes(
                raw[-CHECKSUM_BYTES:], "big"
            ):
                raw, self.summed = raw[:-CHECKSUM_BYTES], True
            elif self.summed:
                raise FrameError("a frame that was changed on its way")
            try:
                item = cbor2.loads(raw)
            except (
                Exception
            ) as why:  # the library raises several kinds at bytes that are none of its own
                raise FrameError(f"no item: {type(why).__name__}") from None
            if not isinstance(item, list) or len(item) != 3 or not isinstance(item[0], int):
                raise FrameError("no call and no answer")
            yield item
