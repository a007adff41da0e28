"""The verdict on a configuration change, decided by its version and content.

Only one content is acknowledged under a version: the first one, whether it was committed or
superseded by a higher version. To keep this rule over takeovers and restarts, the digests of the
newest versions are written and replicated together with the configuration, in the same write.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from hashlib import sha256

from loomstand.rpc.messages.rows import ChangeHistoryRow

# Number of versions that are kept, the newest ones. They cover more than a day at hundreds of
# changes per day, and over 90 s at ten changes per second; an operator repeats a change with an
# unknown outcome only for seconds. Each entry adds 12 bytes to each write. A dropped version is
# treated as one that was never acknowledged.
MAX_ENTRIES = 1024

# Two contents have the same 8 bytes of digest by chance with a probability of 1 in 10**19.
DIGEST_BYTES = 8


class Verdict(Enum):
    """How the primary responds to a change."""

    ACCEPT = "its version is higher than the committed one: written, then acknowledged"
    REPEATED = "it was accepted before: acknowledged again"
    SUPERSEDED = (
        "a higher version is committed, and its own isn't in the history: acknowledged, but not "
        "committed"
    )
    CONFLICT = "its version has another content: refused permanently"


@lru_cache(maxsize=2)  # each write needs the digests of the new and the committed configuration
def digest(data: bytes) -> bytes:
    """The digest of a configuration's bytes.

    The bytes aren't normalized first: a repeated change has the same bytes, and the digest of 3 MB
    takes 2 ms.
    """
    return sha256(data).digest()[:DIGEST_BYTES]


def is_same_configuration(first: bytes, second: bytes) -> bool:
    """Whether two configurations are equal as JSON values.

    The order of keys, whitespace, the escaping of characters, and 1.0 for 1 don't matter; the order
    of lists does. Used for the committed configuration, whose bytes are known: a tool that reads it
    and sends it back re-encoded must not be refused. Data that isn't JSON is compared by its bytes.
    """
    try:
        return first == second or _canonical_json(first) == _canonical_json(second)
    except (ValueError, RecursionError):
        return False


def _canonical_json(data: bytes) -> str:
    return json.dumps(json.loads(data, parse_float=_parse_number), sort_keys=True)


def _parse_number(text: str) -> float | int:
    value = float(text)
    return int(value) if value.is_integer() else value


@dataclass(frozen=True, slots=True)
class ChangeHistory:
    """Versions with the digests of their contents, in ascending order.

    The last entry is the configuration that the history is written with. Its change is possibly not
    acknowledged yet; the sender then gets the acknowledgement by repeating the change.

    Attributes:
        entries: Pairs of a version and the digest of its content.
    """

    entries: tuple[tuple[int, bytes], ...] = ()

    def content_digest(self, version: int) -> bytes | None:
        """The digest of the content of a version, None if the version isn't in the history."""
        for entry_version, content_digest in reversed(self.entries):
            if entry_version == version:
                return content_digest
        return None

    def judge(
        self, committed_version: int, committed_data: bytes, version: int, data: bytes
    ) -> Verdict:
        """The verdict on the change to `data` under `version`."""
        if version > committed_version:
            return Verdict.ACCEPT
        content_digest = self.content_digest(version)
        if content_digest == digest(data):
            return Verdict.REPEATED
        if version == committed_version and is_same_configuration(committed_data, data):
            return Verdict.REPEATED
        if content_digest is None and version < committed_version:
            return Verdict.SUPERSEDED
        return Verdict.CONFLICT

    def ends_with(self, version: int, content_digest: bytes) -> bool:
        """Whether the last entry is that version with that digest."""
        return bool(self.entries) and self.entries[-1] == (version, content_digest)

    def appended(self, version: int, content_digest: bytes) -> ChangeHistory:
        """The history with a committed version appended, which is higher than all others."""
        older = tuple(entry for entry in self.entries if entry[0] < version)
        return ChangeHistory((*older, (version, content_digest))[-MAX_ENTRIES:])

    def with_superseded(self, version: int, content_digest: bytes) -> ChangeHistory:
        """The history with a superseded version added, unless it is full of higher versions."""
        return ChangeHistory(
            tuple(sorted((*self.entries, (version, content_digest))))[-MAX_ENTRIES:]
        )

    def to_row(self) -> ChangeHistoryRow:
        """The history as encoded in messages and on disk."""
        versions = [version for version, _ in self.entries]
        return ChangeHistoryRow(
            versions, b"".join(content_digest for _, content_digest in self.entries)
        )

    @staticmethod
    def from_row(row: ChangeHistoryRow | None, version: int, data: bytes) -> ChangeHistory:
        """The history that came with a configuration, in a message or on disk.

        Empty if it doesn't match the configuration: an earlier release, without histories, writes
        the configuration alone.
        """
        if row is None:
            return EMPTY_HISTORY
        entries = [
            (int(entry_version), bytes(row.digests[i * DIGEST_BYTES : (i + 1) * DIGEST_BYTES]))
            for i, entry_version in enumerate(row.versions)
        ]
        history = ChangeHistory(tuple(entries[-MAX_ENTRIES:]))
        is_complete = len(row.digests) == DIGEST_BYTES * len(row.versions)
        is_ascending = row.versions == sorted(set(row.versions))
        if is_complete and is_ascending and history.ends_with(version, digest(data)):
            return history
        return EMPTY_HISTORY


EMPTY_HISTORY = ChangeHistory()
