"""HTTP/1.1 messages of the stand-ins and tests on loopback, and free addresses for them.

The readers accept only well-formed messages with a Content-Length and validate nothing: both ends
belong to the tests. `loomstand/limiter/http_parser.py` is strict.
"""

from __future__ import annotations

import asyncio
import errno
import os
import re
import socket
from collections.abc import Iterator
from functools import cache
from itertools import cycle, islice
from pathlib import Path

import msgspec

WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"  # an empty line on a watch: nothing changed
LOCAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_STATIC_PORT = 10_000  # the ports below are used by services
LAST_PORT = 65_535
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


def own_host(last_octet: int = 9) -> str:
    """A loopback address derived from the process id, whose ports no other program uses."""
    pid = os.getpid()
    return f"127.{pid >> 8 & 127}.{pid & 255}.{last_octet}"


def free_port(host: str) -> int:
    """Returns a port that is free now. See `free_ports`."""
    return free_ports(host, 1)[0]


def free_ports(host: str, count: int) -> list[int]:
    """Returns different ports that are free now, none of them returned before if enough are left.

    The system assigns none of them to a socket that is bound to port 0, so that they stay free
    until their listeners are started.

    Raises:
        OSError: Fewer than `count` ports are free.
    """
    candidates = islice(_port_cycle(), len(_static_ports()))
    ports = list(islice((port for port in candidates if _is_free(host, port)), count))
    if len(ports) < count:
        raise OSError(errno.EADDRINUSE, f"only {len(ports)} of {count} ports are free on {host}")
    return ports


def _is_free(host: str, port: int) -> bool:
    try:
        socket.create_server((host, port)).close()
    except OSError:
        return False
    return True


@cache
def _port_cycle() -> Iterator[int]:
    """All static ports again and again, from one that differs between neighbouring processes."""
    ports = _static_ports()
    start = os.getpid() % len(ports)
    return cycle([*ports[start:], *ports[:start]])


@cache
def _static_ports() -> range:
    """The ports below or above the range from which the system assigns them, whichever are more."""
    first_assigned, last_assigned = map(int, LOCAL_PORT_RANGE.read_text().split())
    below = range(FIRST_STATIC_PORT, first_assigned)
    above = range(last_assigned + 1, LAST_PORT + 1)
    return max(below, above, key=len)


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
