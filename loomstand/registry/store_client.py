"""The client of the store on this machine, for its status and the committed configuration.

The registry long-polls the store for changes, forwards operators' changes to it, and offers its own
configuration to a store that has lost that version. Limiters fetch the configuration from the
registry.
"""

from __future__ import annotations

import asyncio

from absl import logging
from expression import Error, Ok, Result

from loomstand.config.configuration import ConfigurationError
from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.counting_service import CountingService
from loomstand.rpc.client import ResponseT, call
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import Acknowledgement, Request
from loomstand.rpc.messages.configuration_messages import (
    OfferRequest,
    PutResponse,
    ReadResponse,
    StatusRequest,
    StatusResponse,
    WaitRequest,
    WaitResponse,
)
from loomstand.rpc.messages.session_messages import ConfigurationRequest, ConfigurationResponse
from loomstand.rpc.network import transfer_seconds
from loomstand.store import freshness

# Timeout of a status request to the store.
STATUS_TIMEOUT_SECONDS = 0.4
# Time after which the store answers a long poll without a change.
WAIT_SECONDS = 0.8
# Validity of the store's report, its response to a long poll: the length of the store's lease.
REPORT_LIFETIME_SECONDS = 1.2
# Timeout of a configuration change; operators wait 1 s for the response.
CHANGE_TIMEOUT_SECONDS = 0.95
# Delay between two long polls of a store that doesn't answer.
RETRY_SECONDS = 0.1
# Minimum time before the deadline for an attempt at another store.
MIN_ATTEMPT_SECONDS = 0.05
# Size from which a configuration is parsed for its quotas only after a delay, in which limiters
# fetch it: parsing thousands of routes takes the registry longer than sending them.
LARGE_CONFIGURATION_BYTES = 500_000
LARGE_CONFIGURATION_DELAY_SECONDS = 0.2


class StoreClient:
    """Calls the stores, for the registry itself and on behalf of its callers."""

    def __init__(
        self, context: RegistryContext, state: RegistryState, counting: CountingService
    ) -> None:
        self._context = context
        self._notifier = context.notifier
        self._configuration = state.configuration
        self._counting = counting
        self._is_offering = False
        self._quota_timer: asyncio.TimerHandle | None = None

    # calls of limiters

    async def handle_configuration(self, request: ConfigurationRequest) -> ConfigurationResponse:
        """Returns the configuration, compressed if it is large and the limiter accepts that."""
        configuration = self._configuration
        if not request.accepts_compressed or not configuration.is_compressible():
            return ConfigurationResponse(version=configuration.version, data=configuration.data)
        return ConfigurationResponse(
            version=configuration.version, compressed_data=configuration.compressed()
        )

    async def handle_offer(self, request: OfferRequest) -> Acknowledgement:
        """Forwards a limiter's newer configuration to the store, which may have lost it."""
        if request.version > self._configuration.version:
            offer = OfferRequest(version=request.version, data=request.data)
            timeout_seconds = CHANGE_TIMEOUT_SECONDS + transfer_seconds(len(request.data))
            await self.forward(offer, PutResponse, timeout_seconds)
        return Acknowledgement()

    # calls to the stores

    async def forward(
        self, request: Request, response_type: type[ResponseT], timeout_seconds: float
    ) -> Result[ResponseT, CallFailure]:
        """Sends a request for the primary to the store on this machine.

        That store forwards the request to the primary. If this fails and the request can't have
        run, the other stores are tried until the timeout.

        Returns:
            The response, or whether the request may have run.
        """
        sent_at = self._context.clock()
        deadline = sent_at + timeout_seconds
        body = request.to_wire()
        network = self._context.network
        local_store = self._context.local_store
        result = await network.call(local_store, request.operation, body, timeout_seconds)
        for store in self._context.stores():
            remaining_seconds = deadline - self._context.clock()
            if result.is_ok() or result.error is not CallFailure.NEVER_RAN:
                break
            if remaining_seconds < MIN_ATTEMPT_SECONDS:
                break
            if store != local_store:
                result = await network.call(store, request.operation, body, remaining_seconds)
        if result.is_error():
            return Error(result.error)
        response = response_type.from_wire(result.ok)
        lease_seconds = response.lease_seconds if isinstance(response, ReadResponse) else None
        now = self._context.clock()
        if not freshness.remaining_seconds(lease_seconds, sent_at, now, timeout_seconds):
            # this process was suspended, or the response was delayed in a socket buffer
            return Error(CallFailure.MAY_HAVE_RUN)
        return Ok(response)

    async def status(self) -> StatusResponse | None:
        """Returns the status of the store on this machine, None if it doesn't answer."""
        result = await call(
            self._context.network,
            self._context.local_store,
            StatusRequest(),
            StatusResponse,
            STATUS_TIMEOUT_SECONDS,
        )
        return result.ok if result.is_ok() else None

    async def run(self) -> None:
        """Long-polls the store for changes of its status and of the configuration."""
        answered_at = self._context.clock()
        known_revision = 0
        while not self._context.is_stopping:
            sent_at = self._context.clock()
            request = WaitRequest(
                known_version=self._configuration.version,
                known_revision=known_revision,
                timeout_seconds=WAIT_SECONDS,
            )
            result = await call(
                self._context.network,
                self._context.local_store,
                request,
                WaitResponse,
                REPORT_LIFETIME_SECONDS,
            )
            if result.is_ok():
                answered_at = sent_at
                known_revision = result.ok.revision
                self._apply_status(result.ok, sent_at)
                continue
            self._expire_report(answered_at)
            await asyncio.sleep(RETRY_SECONDS)

    def close(self) -> None:
        """Cancels the delayed update of quotas."""
        if self._quota_timer is not None:
            self._quota_timer.cancel()

    def _expire_report(self, answered_at: float) -> None:
        """Treats the configuration as possibly outdated once the store's last report expired."""
        is_silent = self._context.clock() - answered_at >= REPORT_LIFETIME_SECONDS
        if self._configuration.is_reported_current and is_silent:
            self._configuration.is_reported_current = False
            self._notifier.notify_system_state()

    def _apply_status(self, status: WaitResponse, sent_at: float) -> None:
        """Applies the store's response to a request that was sent at `sent_at`."""
        configuration = self._configuration
        configuration.report_expires_at = sent_at + WAIT_SECONDS + REPORT_LIFETIME_SECONDS
        if status.version > configuration.version and isinstance(status.data, bytes):
            self._replace_configuration(status.version, status.data)
        if status.version == 0 == configuration.version and status.is_ready and status.primary:
            configuration.confirmed_empty_at = self._context.clock()
        if status.version < configuration.version and not self._is_offering:
            # the store has lost this version, and a rescue keeps the newest that a store has
            self._is_offering = True
            self._context.tasks.spawn(self._offer())
        self._counting.observe_term(status.primary, status.counting_term)
        self._apply_system_state(status)

    def _apply_system_state(self, status: WaitResponse) -> None:
        configuration = self._configuration
        is_current = (
            status.is_ready
            and status.primary is not None
            and status.version <= configuration.version
        )
        system_state_before = (configuration.is_reported_current, self._context.core_hosts)
        configuration.is_reported_current = is_current
        absent_voters = status.absent_voters or ()  # `UNSET` is false
        self._context.set_core_hosts(
            {host for host, _ in status.core_addresses}, {host for host, _ in absent_voters}
        )
        self._context.is_core_known = status.epoch > 0
        if system_state_before != (is_current, self._context.core_hosts):
            self._notifier.notify_system_state()

    def _replace_configuration(self, version: int, data: bytes) -> None:
        configuration = self._configuration
        is_previous_known = configuration.version > 0 or configuration.was_recently_empty(
            self._context.clock()
        )
        configuration.replace(version, data)
        logging.info("registry: configuration_held version=r%d bytes=%d", version, len(data))
        if len(data) < LARGE_CONFIGURATION_BYTES:
            self._update_quotas(is_previous_known)
        else:
            self._quota_timer = asyncio.get_running_loop().call_later(
                LARGE_CONFIGURATION_DELAY_SECONDS, self._update_quotas, is_previous_known
            )
        self._notifier.notify()

    def _update_quotas(self, is_previous_known: bool) -> None:
        """Applies the quotas of the cached configuration.

        Args:
            is_previous_known: Whether the previous configuration was known, or known not to exist.
        """
        try:
            configuration = self._configuration.parse(self._configuration.data)
        except ConfigurationError as error:  # a defect: it was validated before it was stored
            logging.error(
                "registry: configuration_unusable version=r%d error=%s",
                self._configuration.version,
                error,
            )
            return
        self._counting.update_quotas(configuration.tenants or (), is_previous_known)

    async def _offer(self) -> None:
        """Offers the cached configuration to the store on this machine.

        The store doesn't know that this version was committed.
        """
        configuration = self._configuration
        request = OfferRequest(version=configuration.version, data=configuration.data)
        timeout_seconds = CHANGE_TIMEOUT_SECONDS + transfer_seconds(len(configuration.data))
        try:
            await call(
                self._context.network,
                self._context.local_store,
                request,
                PutResponse,
                timeout_seconds,
            )
        finally:
            self._is_offering = False
