"""The messages between limiters: msgspec structures in msgpack, one message per datagram."""

from __future__ import annotations

import msgspec

from loomstand.config.limiter import BackendRecord

# bytes: well under what loopback and networks that fragment can carry
MOST = 8192


class Word(msgspec.Struct, array_like=True):
    """The state of one limiter as known to the sender.

    Attributes:
        id: The limiter's number.
        at: Where it receives datagrams of peers.
        inc: Its incarnation in Unix ms.
        state: Number of its `loomstand.membership.members.MemberState`.
    """

    id: int
    at: str
    inc: int
    state: int


class Message(msgspec.Struct, array_like=True, tag=True):
    """The fields that all messages have.

    Attributes:
        id: The sender's number.
        inc: The sender's incarnation in Unix ms.
        revision: Revision of the sender's endpoint list; 0 for none.
        updates: States of other limiters.
        age: Seconds since discovery last confirmed the sender's list; below 0 if it never did.
    """

    id: int
    inc: int
    revision: int
    updates: list[Word]
    age: float = -1.0


class Ping(Message):
    """Asks whether the recipient is alive."""

    seq: int = 0


class Ack(Message):
    """Answers a ping; with `of` set, relays the answer of that limiter."""

    seq: int = 0
    of: int = -1


class Check(Message):
    """Asks the recipient to ping limiter `whom`, which did not answer the sender."""

    seq: int = 0
    whom: int = -1


class Want(Message):
    """Asks for the recipient's endpoint list; `revision` is the sender's."""


class Part(Message):
    """A part of an endpoint list as discovery sent it.

    Attributes:
        n: Number of the part, from 0.
        of: Number of parts.
        whole: Whether the parts make a whole list; else they are changes.
        since: The revision that changes apply to; 0 for a whole list.
        members: The servers of the part.
    """

    n: int = 0
    of: int = 1
    whole: bool = True
    since: int = 0
    members: list[BackendRecord] = msgspec.field(default_factory=list)


AnyMessage = Ping | Ack | Check | Want | Part
decoder = msgspec.msgpack.Decoder(AnyMessage)
encode = msgspec.msgpack.Encoder().encode


def decode(raw: bytes) -> AnyMessage:
    """Decode a datagram.

    Raises:
        msgspec.DecodeError: It is not a valid message (includes msgspec.ValidationError).
        ConfigError: A server's address is not valid.
    """
    return decoder.decode(raw)
