"""HTTP/1.1 messages of the stand-ins and tests on loopback, and free addresses for them.

The readers accept only well-formed messages with a Content-Length and validate nothing: both ends
belong to the tests. `loomstand/limiter/http_parser.py` is strict.
"""

from __future__ import annotations

import asyncio
import os
import re
import socket

import msgspec

WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"  # an empty line on a watch: nothing changed
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


def own_host(last_octet: int = 9) -> str:
    """A loopback address derived from the process id, whose ports no other program uses."""
    pid = os.getpid()
    return f"127.{pid >> 8 & 127}.{pid & 255}.{last_octet}"


def free_port(host: str) -> int:
    """Returns a port that is free now."""
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()[1]


def free_ports(host: str, count: int) -> list[int]:
    """Finds different free ports: all stay bound until the last one is found."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for sock in sockets:
        sock.close()
    return ports


def content_length(head: bytes) -> int:
    """The Content-Length of a message head, 0 without the field."""
    match = CONTENT_LENGTH.search(head)
    return int(match[1]) if match else 0


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Reads the head and body of a message. Raises IncompleteReadError if the peer closes early."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head, await reader.readexactly(content_length(head))


def http_response(status: int, body: bytes = b"", extra: bytes = b"") -> bytes:
    """A whole response; `extra` holds further header lines."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), extra, body)


def watch_chunk(list_: object) -> bytes:
    """A list as one JSON line of a watch, in its own chunk."""
    line = msgspec.json.encode(list_) + b"\n"
    return b"%x\r\n%b\r\n" % (len(line), line)
