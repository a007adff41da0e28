"""What an order of the operator gets, by its number and content: a pure decision, without clock,
disk or net.

The first content that was acknowledged under a number is the only one, whether it came into force
or came too late for that. So that this outlives a takeover and a restart, the digests of the newest
numbers are written together with the configuration, in the same write, and go with it wherever it
goes.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from hashlib import sha256
from typing import Any

# Numbers remembered, the newest: more than a day of hundreds of changes has, and at ten changes a
# second over a minute and a half, while an operator sends an unclear order again for seconds. They
# go with each write, as 12 bytes each. A number that was forgotten is answered as one never taken.
KEPT = 1024
DIGEST = 8  # bytes: two contents of one number that share them by chance are one in 10**19


class Answer(Enum):
    """What an order gets."""

    TAKE = "it is higher than the one held: written, then acknowledged"
    AGAIN = "it was taken: acknowledged again"
    PASSED = (
        "a higher one is held, and nothing is known of its number: "
        "acknowledged, nothing put in force"
    )
    CONFLICT = "its number stands for another content: refused, for good"


def _number(text: str) -> float | int:
    value = float(text)
    return int(value) if value.is_integer() else value


@lru_cache(maxsize=2)  # the order in hand and the one held: each of an order's writes asks for it
def digest(data: bytes) -> bytes:
    """Of the bytes: an order is sent again unchanged, and of a configuration of 3 MB this costs 2
    ms.
    """
    return sha256(data).digest()[:DIGEST]


def same(one: bytes, other: bytes) -> bool:
    """Whether two configurations say the same: the order of keys, blanks, ways to escape a
    character, and 1.0 for 1 don't matter; the order of lists does. For the one held, whose bytes
    are there: a tool that reads it and writes it anew must not be refused. What isn't JSON is
    compared by its bytes.
    """
    try:
        return one == other or _meaning(one) == _meaning(other)
    except (ValueError, RecursionError):
        return False


def _meaning(data: bytes) -> str:
    return json.dumps(json.loads(data, parse_float=_number), sort_keys=True)


@dataclass(frozen=True, slots=True)
class ChangeHistory:
    """Numbers with the digests of their contents, ascending. The last is that of the configuration
    written with them. What stands in it may lack its acknowledgement yet: its sender has no answer
    then, and gets one when it sends again.
    """

    taken: tuple[tuple[int, bytes], ...] = ()

    def known(self, version: int) -> bytes | None:
        return next(
            (content for number, content in reversed(self.taken) if number == version), None
        )

    def judge(self, held: int, data: bytes, version: int, new: bytes) -> Answer:
        """Of the order `new` under `version`, while `data` is in force under `held`."""
        if version > held:
            return Answer.TAKE
        known = self.known(version)
        if known == digest(new) or (version == held and same(data, new)):
            return Answer.AGAIN
        return Answer.PASSED if known is None and version < held else Answer.CONFLICT

    def ends(self, version: int, content: bytes) -> bool:
        return bool(self.taken) and self.taken[-1] == (version, content)

    def after(self, version: int, content: bytes) -> ChangeHistory:
        """With one that is put in force, above which nothing is held."""
        older = tuple(entry for entry in self.taken if entry[0] < version)
        return ChangeHistory((*older, (version, content))[-KEPT:])

    def passed(self, version: int, content: bytes) -> ChangeHistory:
        """With one that came too late, unless as many higher ones are known."""
        return ChangeHistory(tuple(sorted((*self.taken, (version, content))))[-KEPT:])

    def body(self) -> list[Any]:
        return [
            [number for number, _ in self.taken],
            b"".join(content for _, content in self.taken),
        ]

    @staticmethod
    def read(body: Any, version: int, data: bytes) -> ChangeHistory:
        """Those that came with a configuration, by call or from disk; nobody's where they aren't of
        that one: a program that doesn't know of them writes the configuration alone.
        """
        if not body:
            return NONE
        numbers, contents = body
        found = [
            (int(n), bytes(contents[i * DIGEST : (i + 1) * DIGEST])) for i, n in enumerate(numbers)
        ]
        orders = ChangeHistory(tuple(found[-KEPT:]))
        whole = len(contents) == DIGEST * len(numbers) and numbers == sorted(set(numbers))
        return orders if whole and orders.ends(version, digest(data)) else NONE


NONE = ChangeHistory()
