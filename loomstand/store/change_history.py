"""What a configuration change gets, by its version and content: a pure decision.

The first content that was acknowledged under a version is the only one, whether it was committed or
came too late for that. So that this outlives a takeover and a restart, the digests of the newest
versions are written together with the configuration, in the same write, and go with it wherever it
goes.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from hashlib import sha256

from loomstand.rpc.messages.rows import ChangeHistoryRow

# Versions remembered, the newest. More than a day of hundreds of changes has, and at ten changes a
# second over a minute and a half, while an operator repeats an unclear change for seconds. They go
# with each write, as 12 bytes each. A version that was forgotten is answered as one never taken.
MAX_ENTRIES = 1024

# Two contents of one version that share so many bytes by chance are one in 10**19.
DIGEST_BYTES = 8


class Verdict(Enum):
    """What a change gets."""

    ACCEPT = "its version is higher than the committed one: written, then acknowledged"
    REPEATED = "it was accepted before: acknowledged again"
    SUPERSEDED = (
        "a higher version is committed, and nothing is known of its version: acknowledged, and not "
        "committed"
    )
    CONFLICT = "its version stands for another content: refused for good"


@lru_cache(maxsize=2)  # the change in hand and the one committed: each write asks for both
def digest(data: bytes) -> bytes:
    """The digest of a configuration's bytes.

    Of the bytes and not of what they mean: a change is repeated unchanged, and the digest of 3 MB
    costs 2 ms.
    """
    return sha256(data).digest()[:DIGEST_BYTES]


def is_same_configuration(one: bytes, other: bytes) -> bool:
    """Whether two configurations say the same.

    The order of keys, blanks, ways to escape a character, and 1.0 for 1 don't matter; the order of
    lists does. For the committed one, whose bytes are there: a tool that reads it and writes it
    anew must not be refused. What isn't JSON is compared by its bytes.
    """
    try:
        return one == other or _canonical_json(one) == _canonical_json(other)
    except (ValueError, RecursionError):
        return False


def _canonical_json(data: bytes) -> str:
    return json.dumps(json.loads(data, parse_float=_parse_number), sort_keys=True)


def _parse_number(text: str) -> float | int:
    value = float(text)
    return int(value) if value.is_integer() else value


@dataclass(frozen=True, slots=True)
class ChangeHistory:
    """Versions with the digests of their contents, ascending.

    The last is that of the configuration written with them. What stands in it may lack its
    acknowledgement yet: its sender has no answer then, and gets one when it repeats the change.

    Attributes:
        entries: The versions with the digests.
    """

    entries: tuple[tuple[int, bytes], ...] = ()

    def content(self, version: int) -> bytes | None:
        """The digest of the content that a version stands for, None if that isn't known."""
        for known_version, content in reversed(self.entries):
            if known_version == version:
                return content
        return None

    def judge(
        self, committed_version: int, committed_data: bytes, version: int, data: bytes
    ) -> Verdict:
        """What the change to `data` under `version` gets."""
        if version > committed_version:
            return Verdict.ACCEPT
        content = self.content(version)
        if content == digest(data):
            return Verdict.REPEATED
        if version == committed_version and is_same_configuration(committed_data, data):
            return Verdict.REPEATED
        if content is None and version < committed_version:
            return Verdict.SUPERSEDED
        return Verdict.CONFLICT

    def ends_with(self, version: int, content: bytes) -> bool:
        """Whether it is the history of that configuration."""
        return bool(self.entries) and self.entries[-1] == (version, content)

    def appended(self, version: int, content: bytes) -> ChangeHistory:
        """With a version that is committed, above which nothing is."""
        older = tuple(entry for entry in self.entries if entry[0] < version)
        return ChangeHistory((*older, (version, content))[-MAX_ENTRIES:])

    def with_superseded(self, version: int, content: bytes) -> ChangeHistory:
        """With a version that came too late, unless as many higher ones are known."""
        return ChangeHistory(tuple(sorted((*self.entries, (version, content))))[-MAX_ENTRIES:])

    def to_row(self) -> ChangeHistoryRow:
        """The history as it stands in messages and on disk."""
        versions = [version for version, _ in self.entries]
        return ChangeHistoryRow(versions, b"".join(content for _, content in self.entries))

    @staticmethod
    def from_row(row: ChangeHistoryRow | None, version: int, data: bytes) -> ChangeHistory:
        """The history that came with a configuration, by call or from disk.

        It is empty where it isn't that configuration's: a program that doesn't know of histories
        writes the configuration alone.
        """
        if row is None:
            return EMPTY_HISTORY
        entries = [
            (int(number), bytes(row.digests[i * DIGEST_BYTES : (i + 1) * DIGEST_BYTES]))
            for i, number in enumerate(row.versions)
        ]
        history = ChangeHistory(tuple(entries[-MAX_ENTRIES:]))
        is_complete = len(row.digests) == DIGEST_BYTES * len(row.versions)
        is_ascending = row.versions == sorted(set(row.versions))
        if is_complete and is_ascending and history.ends_with(version, digest(data)):
            return history
        return EMPTY_HISTORY


EMPTY_HISTORY = ChangeHistory()
