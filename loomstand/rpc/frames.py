"""Frames: four bytes of length, then one `cbor2` item. A state machine that knows no socket."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import cbor2

MOST = 16 << 20  # a configuration of thousands of routes is some MB; more is no frame of ours
HEAD = 4


class Foreign(Exception):
    """Bytes that are no frame of ours."""


def pack(item: Any) -> bytes:
    """One frame."""
    raw = cbor2.dumps(item)
    return len(raw).to_bytes(HEAD, "big") + raw


class Reader:
    """Fed with bytes as they come, gives the items that are whole."""

    __slots__ = ("buf",)

    def __init__(self) -> None:
        self.buf = bytearray()

    def feed(self, data: bytes) -> Iterator[list[Any]]:
        """Every whole item. Raises Foreign at bytes that can't be one: the connection is of no use then."""
        self.buf += data
        while len(self.buf) >= HEAD:
            size = int.from_bytes(self.buf[:HEAD], "big")
            if not 0 < size <= MOST:
                raise Foreign(f"a frame of {size} bytes")
            if len(self.buf) < HEAD + size:
                return
            raw = bytes(self.buf[HEAD : HEAD + size])
            del self.buf[: HEAD + size]
            try:
                item = cbor2.loads(raw)
            except Exception as why:  # the library raises several kinds at bytes that are none of its own
                raise Foreign(f"no item: {type(why).__name__}") from None
            if not isinstance(item, list) or len(item) != 3 or not isinstance(item[0], int):
                raise Foreign("no call and no answer")
            yield item
