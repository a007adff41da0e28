"""What limiters say to each other, as msgspec structures in msgpack: one message a datagram."""

from __future__ import annotations

import msgspec

from loomstand.config.limiter import BackendRecord

MOST = 8192  # bytes a datagram: well under what loopback and fragmented networks carry


class Word(msgspec.Struct, array_like=True):
    """What is said of one limiter: its number, where it listens to peers, its incarnation and
    state.
    """

    id: int
    at: str
    inc: int
    state: int  # members.State


class Base(msgspec.Struct, array_like=True, tag=True):
    """Who sends, what list it holds (0 for none), news of others, and how many seconds old
    discovery's last word is with it (below 0: it has none).
    """

    id: int
    inc: int
    revision: int
    words: list[Word]
    age: float = -1.0


class Ping(Base):
    """Are you there?"""

    seq: int = 0


class Ack(Base):
    """I am. With `of` set: that one is, as I have just heard."""

    seq: int = 0
    of: int = -1


class Check(Base):
    """Ping that one for me, it does not answer me."""

    seq: int = 0
    whom: int = -1


class Want(Base):
    """Send me what you hold of the list; I hold this revision."""


class Part(Base):
    """A piece of a list as discovery told it: the nth of so many; whole lists, or what changed."""

    n: int = 0
    of: int = 1
    whole: bool = True
    since: int = 0  # the revision that changes follow; 0 for whole lists
    members: list[BackendRecord] = msgspec.field(default_factory=list)


Message = Ping | Ack | Check | Want | Part
decoder = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode


def decode(raw: bytes) -> Message:
    """The message in a datagram. Raises msgspec.DecodeError (or ValidationError) where it is none,
    and ConfigError where a member's address is none.
    """
    return decoder.decode(raw)
