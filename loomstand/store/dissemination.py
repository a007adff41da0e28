"""Dissemination of the committed configuration: pushed by the primary, pulled by other stores.

Every store keeps it in memory; stores that are neither primary nor backup also write it to disk
(`learner`).
"""

from __future__ import annotations

from collections.abc import Callable

from expression import Result

from loomstand.rpc import Address, client
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Acknowledgement
from loomstand.rpc.messages.replication_messages import (
    CommitRequest,
    CommittedRequest,
    CommittedResponse,
)
from loomstand.rpc.network import transfer_seconds
from loomstand.store.learner import Learner
from loomstand.store.replica_io import CALL_SECONDS, ReplicaIO
from loomstand.store.timing import REPLACE_VOTER_AFTER_SECONDS

# The longest timeout for pulling a configuration: enough for 8 MB on a busy link.
MAX_PULL_SECONDS = 2.0


class Dissemination:
    """Sends and receives the committed configuration of one store.

    Attributes:
        learner: The learner, which decides on the copy on this store's disk.
    """

    def __init__(self, io: ReplicaIO, learner: Learner, on_new_version: Callable[[], None]) -> None:
        """Creates the component; `on_new_version` is called for each newly learned version."""
        self._io = io
        self.learner = learner
        self._on_new_version = on_new_version
        self._is_pulling = False
        self._pull_timeout_seconds = CALL_SECONDS

    def push(self) -> None:
        """Sends the committed configuration to all stores, concurrently.

        Stores without a response for `REPLACE_VOTER_AFTER_SECONDS` are left out.
        """
        self._on_new_version()
        replica = self._io.replica
        now = self._io.clock()
        request = CommitRequest(version=replica.version, data=replica.data)
        timeout_seconds = CALL_SECONDS + transfer_seconds(len(replica.data))
        for address, peer in replica.peers.by_address.items():
            if now - peer.answered_at < REPLACE_VOTER_AFTER_SECONDS:
                self._io.spawn(
                    client.call(
                        self._io.network, address, request, Acknowledgement, timeout_seconds
                    )
                )

    async def pull(self, address: Address) -> None:
        """Fetches the committed configuration from a store with a newer one, one call at a time."""
        if self._is_pulling:
            return
        self._is_pulling = True
        try:
            result = await client.call(
                self._io.network,
                address,
                CommittedRequest(),
                CommittedResponse,
                self._pull_timeout_seconds,
            )
            match result:
                case Result(tag="ok", ok=response):
                    self._learn(response.version, response.data)
                    self._pull_timeout_seconds = CALL_SECONDS
                case _:
                    # the configuration may be too large for the timeout: the next one is doubled
                    self._pull_timeout_seconds = min(
                        MAX_PULL_SECONDS, 2 * self._pull_timeout_seconds
                    )
        finally:
            self._is_pulling = False

    def _learn(self, version: int, data: bytes) -> None:
        if self._io.replica.commit(version, data):
            self._on_new_version()
            self.copy_if_due()

    def copy_if_due(self) -> None:
        """Writes the committed configuration to this disk in the background, if due (`learner`)."""
        if self.learner.next_copy(self._io.replica) and not self._io.write_lock.locked():
            self._io.spawn(self._copy())

    async def _copy(self) -> None:
        copy = self.learner.next_copy(self._io.replica)
        if copy is not None:
            await self._io.persist_pages(self.learner.pages(copy))
            self.learner.copy = copy

    # --- requests of other stores

    async def handle_commit(self, request: CommitRequest) -> Acknowledgement:
        """Learns the committed configuration that the primary pushes."""
        self._learn(request.version, request.data)
        return Acknowledgement()

    async def handle_committed(self, _request: CommittedRequest) -> CommittedResponse:
        """Returns the committed configuration to another store.

        Raises:
            CallRefusedError: This store has received no committed configuration since its start.
        """
        replica = self._io.replica
        if not replica.has_committed_version:
            raise CallRefusedError("nothing known to be in force")
        return CommittedResponse(version=replica.version, data=replica.data)
