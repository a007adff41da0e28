"""HTTP calls to registries, with the retries that PROTOCOL.md requires of callers.

Also has the commands `config push` and `config read`.
"""

from __future__ import annotations

import http.client
import json
import sys
import time
from dataclasses import dataclass
from urllib.parse import urlsplit

from loomstand.config.configuration import Configuration, ConfigurationError, parse_configuration
from loomstand.config.units import UnitError, format_version, parse_port, parse_version
from loomstand.ctl.commands import ConfigPush, ConfigRead
from loomstand.ctl.common import (
    CommandError,
    check_configuration,
    format_seconds,
    read_input,
    single_line,
)
from loomstand.ctl.masks import is_masked, mask_keys

Address = tuple[str, int]

# The protocol sets the values from here to MAX_OTHER_CLIENT_ERRORS.
READ_TIMEOUT_SECONDS = 1.0  # longest wait for the next byte from the registry
# Added to the timeout for each MiB of the request's body; the protocol says "longer for large
# bodies".
EXTRA_TIMEOUT_SECONDS_PER_MIB = 1.0
MAX_REDIRECTS = 2  # responses with status 307 that one attempt follows
FINAL_STATUSES = (400, 409, 412, 413, 422)  # these end a call at once
NEXT_ADDRESS_STATUSES = (408, 429)  # the only 4xx statuses that never end a call
MAX_OTHER_CLIENT_ERRORS = 3  # responses with other 4xx statuses at which a call ends
# Delay between attempts: short at first, as most failures concern a single registry; longer later,
# so that many operators who wait for the system to start cause little load.
INITIAL_RETRY_DELAY_SECONDS = 0.1
RETRY_DELAY_FACTOR = 1.6
MAX_RETRY_DELAY_SECONDS = 2.0
MAX_RESPONSE_BYTES = 64 << 20  # a registry accepts configurations of up to 8 MiB
# Timeout for the whole response, as a multiple of the read timeout, which each byte restarts.
MAX_RESPONSE_READ_TIMEOUTS = 10
CHUNK_BYTES = 1 << 16


class CallError(Exception):
    """An attempt got no usable response; the registry may still have executed the call."""


class CallRefusedError(CommandError):
    """A registry refused the call without executing it, and every other registry would too."""


@dataclass(slots=True, frozen=True)
class Response:
    """A registry's response.

    Attributes:
        status: The HTTP status.
        body: The whole body.
        address: HOST:PORT of the registry that responded, after redirects.
    """

    status: int
    body: bytes
    address: str

    def error_text(self) -> str:
        """Returns one line with the address, the status and the body's error text, if any."""
        try:
            error = json.loads(self.body)["error"]
        except (ValueError, KeyError, TypeError, RecursionError):
            error = ""
        return f"{self.address} says {self.status}" + (
            f": {single_line(str(error))[:300]}" if error else ""
        )


def call_once(
    address: Address, call: str, body: bytes = b"", timeout_seconds: float | None = None
) -> Response:
    """Makes one attempt at one address and follows its redirects.

    Args:
        address: The registry's address.
        call: Name of the operation.
        body: The request's body.
        timeout_seconds: Longest wait for the next byte from the registry, READ_TIMEOUT_SECONDS if
            None; extended for large bodies.

    Raises:
        CallError: There was no complete response in time, or too many or invalid redirects.
    """
    target, path = address, f"/api/rpc?call={call}"
    timeout_seconds = READ_TIMEOUT_SECONDS if timeout_seconds is None else timeout_seconds
    for _ in range(MAX_REDIRECTS + 1):
        status, location, response_body = _exchange(
            target,
            path,
            body,
            timeout_seconds + EXTRA_TIMEOUT_SECONDS_PER_MIB * len(body) / (1 << 20),
        )
        target_text = f"{target[0]}:{target[1]}"
        if status != 307:
            return Response(status, response_body, target_text)
        try:
            parts = urlsplit(location)
            if parts.scheme != "http" or not parts.hostname:
                raise ValueError
            target = parts.hostname, parse_port(str(parts.port or 80))
        except (ValueError, UnitError):
            raise CallError(
                f"{target_text} redirects to {single_line(location)[:100] or 'nowhere'}"
            ) from None
        path = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    raise CallError(f"{target_text} redirects for the third time")


def _exchange(
    address: Address, path: str, body: bytes, timeout_seconds: float
) -> tuple[int, str, bytes]:
    """Sends one HTTP request; returns the status, the Location header and the body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_seconds)
    address_text = f"{address[0]}:{address[1]}"
    try:
        connection.request(
            "POST", path, body, {"Content-Type": "application/json", "Connection": "close"}
        )
        response = connection.getresponse()
        response_body = bytearray()
        deadline = time.monotonic() + MAX_RESPONSE_READ_TIMEOUTS * timeout_seconds
        while chunk := response.read1(CHUNK_BYTES):
            response_body += chunk
            if len(response_body) > MAX_RESPONSE_BYTES or time.monotonic() > deadline:
                raise CallError(f"{address_text}: its answer is too long or too slow")
        if response.length:
            raise CallError(f"{address_text}: its answer is cut short")
        return response.status, response.getheader("Location", ""), bytes(response_body)
    except TimeoutError:
        raise CallError(f"{address_text} doesn't answer in time") from None
    except (OSError, http.client.HTTPException, ValueError) as error:
        problem = single_line(str(error)) or type(error).__name__
        raise CallError(f"{address_text}: {problem}") from None
    finally:
        connection.close()


def call_any(addresses: list[Address], call: str, body: bytes, within_seconds: float) -> Response:
    """Repeats a call unchanged, each attempt at the next address, until one returns status 200.

    Args:
        addresses: Addresses of registries, called in turn.
        call: Name of the operation.
        body: The request's body.
        within_seconds: Time after which no further attempt begins.

    Raises:
        CallRefusedError: A registry refused the call.
        CommandError: No attempt within the time returned status 200 or a refusal.
    """
    deadline, delay = time.monotonic() + within_seconds, INITIAL_RETRY_DELAY_SECONDS
    other_client_errors, attempt = 0, 0
    while True:
        try:
            response = call_once(addresses[attempt % len(addresses)], call, body)
        except CallError as error:
            last_error = str(error)
        else:
            if response.status == 200:
                return response
            last_error = response.error_text()
            if 400 <= response.status < 500 and response.status not in NEXT_ADDRESS_STATUSES:
                other_client_errors += 1
                if (
                    response.status in FINAL_STATUSES
                    or other_client_errors >= MAX_OTHER_CLIENT_ERRORS
                ):
                    raise CallRefusedError(f"refused: {last_error}", 1)
        if time.monotonic() + delay > deadline:
            raise CommandError(
                f"no clear answer within {format_seconds(within_seconds)}; the last: {last_error}",
                1,
            )
        time.sleep(delay)
        delay, attempt = min(MAX_RETRY_DELAY_SECONDS, RETRY_DELAY_FACTOR * delay), attempt + 1


def _read_configuration(
    addresses: list[Address], within_seconds: float
) -> tuple[Configuration, str]:
    """Returns the newest configuration and the address of the registry that returned it."""
    response = call_any(addresses, "configuration.read", b"", within_seconds)
    try:
        return parse_configuration(response.body), response.address
    except ConfigurationError as error:
        raise CommandError(
            f"{response.address} returned an invalid configuration: {error}", 1
        ) from None


def _acknowledged_version(response: Response) -> int | None:
    """Returns the version in an acknowledgement; None without one, as not all gateways send it."""
    try:
        return parse_version(str(json.loads(response.body)["version"]))
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def config_push(command: ConfigPush) -> int:
    """Runs `config push`; returns the exit code."""
    raw = read_input(command.file)
    pushed = check_configuration(command.file, raw)
    if any(is_masked(key) for tenant in pushed.tenants or () for key in tenant.api_keys):
        raise CommandError(
            f"{command.file}: its keys are masked, and would lock tenants out; read it with --keys"
        )
    try:
        response = call_any(command.at, "configuration.replace", raw, command.within)
    except CommandError as error:
        hint = (
            ""
            if isinstance(error, CallRefusedError)
            else "; it may be in force all the same: push it again"
        )
        raise CommandError(
            f"{format_version(pushed.version)} is not acknowledged: {error}{hint}", 1
        ) from None
    in_force, problem = _acknowledged_version(response), ""
    # A registry acknowledges a push even if another operator has used the same version for other
    # contents. Only reading the configuration back shows the difference.
    try:
        read_back, _ = _read_configuration(command.at, command.within)
        if read_back.version == pushed.version and read_back.raw != raw:
            problem = "with other contents, and yours are not; push them under a higher version"
        in_force = max(in_force or 0, read_back.version)
    except CommandError as error:
        print(f"acknowledged by {response.address}, but not read back: {error}", file=sys.stderr)
    if in_force is not None and in_force != pushed.version:
        problem = f"and {format_version(pushed.version)} is not, as it isn't higher"
    version_text = format_version(pushed.version if in_force is None else in_force)
    if command.json:
        report = {
            "pushed": format_version(pushed.version),
            "in_force": version_text,
            "by": response.address,
            "wrong": problem,
        }
        print(json.dumps(report, indent=2))
    else:
        print(
            f"{version_text} is in force"
            + (f" {problem}" if problem else f", acknowledged by {response.address}")
        )
    return 1 if problem else 0


def config_read(command: ConfigRead) -> int:
    """Runs `config read`; returns the exit code."""
    config, address = _read_configuration(command.at, command.within)
    if command.keys:  # printed byte for byte as the registry stores it
        sys.stdout.flush()
        sys.stdout.buffer.write(config.raw)
        sys.stdout.buffer.flush()
    else:
        print(json.dumps(mask_keys(json.loads(config.raw)), indent=2, ensure_ascii=False))
    print(f"{format_version(config.version)}, from {address}", file=sys.stderr)
    return 0
