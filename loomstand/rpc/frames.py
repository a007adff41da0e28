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

MOST = 16 << 20  # a configuration of thousands of routes is some MB; more is no frame of ours
HEAD = 4
SUM = 4


class Foreign(Exception):
    """Bytes that are no frame of ours."""


def pack(item: Any) -> bytes:
    """One frame."""
    raw = cbor2.dumps(item)
    return (len(raw) + SUM).to_bytes(HEAD, "big") + raw + crc32(raw).to_bytes(SUM, "big")


class Reader:
    """Fed with bytes as they come, gives the items that are whole."""

    __slots__ = ("buf", "summed")

    def __init__(self) -> None:
        self.buf, self.summed = bytearray(), False

    def feed(self, data: bytes) -> Iterator[list[Any]]:
        """Every whole item. Raises Foreign at bytes that can't be one: the connection is of no use
        then.
        """
        self.buf += data
        while len(self.buf) >= HEAD:
            size = int.from_bytes(self.buf[:HEAD], "big")
            if not 0 < size <= MOST:
                raise Foreign(f"a frame of {size} bytes")
            if len(self.buf) < HEAD + size:
                return
            raw = bytes(self.buf[HEAD : HEAD + size])
            del self.buf[: HEAD + size]
            if len(raw) > SUM and crc32(raw[:-SUM]) == int.from_bytes(raw[-SUM:], "big"):
                raw, self.summed = raw[:-SUM], True
            elif self.summed:
                raise Foreign("a frame that was changed on its way")
            try:
                item = cbor2.loads(raw)
            except (
                Exception
            ) as why:  # the library raises several kinds at bytes that are none of its own
                raise Foreign(f"no item: {type(why).__name__}") from None
            if not isinstance(item, list) or len(item) != 3 or not isinstance(item[0], int):
                raise Foreign("no call and no answer")
            yield item
