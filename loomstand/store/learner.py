"""Learners: members other than primary and backup that keep a copy of the committed configuration.

An acknowledged change is on two disks. If both were lost before either could be replaced, no disk
would have the newest version: the other members would have it in memory only, and lose it with the
next power failure. So every other member writes the committed configuration to a page of its own,
after the acknowledgement. It receives the configuration in any case (`dissemination`): the copy
adds no traffic between machines, and no acknowledgement waits for it. This module decides what to
write; `dissemination` writes it.

Elections don't use the copy: they read the configuration from the view's primary or backup. The
copy is for the loss of both disks: a rescue (`rescue`) finds it even after a power failure of all
machines. As the copy may be outdated after a restart, it isn't reported to registries. Earlier
releases ignore the page.
"""

from __future__ import annotations

from dataclasses import dataclass

import cbor2

from loomstand.store.pages import COPY_PAGE, Pages
from loomstand.store.record import NO_CONFIGURATION, VersionedData
from loomstand.store.replica import Replica

# A larger configuration isn't copied: its write would delay the next change, which may need this
# disk. A configuration with ten thousand routes takes 2.7 MB.
MAX_COPY_BYTES = 4 << 20


@dataclass(slots=True)
class Learner:
    """The learner's copy on one member's disk.

    Attributes:
        copy: The copy whose write to disk has completed.
    """

    copy: VersionedData = NO_CONFIGURATION

    @staticmethod
    def from_pages(pages: Pages) -> Learner:
        """The learner with the copy found on disk, without one if the page can't be decoded."""
        try:
            version, data = cbor2.loads(pages[COPY_PAGE])
            return Learner(VersionedData(int(version), bytes(data)))
        except (KeyError, ValueError, TypeError, EOFError, cbor2.CBORDecodeError):
            return Learner()

    def next_copy(self, replica: Replica) -> VersionedData | None:
        """The committed configuration to copy now, None if there is nothing to write."""
        committed = VersionedData(replica.version, replica.data)
        # after a restart the first versions received may be older than the copy
        if replica.version <= self.copy.version or committed == replica.record.configuration:
            return None
        if len(replica.data) > MAX_COPY_BYTES:
            return None
        view = replica.newest_known_view()
        if view is not None and view.has_data(replica.member.id):
            return None  # the primary and the backup keep their disks free for the next change
        return committed

    @staticmethod
    def pages(copy: VersionedData) -> Pages:
        """The pages to write for a copy."""
        return {COPY_PAGE: cbor2.dumps([*copy])}
