"""The messages between limiters: msgspec structures in msgpack, one message per datagram."""

from __future__ import annotations

import msgspec

from loomstand.config.limiter import BackendRecord

# bytes: well under what loopback and networks that fragment can carry
MAX_DATAGRAM_BYTES = 8192


class MemberUpdate(msgspec.Struct, array_like=True):
    """The state of one limiter as known to the sender.

    Attributes:
        id: The limiter's number.
        address: Where it receives datagrams of peers.
        incarnation: Its incarnation in Unix ms.
        state: Number of its `loomstand.membership.members.MemberState`.
    """

    id: int
    address: str
    incarnation: int
    state: int


class Message(msgspec.Struct, array_like=True, tag=True):
    """The fields that all messages have.

    Attributes:
        id: The sender's number.
        incarnation: The sender's incarnation in Unix ms.
        revision: Revision of the sender's endpoint list; 0 for none.
        updates: States of other limiters.
        age: Seconds since discovery last confirmed the sender's list; below 0 if it never did.
    """

    id: int
    incarnation: int
    revision: int
    updates: list[MemberUpdate]
    age: float = -1.0


class Ping(Message):
    """Asks whether the recipient is alive."""

    seq: int = 0


class Ack(Message):
    """Answers a ping; with `target` set, relays the answer of that limiter."""

    seq: int = 0
    target: int = -1


class Check(Message):
    """Asks the recipient to ping limiter `target`, which did not answer the sender."""

    seq: int = 0
    target: int = -1


class Want(Message):
    """Asks for the recipient's endpoint list; `revision` is the sender's."""


class Part(Message):
    """A part of an endpoint list as discovery sent it.

    Attributes:
        number: Number of the part, from 0.
        count: Number of parts.
        is_whole: Whether the parts make a whole list; else they are changes.
        base_revision: The revision that changes apply to; 0 for a whole list.
        servers: The servers of the part.
    """

    number: int = 0
    count: int = 1
    is_whole: bool = True
    base_revision: int = 0
    servers: list[BackendRecord] = msgspec.field(default_factory=list)


AnyMessage = Ping | Ack | Check | Want | Part
decoder = msgspec.msgpack.Decoder(AnyMessage)
encode = msgspec.msgpack.Encoder().encode


def decode(raw: bytes) -> AnyMessage:
    """Decodes a datagram.

    Raises:
        msgspec.DecodeError: It is not a valid message (includes msgspec.ValidationError).
        ConfigError: A server's address is not valid.
    """
    return decoder.decode(raw)
