"""The third copy: what is committed, written by every member that isn't primary or backup.

An acknowledgement stands for two disks. Should both be lost, one before the other was repaired, no
disk would have the newest version; it would be in the others' memory, and gone with the next loss
of power. So every other member writes what it hears to be committed to a page of its own, after the
acknowledgement. It hears it anyway: no byte goes between machines for it, and no acknowledgement
waits for it. Decisions only; `dissemination` makes the writes.

The page tells what was committed, it is no vote: elections go by the view's two disks. It counts
where both are gone: a rescue (`rescue`) finds it though all lost power, as if it had been given
back. What was committed before a restart may be old, so it isn't told to registries. Programs that
don't know the page ignore it.
"""

from __future__ import annotations

from dataclasses import dataclass

import cbor2

from loomstand.store.pages import COPY_PAGE, Pages
from loomstand.store.record import NO_CONFIGURATION, VersionedData
from loomstand.store.replica import Replica

# A larger configuration isn't copied: its write would hold up the disk that the next change may
# need. Ten thousand routes take 2.7 MB.
MAX_COPY_BYTES = 4 << 20


@dataclass(slots=True)
class Learner:
    """The copy of one member.

    Attributes:
        copy: What the page has on disk for sure.
    """

    copy: VersionedData = NO_CONFIGURATION

    @staticmethod
    def from_pages(pages: Pages) -> Learner:
        """From the pages found at the start; a page that can't be read is none."""
        try:
            version, data = cbor2.loads(pages[COPY_PAGE])
            return Learner(VersionedData(int(version), bytes(data)))
        except (KeyError, ValueError, TypeError, EOFError, cbor2.CBORDecodeError):
            return Learner()

    def next_copy(self, replica: Replica) -> VersionedData | None:
        """What to write now: the newest committed, unless it is on this disk already."""
        committed = VersionedData(replica.version, replica.data)
        # after a restart others may tell it of older ones first
        if replica.version <= self.copy.version or committed == replica.record.configuration:
            return None
        if len(replica.data) > MAX_COPY_BYTES:
            return None
        view = replica.newest_known_view()
        if view is not None and view.has_data(replica.member.id):
            return None  # its disk is for the next change, which may be on its way
        return committed

    @staticmethod
    def pages(copy: VersionedData) -> Pages:
        """The pages to write for a copy."""
        return {COPY_PAGE: cbor2.dumps([*copy])}
