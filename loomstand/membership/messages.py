"""The messages between limiters: msgspec structures in msgpack, one message per datagram."""

from __future__ import annotations

import msgspec

from loomstand.config.limiter import BackendRecord

# Well below the maximum size of a UDP datagram of 64 KB; larger than an Ethernet frame, so networks
# may fragment it.
MAX_DATAGRAM_BYTES = 8192


class MemberUpdate(msgspec.Struct, array_like=True):
    """The state of one limiter as known to the sender.

    Attributes:
        id: The limiter's number.
        address: Its address for datagrams of peers, as HOST:PORT; empty if not announced.
        incarnation: Its incarnation in Unix ms.
        state: Value of its `loomstand.membership.members.MemberState`.
    """

    id: int
    address: str
    incarnation: int
    state: int


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base class of the messages, with their common fields.

    Attributes:
        id: Number of the sending limiter.
        incarnation: The sender's incarnation in Unix ms.
        revision: Revision of the sender's endpoint list; 0 for none.
        updates: States of limiters, including the sender.
        age: Seconds since discovery last confirmed the sender's list; below 0 if it never did.
    """

    id: int
    incarnation: int
    revision: int
    updates: list[MemberUpdate]
    age: float = -1.0


class Ping(Message):
    """Asks whether the recipient is alive.

    Attributes:
        seq: Sequence number, which the answer repeats.
    """

    seq: int = 0


class Ack(Message):
    """Answers a ping.

    Attributes:
        seq: Sequence number of the ping or `Check` that is answered.
        target: Limiter whose answer is relayed in response to a `Check`; -1 if the sender itself
            was pinged.
    """

    seq: int = 0
    target: int = -1


class Check(Message):
    """Asks the recipient to ping another limiter, which did not answer the sender.

    Attributes:
        seq: Sequence number of the unanswered ping.
        target: Number of the limiter to ping.
    """

    seq: int = 0
    target: int = -1


class Want(Message):
    """Asks for the recipient's endpoint list; `revision` is the sender's."""


class Part(Message):
    """A part of an endpoint list or of a change, as discovery sent it.

    Attributes:
        number: Number of the part, from 0.
        count: Number of parts in total.
        is_whole: Whether the parts make up a complete list; otherwise they are a change.
        base_revision: The revision that a change applies to; not used for a complete list.
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
        msgspec.DecodeError: The datagram is not a valid message, or a server's address in it is
            invalid (`msgspec.ValidationError`).
    """
    return decoder.decode(raw)
