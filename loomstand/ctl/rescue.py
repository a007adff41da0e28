"""`core rescue`: re-creates a lost store after operators confirm it (docs/rescue.md).

The output calls this re-founding.
"""

from __future__ import annotations

import json
from typing import Any

from loomstand.config.units import parse_address
from loomstand.ctl import calls
from loomstand.ctl.calls import Address, CallError, Response
from loomstand.ctl.commands import CoreRescue
from loomstand.ctl.common import CommandError, single_line
from loomstand.ctl.status import query_registries

# Longest wait for the next byte of the response; the registry allows its store 5 s for a rescue.
RESCUE_TIMEOUT_SECONDS = 6.0

Case = dict[str, Any]
"""A report (`case`) or a result (`done`) in the JSON response to `system.rescue`."""


def _call_rescue(address: Address, body: dict[str, Any]) -> Response:
    return calls.call_once(
        address, "system.rescue", json.dumps(body).encode(), RESCUE_TIMEOUT_SECONDS
    )


def _inspect(command: CoreRescue) -> tuple[dict[str, Case], dict[str, str]]:
    """Asks all registries for their reports on the store.

    Returns:
        By registry address, the reports; and by address of each registry without a report, the
        reason.
    """
    cases: dict[str, Case] = {}
    failures: dict[str, str] = {}
    for address, report in query_registries(command.at).items():
        if "failed" in report:
            failures[address] = report["failed"]
            continue
        try:
            response = _call_rescue(parse_address(address), {"gone": command.gone})
            if response.status == 200:
                cases[address] = json.loads(response.body)["case"]
                _format_case(cases[address])  # only to check that all fields that are used exist
            else:
                failures[address] = response.error_text()
        except CallError as error:
            failures[address] = str(error)
        except (ValueError, KeyError, TypeError, RecursionError):
            cases.pop(address, None)
            failures[address] = "its answer isn't understood"
    return cases, failures


def rescue(command: CoreRescue) -> int:
    """Runs `core rescue`; returns the exit code."""
    cases, failures = _inspect(command)
    if not cases:
        raise CommandError(
            "no registry answers: "
            + "; ".join(f"{address}: {reason}" for address, reason in failures.items()),
            1,
        )
    address, case = next(iter(cases.items()))
    obstacles = [str(reason) for reason in case["waits"]]
    cases_differ = len({other["token"] for other in cases.values()}) > 1
    # A network partition between core machines looks to each side like the loss of the others.
    if cases_differ:
        obstacles = [
            "the core machines don't see the same: restore the network between them, or retry"
        ]
    result = _execute(command, address, case) if command.yes and not obstacles else None
    is_serving = any(_is_serving(other) for other in cases.values())
    if command.json:
        print(
            json.dumps(
                {"cases": cases, "failed": failures, "waits": obstacles, "done": result}, indent=2
            )
        )
    else:
        _print_rescue(cases if cases_differ else {"": case}, failures, obstacles, result)
    return 0 if result is not None or (is_serving and not command.yes) else 1


def _is_serving(case: Case) -> bool:
    """Whether a case reports that a primary serves, so that no rescue is needed."""
    return any("serves" in str(reason) for reason in case["waits"])


def _print_rescue(
    cases: dict[str, Case], failures: dict[str, str], obstacles: list[str], result: Case | None
) -> None:
    """Prints the reports and the result.

    Args:
        cases: The reports by registry address; by the empty text if all registries report the same.
        failures: By address of each registry without a report, the reason.
        obstacles: Reasons that prevent a rescue.
        result: The view that was created; None if there was no rescue.
    """
    for address, case in cases.items():
        if address:
            print(f"report of {address}:")
        for line in _format_case(case):
            print(single_line(line))
    for address, reason in failures.items():
        print(f"{address} gives no report: {single_line(reason)}")
    for obstacle in obstacles:
        print(f"waits: {single_line(obstacle)}")
    if result is not None:
        print(
            f"founded: epoch {result['epoch']}, {single_line(str(result['version']))} in force, "
            f"{single_line(_format_members(result))}"
        )
        print("push the next configuration with a version well above all versions ever pushed")
    elif not obstacles:
        print(
            f"`--yes` re-founds the store at {single_line(str(case['chosen']))}, with "
            f"{single_line(str(case['version']))}"
        )


def _format_members(result: Case) -> str:
    voters = " ".join(map(str, result["voters"]))
    return f"primary {result['primary']}, backup {result['backup'] or 'none'}, voters {voters}"


def _execute(command: CoreRescue, address: str, case: Case) -> Case:
    """Requests the rescue, without retries, as a token can't be used again.

    Raises:
        CommandError: The rescue was refused, or its outcome is unknown.
    """
    try:
        response = _call_rescue(
            parse_address(address), {"gone": command.gone, "token": case["token"]}
        )
        if response.status != 200:
            raise CommandError(f"nothing was founded: {response.error_text()}", 1)
        result: Case = json.loads(response.body)["done"]
        # Only to check that all fields that are used exist.
        int(result["epoch"]), result["version"], _format_members(result)
        return result
    except CallError as error:
        raise CommandError(
            f"no clear response, the store may be re-founded nevertheless; check `status`: {error}",
            1,
        ) from None
    except (ValueError, KeyError, TypeError, RecursionError):
        raise CommandError(f"{address} gave an invalid response; check `status`", 1) from None


def _format_case(case: Case) -> list[str]:
    """Returns lines on the newest view, the versions of each member in reach, and possible loss."""
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
