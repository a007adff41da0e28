"""`core rescue`: re-founds a lost store at the operators' confirmation (docs/rescue.md)."""

from __future__ import annotations

import json
from typing import Any

from loomstand.config.units import parse_address
from loomstand.ctl import calls
from loomstand.ctl.calls import Address, CallError, Response
from loomstand.ctl.commands import CoreRescue
from loomstand.ctl.common import CommandError, single_line
from loomstand.ctl.status import query_registries

# Time without a byte of the response. The registry allows its store 5 s for a whole rescue.
RESCUE_TIMEOUT_SECONDS = 6.0

Case = dict[str, Any]  # the JSON of a `system.rescue` report or of its result


def _call_rescue(address: Address, body: dict[str, Any]) -> Response:
    return calls.call_once(
        address, "system.rescue", json.dumps(body).encode(), RESCUE_TIMEOUT_SECONDS
    )


def _inspect(command: CoreRescue) -> tuple[dict[str, Case], dict[str, str]]:
    """Returns, by address, the reports of the registries in reach and why the others failed."""
    cases: dict[str, Case] = {}
    failed: dict[str, str] = {}
    for at, report in query_registries(command.at).items():
        if "failed" in report:
            failed[at] = report["failed"]
            continue
        try:
            response = _call_rescue(parse_address(at), {"gone": command.gone})
            if response.status == 200:
                cases[at] = json.loads(response.body)["case"]
                _format_case(cases[at])  # only to check that all fields that are used exist
            else:
                failed[at] = response.error_text()
        except CallError as error:
            failed[at] = str(error)
        except (ValueError, KeyError, TypeError, RecursionError):
            cases.pop(at, None)
            failed[at] = "its answer isn't understood"
    return cases, failed


def rescue(command: CoreRescue) -> int:
    """Runs `core rescue`; returns the exit code."""
    cases, failed = _inspect(command)
    if not cases:
        raise CommandError(
            "no registry answers: " + "; ".join(f"{at}: {reason}" for at, reason in failed.items()),
            1,
        )
    at, case = next(iter(cases.items()))
    obstacles = [str(reason) for reason in case["waits"]]
    differ = len({other["token"] for other in cases.values()}) > 1
    if differ:  # a network partition between core machines looks like the loss of some
        obstacles = [
            "the core machines don't see the same: restore the network between them, or retry"
        ]
    done = _execute(command, at, case) if command.yes and not obstacles else None
    serving = any(_is_serving(other) for other in cases.values())
    if command.json:
        print(
            json.dumps(
                {"cases": cases, "failed": failed, "waits": obstacles, "done": done}, indent=2
            )
        )
    else:
        _print_rescue(cases if differ else {"": case}, failed, obstacles, done)
    return 0 if done is not None or (serving and not command.yes) else 1


def _is_serving(case: Case) -> bool:
    """Whether a case reports that a primary serves, so that no rescue is needed."""
    return any("serves" in str(reason) for reason in case["waits"])


def _print_rescue(
    cases: dict[str, Case], failed: dict[str, str], obstacles: list[str], done: Case | None
) -> None:
    for at, case in cases.items():
        if at:
            print(f"report of {at}:")
        for line in _format_case(case):
            print(single_line(line))
    for at, reason in failed.items():
        print(f"{at} gives no report: {single_line(reason)}")
    for obstacle in obstacles:
        print(f"waits: {single_line(obstacle)}")
    if done is not None:
        print(
            f"founded: epoch {done['epoch']}, {single_line(str(done['version']))} in force, "
            f"{single_line(_format_members(done))}"
        )
        print("push the next configuration with a version well above all versions ever pushed")
    elif not obstacles:
        print(
            f"`--yes` re-founds the store at {single_line(str(case['chosen']))}, with "
            f"{single_line(str(case['version']))}"
        )


def _format_members(done: Case) -> str:
    voters = " ".join(map(str, done["voters"]))
    return f"primary {done['primary']}, backup {done['backup'] or 'none'}, voters {voters}"


def _execute(command: CoreRescue, at: str, case: Case) -> Case:
    """Requests the rescue, once: its token can't be used again.

    Raises:
        CommandError: The rescue was refused, or its outcome is unknown.
    """
    try:
        response = _call_rescue(parse_address(at), {"gone": command.gone, "token": case["token"]})
        if response.status != 200:
            raise CommandError(f"nothing was founded: {response.error_text()}", 1)
        done: Case = json.loads(response.body)["done"]
        # Only to check that all fields that are used exist.
        int(done["epoch"]), done["version"], _format_members(done)
        return done
    except CallError as error:
        raise CommandError(
            f"no clear response, the store may be re-founded nevertheless; check `status`: {error}",
            1,
        ) from None
    except (ValueError, KeyError, TypeError, RecursionError):
        raise CommandError(f"{at} gave an invalid response; check `status`", 1) from None


def _format_case(case: Case) -> list[str]:
    """Returns lines on the newest view, on what each member in reach holds and on possible loss."""
    epoch, gone = int(case["epoch"]), [str(host) for host in case["gone"]]
    lines = [
        f"the newest view known: epoch {epoch}"
        if epoch
        else "no view is known: all members that ever voted must be permanently lost"
    ]
    for member in case["members"]:
        roles = ["votes"] * bool(member["votes"]) + ["had the data"] * bool(member["data"])
        state = (
            "in reach"
            if not member["lost"]
            else "named by `--gone`"
            if member["host"] in gone
            else "lost or out of reach"
        )
        lines.append(f"  {member['host']} ({member['id']}): {', '.join(roles)}; {state}")
    lines.append("in reach:")
    for member in case["reach"]:
        versions = (
            f"in force {member['in_force']}, offered {member['given_back']}, "
            f"on disk {member['on_disk']}"
        )
        lines.append(
            f"  {member['host']} ({member['id']}): {versions}"
            + "; its disk is unhealthy" * bool(member["disk_in_trouble"])
        )
    newest = str(case["version"])
    if _is_serving(case):
        return lines
    if newest == "r0":
        lines.append("no member in reach holds a configuration: the store would start empty")
    else:
        lines.append(f"the newest found: {newest}, to be put in force by {case['chosen']}")
    lines.append(
        "a later version that was acknowledged, but that no member in reach holds, is lost; it "
        "can't be detected"
    )
    return lines
