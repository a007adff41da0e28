"""Frames: the encoding of calls and answers in a byte stream. A state machine without I/O.

A frame is a length of four bytes (big-endian), one CBOR data item, and the item's CRC-32 in four
bytes (big-endian); the length counts the item and its checksum. The item is a list of three
elements: a call is [number, operation, body], an answer [number, whether it succeeded, body].

TCP's checksum doesn't suffice: it has only 16 bits, and faults of memory or network cards can
corrupt data before it is computed. Programs of early releases send no checksum, and ignore the
bytes after the item; so a checksum is required only after the first frame that has one.
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

# The largest message is a configuration, which has a few MB if it has thousands of routes.
MAX_FRAME_BYTES = 16 << 20
_UINT32 = struct.Struct(">I")
LENGTH_BYTES = _UINT32.size
CHECKSUM_BYTES = _UINT32.size
ITEM_ELEMENTS = 3  # number, operation or outcome, body


class CallFrame(msgspec.Struct, frozen=True):
    """A call.

    Attributes:
        number: Number of the call on its connection; its answer has the same one.
        operation: Name of the operation.
        body: Body of the request.
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
        number: Number of the call.
        is_ok: Whether the call was executed; false if it was refused.
        body: Body of the response, or {"why": the reason of the refusal}.
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
    """Encodes an item with its length and checksum; tests also pass items that aren't frames."""
    encoded = cbor2.dumps(item)
    length = len(encoded) + CHECKSUM_BYTES
    return _UINT32.pack(length) + encoded + _UINT32.pack(crc32(encoded))


class FrameDecoder:
    """Decodes the bytes of one connection, in the pieces received, into frames.

    State: the bytes of the incomplete frame, and whether the sender adds checksums.
    """

    __slots__ = ("_has_checksums", "_incomplete")

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self._has_checksums = False

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields each frame that these bytes complete.

        Raises:
            FrameError: The bytes aren't a valid frame.
        """
        incomplete = self._incomplete
        if not incomplete and _frame_end(data) == len(data):
            yield self._decode(data)  # exactly one frame, the usual case: no buffering
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
            raise FrameError("checksum mismatch")
        return _decode_item(frame[LENGTH_BYTES:])


def _frame_end(buffer: bytes | bytearray) -> int | None:
    """Returns the offset of the first frame's end; None if the frame is incomplete.

    Raises:
        FrameError: The length is 0 or above MAX_FRAME_BYTES.
    """
    if len(buffer) < LENGTH_BYTES:
        return None
    (length,) = _UINT32.unpack_from(buffer)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameError(f"length {length} is not between 1 and {MAX_FRAME_BYTES} bytes")
    end = LENGTH_BYTES + int(length)
    return end if len(buffer) >= end else None


def _decode_item(item: bytes) -> Frame:
    try:
        decoded: Any = cbor2.loads(item)
    except Exception as error:  # noqa: BLE001  # untrusted bytes: cbor2 raises errors of many types
        raise FrameError(f"item is not valid CBOR: {type(error).__name__}") from None
    if isinstance(decoded, list) and len(decoded) == ITEM_ELEMENTS:
        number, operation_or_outcome, body = decoded
        if isinstance(number, int) and isinstance(body, dict):
            if isinstance(operation_or_outcome, str):
                return CallFrame(number, operation_or_outcome, body)
            if isinstance(operation_or_outcome, bool):
                return AnswerFrame(number, operation_or_outcome, body)
    raise FrameError("item is neither a call nor an answer")
