"""The operator's own calls, over HTTP, as the protocol wants callers to behave."""

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
from loomstand.ctl.masks import mask, masked
from loomstand.ctl.plain import Wrong, configuration, held, said
from loomstand.ctl.plain import time as lasting

Address = tuple[str, int]

SILENCE = 1.0  # seconds without a byte, by the protocol
PER_MEBIBYTE = 1.0  # seconds more for a body of that size: "longer for large bodies"
FOLLOWED = 2  # 307s of one call, by the protocol
FINAL = (400, 409, 412, 413, 422)  # these end a call at once, by the protocol
ELSEWHERE = (408, 429)  # of 4xx: the next address, by the protocol
OTHERS = 3  # other 4xx end a call at this try, by the protocol
# Between two tries: short at first, as most failures are one registry's; then long enough that
# operators who all wait for a start are no load.
FIRST_PAUSE, GROWS, MOST_PAUSE = 0.1, 1.6, 2.0
MOST_BODY = 64 << 20  # bytes of an answer; a registry takes configurations of 8 MiB
CHUNK = 1 << 16


class Failure(Exception):
    """One try came to nothing; what was sent may have run all the same."""


class Refused(Wrong):
    """A registry did nothing with the call, and none would."""


@dataclass(slots=True, frozen=True)
class Answer:
    """What one address said, and which."""

    status: int
    body: bytes
    at: str

    def reason(self) -> str:
        """Its words for what is wrong, if it has any, as one line."""
        try:
            words = json.loads(self.body)["error"]
        except (ValueError, KeyError, TypeError, RecursionError):
            words = ""
        return f"{self.at} says {self.status}" + (f": {said(str(words))[:300]}" if words else "")


def once(address: Address, call: str, body: bytes = b"", silence: float | None = None) -> Answer:
    """One try at one address, with its redirections. Raises Failure."""
    where, path = address, f"/api/rpc?call={call}"
    silence = SILENCE if silence is None else silence
    for _ in range(FOLLOWED + 1):
        status, location, got = _exchange(
            where, path, body, silence + PER_MEBIBYTE * len(body) / (1 << 20)
        )
        at = f"{where[0]}:{where[1]}"
        if status != 307:
            return Answer(status, got, at)
        try:
            parts = urlsplit(location)
            if parts.scheme != "http" or not parts.hostname:
                raise ValueError
            where = parts.hostname, parse_port(str(parts.port or 80))
        except (ValueError, UnitError):
            raise Failure(f"{at} sends on to {said(location)[:100] or 'nowhere'}") from None
        path = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    raise Failure(f"{at} sends on for the third time")


def _exchange(where: Address, path: str, body: bytes, silence: float) -> tuple[int, str, bytes]:
    line, at = http.client.HTTPConnection(*where, timeout=silence), f"{where[0]}:{where[1]}"
    try:
        line.request(
            "POST", path, body, {"Content-Type": "application/json", "Connection": "close"}
        )
        answer = line.getresponse()
        # one that trickles is as good as silent
        got, until = bytearray(), time.monotonic() + 10 * silence
        while piece := answer.read1(CHUNK):
            got += piece
            if len(got) > MOST_BODY or time.monotonic() > until:
                raise Failure(f"{at}: its answer doesn't end")
        if answer.length:
            raise Failure(f"{at}: its answer is cut short")
        return answer.status, answer.getheader("Location", ""), bytes(got)
    except TimeoutError:
        raise Failure(f"{at} is silent") from None
    except (OSError, http.client.HTTPException, ValueError) as why:
        raise Failure(f"{at}: {said(str(why)) or type(why).__name__}") from None
    finally:
        line.close()


def asked(addresses: list[Address], call: str, body: bytes, within: float) -> Answer:
    """The 200 that a call came to; it is repeated unchanged, from address to address, until then.
    Raises Wrong, code 1, when it is refused or the time is over.
    """
    until, pause, others, at = time.monotonic() + within, FIRST_PAUSE, 0, 0
    while True:
        try:
            got = once(addresses[at % len(addresses)], call, body)
        except Failure as why:
            last = str(why)
        else:
            if got.status == 200:
                return got
            last = got.reason()
            if 400 <= got.status < 500 and got.status not in ELSEWHERE:
                others += 1
                if got.status in FINAL or others >= OTHERS:
                    raise Refused(f"refused: {last}", 1)
        if time.monotonic() + pause > until:
            raise Wrong(f"no clear answer within {lasting(within)}; the last: {last}", 1)
        time.sleep(pause)
        pause, at = min(MOST_PAUSE, GROWS * pause), at + 1


def _read(addresses: list[Address], within: float) -> tuple[Configuration, str]:
    """The newest configuration and who gave it. Raises Wrong."""
    got = asked(addresses, "configuration.read", b"", within)
    try:
        return parse_configuration(got.body), got.at
    except ConfigurationError as why:
        raise Wrong(f"{got.at} gave no configuration: {why}", 1) from None


def _in_force(got: Answer) -> int | None:
    """The version that an acknowledgement names; not every gateway names one."""
    try:
        return parse_version(str(json.loads(got.body)["version"]))
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def config_push(asks: ConfigPush) -> int:
    raw = held(asks.file)
    mine = configuration(asks.file, raw)
    if any(masked(key) for tenant in mine.tenants or () for key in tenant.api_keys):
        raise Wrong(
            f"{asks.file}: its keys are masked, and would lock tenants out; read it with --keys"
        )
    try:
        got = asked(asks.at, "configuration.replace", raw, asks.within)
    except Wrong as why:
        unclear = (
            "" if isinstance(why, Refused) else "; it may be in force all the same: push it again"
        )
        raise Wrong(
            f"{format_version(mine.version)} is not acknowledged: {why}{unclear}", 1
        ) from None
    number, wrong = _in_force(got), ""
    # A version that another operator has taken is acknowledged like our own: only reading tells
    # them apart.
    try:
        read, _ = _read(asks.at, asks.within)
        if read.version == mine.version and read.raw != raw:
            wrong = "with other contents, and yours are not; push them under a higher version"
        number = max(number or 0, read.version)
    except Wrong as why:
        print(f"acknowledged by {got.at}, but not read back: {why}", file=sys.stderr)
    if number is not None and number != mine.version:
        wrong = f"and {format_version(mine.version)} is not, as it isn't higher"
    text = format_version(mine.version if number is None else number)
    if asks.json:
        told = {
            "pushed": format_version(mine.version),
            "in_force": text,
            "by": got.at,
            "wrong": wrong,
        }
        print(json.dumps(told, indent=2))
    else:
        print(f"{text} is in force" + (f" {wrong}" if wrong else f", acknowledged by {got.at}"))
    return 1 if wrong else 0


def config_read(asks: ConfigRead) -> int:
    found, at = _read(asks.at, asks.within)
    if asks.keys:  # as it is held, to the byte
        sys.stdout.flush()
        sys.stdout.buffer.write(found.raw)
        sys.stdout.buffer.flush()
    else:
        print(json.dumps(mask(json.loads(found.raw)), indent=2, ensure_ascii=False))
    print(f"{format_version(found.version)}, from {at}", file=sys.stderr)
    return 0
