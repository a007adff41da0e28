"""The record that a member keeps on disk, and its encoding as pages, which `disk` stores."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import cbor2

from loomstand.rpc.messages.rows import ChangeHistoryRow
from loomstand.store.change_history import EMPTY_HISTORY, ChangeHistory
from loomstand.store.pages import (
    CONFIGURATION_PAGE,
    HISTORY_PAGE,
    MEMBER_PAGE,
    VOTE_PAGE,
    Pages,
)
from loomstand.store.views import View


class VersionedData(NamedTuple):
    """A configuration with its version; version 0 and no data if there never was one."""

    version: int
    data: bytes


NO_CONFIGURATION = VersionedData(0, b"")


@dataclass(frozen=True, slots=True)
class Record:
    """The persistent state of a member.

    Attributes:
        id: The member's id.
        is_founder: Whether the id was drawn at the first start of the whole system.
        promised_epoch: The highest epoch that it promised.
        view: The view that it installed last.
        version: Version of the configuration that it wrote, committed or not.
        data: That configuration.
        written_epoch: The epoch under which the configuration was written.
        history: The acknowledged changes, with this configuration as the last; empty if unknown.
    """

    id: str
    is_founder: bool
    promised_epoch: int = 0
    view: View | None = None
    version: int = 0
    data: bytes = field(default=b"", repr=False)
    written_epoch: int = 0
    history: ChangeHistory = EMPTY_HISTORY

    @property
    def configuration(self) -> VersionedData:
        """The configuration that it wrote, committed or not."""
        return VersionedData(self.version, self.data)

    def pages(self, previous: Record | None = None) -> Pages:
        """The pages that differ from `previous`: a promise doesn't rewrite the configuration."""
        pages: Pages = {}
        if previous is None or (previous.id, previous.is_founder) != (self.id, self.is_founder):
            pages[MEMBER_PAGE] = cbor2.dumps([self.id, self.is_founder])
        if previous is None or _vote_fields(previous) != _vote_fields(self):
            view = self.view.to_page() if self.view else None
            pages[VOTE_PAGE] = cbor2.dumps([self.promised_epoch, view])
        if previous is None or _configuration_fields(previous) != _configuration_fields(self):
            pages[CONFIGURATION_PAGE] = cbor2.dumps([self.written_epoch, self.version, self.data])
        if self.history != (previous.history if previous is not None else EMPTY_HISTORY):
            row = self.history.to_row()
            pages[HISTORY_PAGE] = cbor2.dumps([row.versions, row.digests])
        return pages

    @staticmethod
    def from_pages(pages: Pages) -> Record | None:
        """The record in a disk's pages, None if the disk is empty or the pages can't be decoded."""
        if MEMBER_PAGE not in pages:
            return None
        try:
            member_id, is_founder = cbor2.loads(pages[MEMBER_PAGE])
            promised_epoch, view_page = cbor2.loads(pages[VOTE_PAGE])
            written_epoch, version, data = cbor2.loads(pages[CONFIGURATION_PAGE])
            view = View.from_page(view_page)
            history = _read_history(pages, version, data)
        except (KeyError, ValueError, TypeError, EOFError, cbor2.CBORDecodeError):
            return None
        return Record(
            member_id, is_founder, promised_epoch, view, version, data, written_epoch, history
        )


def _vote_fields(record: Record) -> tuple[int, View | None]:
    return record.promised_epoch, record.view


def _configuration_fields(record: Record) -> tuple[int, int, bytes]:
    return record.written_epoch, record.version, record.data


def _read_history(pages: Pages, version: int, data: bytes) -> ChangeHistory:
    page = cbor2.loads(pages[HISTORY_PAGE]) if HISTORY_PAGE in pages else None
    if not page:
        return EMPTY_HISTORY
    versions, digests = page
    return ChangeHistory.from_row(ChangeHistoryRow(versions, digests), version, data)
