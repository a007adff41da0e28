"""Incremental HTTP/1.1 parsers that read from a ring buffer. No I/O."""

from __future__ import annotations

import re
from functools import lru_cache

from loomstand.limiter.buffers import Ring

MAX_BODY_BYTES = 64 * 1024  # protocol: a body holds at most 64 KiB
MAX_HEAD_BYTES = 8 * 1024  # start line and header fields
MAX_LINE_BYTES = 256  # a chunk size or trailer line
MAX_MESSAGE_BYTES = MAX_BODY_BYTES + MAX_HEAD_BYTES
REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (/[!-~]*) HTTP/1\.([01])").fullmatch
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\r\n]*)?").fullmatch
FIELD = re.compile(rb"(?m)^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\r\n\0]*)\r\n").findall
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?").fullmatch
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def is_decimal(raw: bytes) -> bool:
    """Returns whether `raw` is a decimal integer of at most 9 digits."""
    return raw.isdigit() and len(raw) < 10


class Malformed(Exception):
    """Invalid HTTP message.

    Attributes:
        status: HTTP status of the response to an invalid request.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def read_head(raw: bytes) -> tuple[bytes, dict[bytes, bytes]]:
    """Parses a message head; returns its start line and its fields with lower-case names.

    Raises:
        Malformed: A field is invalid.
    """
    line_count, start_line_end = raw.count(b"\r\n"), raw.find(b"\r\n")
    pairs = FIELD(raw, start_line_end + 2)
    if (
        len(pairs) != line_count - 1
        or raw.count(b"\n") != line_count
        or raw.count(b"\r") != line_count
    ):
        raise Malformed(400, "bad field line")
    fields = {name.lower(): value.rstrip(b" \t") for name, value in pairs}
    if len(fields) != len(pairs):  # repeated fields: join their values
        lists: dict[bytes, list[bytes]] = {}
        for name, value in pairs:
            lists.setdefault(name.lower(), []).append(value.rstrip(b" \t"))
        lengths = set(lists.get(b"content-length", []))
        if len(lengths) > 1:
            raise Malformed(400, "two lengths")
        fields = {name: b", ".join(values) for name, values in lists.items()}
        for length in lengths:
            fields[b"content-length"] = length
    return raw[:start_line_end], fields


class Receiver:
    """Parser of consecutive messages from a ring buffer.

    Attributes:
        max_body_bytes: Maximum size of a body.
        max_head_bytes: Maximum size of a head, and of a trailer.
        state: Parses the next part of the message, and returns whether the part after it can be
            parsed at once; None when the message is complete. It is a plain function, as a bound
            method would form a reference cycle and delay the release of closed connections until
            garbage collection.
        search_from: Offset in the ring buffer from which to search for the end of the head.
        fields: Header fields with lower-case names.
        body: The body, or its chunks received so far.
        remaining: Number of bytes of the body or chunk not taken yet; within a trailer, its number
            of bytes so far.
        close: Whether the connection is closed after the message.
    """

    __slots__ = (
        "body",
        "close",
        "fields",
        "max_body_bytes",
        "max_head_bytes",
        "remaining",
        "search_from",
        "state",
    )
    read = staticmethod(read_head)

    def __init__(
        self, max_body_bytes: int = MAX_BODY_BYTES, max_head_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        self.max_body_bytes, self.max_head_bytes = max_body_bytes, max_head_bytes
        self.reset()

    def reset(self) -> None:
        """Prepares for the next message."""
        self.state, self.search_from = Receiver.head, 0
        self.fields: dict[bytes, bytes] = {}
        self.body, self.remaining, self.close = b"", 0, False

    @property
    def begun(self) -> bool:
        """Whether the head of the current message has been parsed."""
        return self.state != Receiver.head

    def step(self, ring: Ring) -> bool:
        """Parses the available bytes; returns whether a message is complete.

        Raises:
            Malformed: The message is invalid.
        """
        while self.state is not None and self.state(self, ring):
            pass
        return self.state is None

    def start_line(self, line: bytes) -> None:
        """Parses the first line of a message."""
        raise NotImplementedError

    def never_has_body(self) -> bool:
        """Returns whether this message can't have a body."""
        return False

    def length_missing(self) -> None:
        """Handles a message that states no body length: it has no body."""
        self.state = None

    def head(self, ring: Ring) -> bool:
        """State: awaits the end of the head, and parses it."""
        end = ring.find(b"\r\n\r\n", self.search_from)
        if end < 0 or end > self.max_head_bytes:
            if ring.used > self.max_head_bytes:
                raise Malformed(431, "head too long")
            self.search_from = max(0, ring.used - 3)
            return False
        raw, self.search_from = ring.take(end + 4)[: end + 2], 0
        if raw.startswith(b"\r\n"):  # empty lines before a message are allowed
            raw = raw.lstrip(b"\r\n")
            if not raw:
                return True
        line, self.fields = self.read(raw)
        self.start_line(line)
        self.read_framing()
        return self.state is not None

    def read_framing(self) -> None:
        """Determines the framing of the body and whether the connection closes afterwards."""
        fields = self.fields
        if b"connection" in fields:
            tokens = [part.strip() for part in fields[b"connection"].lower().split(b",")]
            self.close = b"close" in tokens or (self.close and b"keep-alive" not in tokens)
        coding, length = fields.get(b"transfer-encoding"), fields.get(b"content-length")
        if self.never_has_body():
            self.state = None
        elif coding is not None:
            if length is not None:
                raise Malformed(400, "a length and a coding")
            if coding.lower() != b"chunked":
                raise Malformed(501, "unknown coding")
            self.body, self.state = bytearray(), Receiver.chunk_size
        elif length is not None:
            if not is_decimal(length):
                raise Malformed(400, "bad length")
            self.remaining = int(length)
            if self.remaining > self.max_body_bytes:
                raise Malformed(413, "body too long")
            self.state = Receiver.sized_body if self.remaining else None
        else:
            self.length_missing()

    def sized_body(self, ring: Ring) -> bool:
        """State: awaits a body of known length."""
        if ring.used < self.remaining:
            # Grows the buffer once rather than by doubling. If that fails, the buffer becomes full,
            # and the next read ends the connection.
            ring.grow(self.remaining)
            return False
        self.body, self.state = ring.take(self.remaining), None
        return False

    def chunk_size(self, ring: Ring) -> bool:
        """State: awaits the line with the size of the next chunk."""
        line = self.take_line(ring)
        if line is None:
            return False
        size = CHUNK(line)
        if not size:
            raise Malformed(400, "bad chunk size")
        self.remaining = int(size[1], 16)
        if len(self.body) + self.remaining > self.max_body_bytes:
            raise Malformed(413, "body too long")
        self.state = Receiver.chunk if self.remaining else Receiver.trailer
        return True

    def chunk(self, ring: Ring) -> bool:
        """State: takes the bytes of a chunk as they arrive."""
        piece = ring.take(self.remaining)
        self.body += piece
        self.remaining -= len(piece)
        if self.remaining:
            return False
        self.state = Receiver.chunk_end
        return True

    def chunk_end(self, ring: Ring) -> bool:
        """State: awaits the line end after a chunk."""
        line = self.take_line(ring)
        if line is None:
            return False
        if line:
            raise Malformed(400, "chunk longer than its size")
        self.state = Receiver.chunk_size
        return True

    def trailer(self, ring: Ring) -> bool:
        """State: skips the lines of the trailer up to its empty last line."""
        line = self.take_line(ring)
        if line is None:
            return False
        self.remaining += len(line)
        if self.remaining > self.max_head_bytes:
            raise Malformed(431, "trailer too long")
        if not line:
            self.body, self.state = bytes(self.body), None
        return bool(line)

    def take_line(self, ring: Ring) -> bytes | None:
        """Removes and returns the next line without its end; None if it is incomplete."""
        end = ring.find(b"\r\n")
        if end < 0 and ring.used > MAX_LINE_BYTES:
            raise Malformed(400, "line too long")
        return None if end < 0 else ring.take(end + 2)[:end]


class RequestReceiver(Receiver):
    """Parser of requests; also sets `method` and `target`."""

    __slots__ = ("method", "target")

    def start_line(self, line: bytes) -> None:
        match = REQUEST_LINE(line)
        if not match:
            is_unsupported_version = line.startswith(
                b"HTTP/", line.rfind(b" ") + 1
            ) and not line.endswith((b"HTTP/1.0", b"HTTP/1.1"))
            raise Malformed(505 if is_unsupported_version else 400, "bad request line")
        self.method, self.target, minor = match.groups()
        # Responses to these methods are framed differently.
        if self.method in (b"HEAD", b"CONNECT", b"TRACE"):
            raise Malformed(501, "method not taken")
        self.close = minor == b"0"


class ResponseReceiver(Receiver):
    """Parser of responses; also sets `status`."""

    __slots__ = ("status",)
    # Few distinct response heads occur; 256 cached ones take 2 MiB at most.
    read = staticmethod(lru_cache(256)(read_head))

    def start_line(self, line: bytes) -> None:
        match = STATUS_LINE(line)
        if not match:
            raise Malformed(502, "bad status line")
        self.status, self.close = int(match[2]), match[1] == b"0"

    def never_has_body(self) -> bool:
        return self.status < 200 or self.status in (204, 304)

    def read_framing(self) -> None:
        super().read_framing()
        if self.status < 200:  # interim response; the final one follows
            self.state = Receiver.head

    def length_missing(self) -> None:
        # Such a response ends with the connection, so a truncated body would seem complete.
        raise Malformed(502, "response without a length")


def format_response(status: int, body: bytes = b"", extra: str = "", close: bool = False) -> bytes:
    """Formats a response; `extra` holds further header lines, each terminated by CRLF."""
    end = "Connection: close\r\n\r\n" if close else "\r\n"
    status_line = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    head = f"{status_line}Content-Length: {len(body)}\r\n{extra}{end}"
    return head.encode("latin-1") + body
