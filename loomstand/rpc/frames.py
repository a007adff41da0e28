"""Frames: how calls and answers stand in a stream of bytes. A state machine without I/O.

A frame is four bytes of length (big-endian), one `cbor2` item, and the item's CRC-32 in four bytes
(big-endian); the length counts the item and its checksum. The item is a list of three: a call is
[number, operation, body], an answer [number, whether it succeeded, body].

The checksum is there as that of TCP has sixteen bits only, and some faults of memory and of network
cards come before it is made. Programs of early releases send no checksum, and read over what
follows the item; so one is required only after the first frame that has it.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any
from zlib import crc32

import cbor2
import msgspec

from loomstand.rpc.errors import FrameError
from loomstand.rpc.network import Body

# A configuration of thousands of routes takes some MB, the largest message there is.
MAX_FRAME_BYTES = 16 << 20
_UINT32 = struct.Struct(">I")
LENGTH_BYTES = _UINT32.size
CHECKSUM_BYTES = _UINT32.size
ELEMENTS = 3  # of an item


class CallFrame(msgspec.Struct, frozen=True):
    """A call.

    Attributes:
        number: Of the call on its connection; its answer has the same one.
        operation: Name of the operation.
        body: The request's body.
    """

    number: int
    operation: str
    body: Body

    def to_item(self) -> list[object]:
        """Returns the list that is sent."""
        return [self.number, self.operation, self.body]


class AnswerFrame(msgspec.Struct, frozen=True):
    """The answer to a call.

    Attributes:
        number: That of the call.
        is_ok: Whether the call was executed; else it was refused.
        body: The response's body, or {"why": the reason of the refusal}.
    """

    number: int
    is_ok: bool
    body: Body

    def to_item(self) -> list[object]:
        """Returns the list that is sent."""
        return [self.number, self.is_ok, self.body]


Frame = CallFrame | AnswerFrame


def encode_frame(frame: Frame) -> bytes:
    """Returns the bytes of one frame."""
    return encode_item(frame.to_item())


def encode_item(item: object) -> bytes:
    """Returns an item with its length and checksum; `encode_frame` for what needn't be a frame."""
    encoded = cbor2.dumps(item)
    length = len(encoded) + CHECKSUM_BYTES
    return _UINT32.pack(length) + encoded + _UINT32.pack(crc32(encoded))


class FrameDecoder:
    """Is fed with the bytes of one connection as they come, and gives the frames that are complete.

    State: the bytes of the frame that isn't complete yet, and whether the sender makes checksums.
    """

    __slots__ = ("_has_checksums", "_incomplete")

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self._has_checksums = False

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields each frame that is complete with these bytes.

        Raises:
            FrameError: The bytes can't be a frame.
        """
        incomplete = self._incomplete
        if not incomplete and _frame_end(data) == len(data):
            yield self._decode(data)  # one frame, as usual: it needn't go through the buffer
            return
        incomplete += data
        end = _frame_end(incomplete)
        while end is not None:
            frame = bytes(incomplete[:end])
            del incomplete[:end]
            yield self._decode(frame)
            end = _frame_end(incomplete)

    def _decode(self, frame: bytes) -> Frame:
        """Decodes the bytes of one frame, with or without a checksum."""
        item = frame[LENGTH_BYTES:-CHECKSUM_BYTES]
        if item:
            (checksum,) = _UINT32.unpack_from(frame, len(frame) - CHECKSUM_BYTES)
            if crc32(item) == checksum:
                self._has_checksums = True
                return _decode_item(item)
        if self._has_checksums:
            raise FrameError("a frame that was changed on its way")
        return _decode_item(frame[LENGTH_BYTES:])


def _frame_end(buffer: bytes | bytearray) -> int | None:
    """Returns where the first frame ends; None if it isn't complete.

    Raises:
        FrameError: It is longer than any frame.
    """
    if len(buffer) < LENGTH_BYTES:
        return None
    (length,) = _UINT32.unpack_from(buffer)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {length} bytes")
    end = LENGTH_BYTES + int(length)
    return end if len(buffer) >= end else None


def _decode_item(item: bytes) -> Frame:
    try:
        decoded: Any = cbor2.loads(item)
    except Exception as error:  # noqa: BLE001  # bytes from outside: the library raises many kinds
        raise FrameError(f"no item: {type(error).__name__}") from None
    if isinstance(decoded, list) and len(decoded) == ELEMENTS:
        number, kind, body = decoded
        if isinstance(number, int) and isinstance(body, dict):
            if isinstance(kind, str):
                return CallFrame(number, kind, body)
            if isinstance(kind, bool):
                return AnswerFrame(number, kind, body)
    raise FrameError("no call and no answer")
