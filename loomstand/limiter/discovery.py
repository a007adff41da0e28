"""Client of the discovery service: a streaming watch on the list of servers, resumable."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec

from loomstand.config.limiter import BackendList
from loomstand.limiter import http_parser
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import SocketChannel, connect
from loomstand.limiter.protocols import WatchOwner

HEARTBEAT_SECONDS = 2.0  # protocol: an empty line is sent every 2 s while nothing changes
# Allows two missed heartbeats, and is below the 6 s after which a limiter is assumed to know a
# change.
SILENCE_TIMEOUT_SECONDS = 2.5 * HEARTBEAT_SECONDS
MAX_LINE_BYTES = 1 << 20  # fits a full list of some thousands of servers
# Delay before a reconnect, doubled at each consecutive failure and multiplied by a random factor
# between 0.5 and 1.5.
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 2.0
decode_list = msgspec.json.Decoder(BackendList).decode


class WatchReceiver(http_parser.ResponseReceiver):
    """Parser of an endless response whose body is consumed line by line."""

    __slots__ = ()

    def lines(self) -> list[bytes]:
        """Removes and returns the complete lines received so far."""
        if not isinstance(self.body, bytearray):
            return []
        *complete, rest = self.body.split(b"\n")
        self.body = bytearray(rest)
        return complete


class Watch:
    """Keeps one watch open and passes every list and change to the limiter.

    Attributes:
        limiter: Receives the lists, changes and heartbeats.
        address: Host and port of the discovery service.
        revision: The last known revision, after which the watch resumes.
        connect_timeout: Connect time-out in seconds.
        channel: The buffered connection; None before the first.
        parser: Parses the response of the current connection.
        last_received_at: Loop time of the last bytes received, or of the connect.
        retry_delay: Seconds until the next reconnect, before the random factor.
        stopped: Whether the watch has ended for good.
        timer: Timer of the next reconnect.
        jitter: Draws random numbers between 0 and 1.
        is_active: Whether the watch is to be open.
    """

    def __init__(
        self,
        limiter: WatchOwner,
        address: tuple[str, int],
        revision: int,
        connect_timeout: float,
        seed: int,
    ) -> None:
        self.limiter, self.address, self.revision = limiter, address, revision
        self.connect_timeout = connect_timeout
        self.channel: SocketChannel | None = None
        self.parser = WatchReceiver(MAX_LINE_BYTES)
        self.last_received_at, self.retry_delay, self.stopped = (
            0.0,
            INITIAL_RETRY_DELAY_SECONDS,
            False,
        )
        self.timer: asyncio.TimerHandle | None = None
        self.jitter = Random(seed).random
        self.is_active = False

    def set_active(self, on: bool) -> None:
        """Starts or stops the watch; peers relay the lists while it is stopped."""
        if on and not self.is_active:
            self.is_active, self.retry_delay = True, INITIAL_RETRY_DELAY_SECONDS
            self.start()
        elif not on and self.is_active:
            self.is_active = False
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            if self.channel is not None:
                self.channel.drop(Ending.FINISHED)

    def start(self) -> None:
        """Opens the connection; the watch continues after the last known revision."""
        self.is_active = True
        if not self.stopped:
            self.timer = None
            self.parser = WatchReceiver(MAX_LINE_BYTES)
            self.channel = SocketChannel(
                self, self.limiter.memory_budget, http_parser.MAX_MESSAGE_BYTES
            )
            self.last_received_at = self.limiter.loop.time()
            connect(self.limiter.loop, self.channel, self.address, self.connect_timeout)

    def opened(self) -> None:
        """Requests the list and its changes after the last known revision."""
        self.last_received_at = self.limiter.loop.time()
        self.channel.send(
            b"GET /api/targets?stream=1&index=%d HTTP/1.1\r\nHost: discovery\r\n\r\n"
            % self.revision
        )

    def received(self) -> None:
        """Handles the lists and heartbeats received; invalid data ends the connection."""
        self.last_received_at = self.limiter.loop.time()
        try:
            is_complete = self.parser.step(self.channel.inbound)
            if self.parser.begun and self.parser.status != 200:
                raise http_parser.Malformed(502, f"status {self.parser.status}")
            for line in self.parser.lines():
                if line.strip():
                    self.list_received(decode_list(line))
                    self.retry_delay = INITIAL_RETRY_DELAY_SECONDS
                else:
                    self.limiter.heartbeat_received()
            if is_complete:
                self.channel.stop(Ending.CLOSED)
        except (http_parser.Malformed, msgspec.DecodeError) as error:
            self.limiter.log(f"discovery: {error}")
            self.channel.stop(Ending.MALFORMED)

    def list_received(self, list_: BackendList) -> None:
        """Passes a list or change to the limiter."""
        self.limiter.list_received(list_)
        self.revision = list_.revision

    def ended(self, ending: Ending) -> None:
        """Schedules a reconnect after the connection has ended."""
        self.limiter.endings[f"discovery {ending.name.lower()}"] += 1
        if not self.stopped:
            # Random jitter, so that limiters disconnected together don't reconnect together.
            self.timer = self.limiter.loop.call_later(
                self.retry_delay * (0.5 + self.jitter()), self.start
            )
            self.retry_delay = min(MAX_RETRY_DELAY_SECONDS, self.retry_delay * 2)

    def set_address(self, address: tuple[str, int]) -> None:
        """Switches to another address of the discovery service."""
        if self.timer is not None:
            self.timer.cancel()
        if self.channel is not None:
            self.channel.drop(Ending.FINISHED)
        self.address, self.retry_delay = address, INITIAL_RETRY_DELAY_SECONDS
        if self.is_active:
            self.start()

    def sweep(self) -> None:
        """Closes the connection if heartbeats are overdue; it is reopened after a delay."""
        if (
            self.channel is not None
            and self.channel.ending is None
            and self.limiter.loop.time() - self.last_received_at > SILENCE_TIMEOUT_SECONDS
        ):
            self.channel.stop(Ending.STALLED)

    def stop(self) -> None:
        """Closes the connection for good."""
        self.stopped = True
        if self.channel is not None:
            self.channel.drop(Ending.STOPPING)
