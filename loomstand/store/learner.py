"""The third copy: what is in force, synced at every member that isn't primary or backup, after the
answer.

An acknowledgement stands for two disks. Should both be lost, one before the other was repaired, no
disk had the newest version; it was in the others' memory, and gone with the next loss of power. So
every other member writes what it hears to be in force to a page of its own. It hears it anyway: no
byte goes between machines for it, and no acknowledgement waits for it. Decisions only; the store
makes the writes.

The page tells what was in force, it is no vote: elections go by the view's two disks, as before. It
counts where both are gone: a rescue (rescue.py) finds it though all lost power, as if it had been
given back. What was in force in an earlier life may be old, so it isn't told to registries.
Programs that don't know the page pass over it.
"""

from __future__ import annotations

from dataclasses import dataclass

import cbor2

from loomstand.store.ballot import Held
from loomstand.store.replica import Replica

PAGE = "copy"
# bytes of a larger one, which isn't copied: its write would hold up the disk that the next change
# may need. Ten thousand routes take 2.7 MB.
MOST = 4 << 20


@dataclass(slots=True)
class Learner:
    """`copy`: what the page has on disk for sure; version 0 if there is none."""

    copy: Held = (0, b"")

    @staticmethod
    def wake(pages: dict[str, bytes]) -> Learner:
        """From the pages found at the start; a page that can't be read is none."""
        try:
            version, data = cbor2.loads(pages[PAGE])
            return Learner((int(version), bytes(data)))
        except (KeyError, ValueError, TypeError, EOFError, cbor2.CBORDecodeError):
            return Learner()

    def due(self, replica: Replica) -> Held | None:
        """What to write now: the newest known to be in force, unless it's on this disk already."""
        held, record, view = (replica.version, replica.data), replica.record, replica.base()
        if replica.version <= self.copy[0] or held == (record.version, record.data):
            return None  # after a start others may tell it of older ones first
        if len(replica.data) > MOST:
            return None
        if view is not None and view.holds(replica.me.id):
            return None  # its disk is for the next change, which may be on its way
        return held

    @staticmethod
    def page(held: Held) -> dict[str, bytes]:
        """What to write for it."""
        return {PAGE: cbor2.dumps([*held])}
