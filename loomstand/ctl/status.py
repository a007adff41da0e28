"""`status`: the gateway's state as its registries report it."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from loomstand.config.units import UnitError, format_address, parse_address
from loomstand.ctl import calls
from loomstand.ctl.calls import Address, CallError
from loomstand.ctl.commands import Status
from loomstand.ctl.common import single_line

# Delay before a second query if the registries have different versions: a change takes up to 0.3 s
# to reach all of them.
RECHECK_DELAY_SECONDS = 0.5
MAX_REGISTRIES = 64  # that one command queries; a system has a handful of them

Reports = dict[str, dict[str, Any]]
"""By registry address, the registry's status, or {"failed": reason}."""


def _query(address: Address) -> dict[str, Any]:
    """Returns the status of one registry, or {"failed": reason}."""
    try:
        response = calls.call_once(address, "system.status")
        if response.status != 200:
            return {"failed": response.error_text()}
        report = json.loads(response.body)
        # Formatted here only to check that all fields that are used exist.
        str(report["life"]), _table_row(report), _detail_lines(report)
        return report | {"cores": [str(core) for core in report["cores"]]}
    except CallError as error:
        return {"failed": str(error)}
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return {"failed": "its answer isn't understood"}


def query_registries(addresses: Iterable[Address]) -> Reports:
    """Queries the registries at the addresses in parallel, then those that they name in `cores`.

    Ends when no report names a further registry, or at MAX_REGISTRIES.
    """
    reports: Reports = {}
    unqueried = dict.fromkeys(addresses)
    while unqueried and len(reports) < MAX_REGISTRIES:
        with ThreadPoolExecutor(len(unqueried)) as pool:
            answers = dict(
                zip(map(format_address, unqueried), pool.map(_query, unqueried), strict=True)
            )
        reports |= answers
        named = [core for report in answers.values() for core in report.get("cores", ())]
        unqueried = {}
        for core in named:
            try:
                address = parse_address(core)
            except UnitError:
                continue
            is_full = len(reports) + len(unqueried) >= MAX_REGISTRIES
            if format_address(address) not in reports and not is_full:
                unqueried[address] = None
    return _deduplicate(reports)


def _deduplicate(reports: Reports) -> Reports:
    """Keeps one report of each registry, as it may have been queried at two addresses.

    These are for instance a host name and an IP address. The field `life` identifies the process of
    a registry.
    """
    address_by_life: dict[str, str] = {}
    return {
        address: report
        for address, report in reports.items()
        if "failed" in report or address_by_life.setdefault(report["life"], address) == address
    }


def find_problems(reports: Reports) -> list[str]:
    """Returns the problems for which the exit code is 1, one line each."""
    answered = {address: report for address, report in reports.items() if "failed" not in report}
    if not answered:
        return ["no registry answers"]
    problems = []
    views = [report["store"] for report in answered.values() if report["store"]]
    newest = max(views, key=lambda view: view["epoch"], default=None)
    if newest is None or not newest["primary"]:
        problems.append(
            "no primary: changes are not accepted" + ("" if views else "; no store answers")
        )
    versions = sorted({report["configuration"]["version"] for report in answered.values()})
    if len(versions) > 1:
        problems.append(f"registries hold different versions: {', '.join(versions)}")
    return problems


def status(command: Status) -> int:
    """Runs `status`; returns the exit code."""
    reports = query_registries(command.at)
    problems = find_problems(reports)
    if any("versions" in problem for problem in problems):
        time.sleep(RECHECK_DELAY_SECONDS)
        reports = query_registries(command.at)
        problems = find_problems(reports)
    if command.json:
        print(json.dumps({"registries": reports, "problems": problems}, indent=2))
    else:
        _print_status(reports, problems)
    return 1 if problems else 0


def _table_row(report: dict[str, Any]) -> list[str]:
    """Returns a registry's cells in the table; `?` marks a version that may not be the newest."""
    config, counting, limiters = report["configuration"], report["counting"], report["limiters"]
    counts = [
        (state, int(count))
        for count_by_state in report["servers"].values()
        for state, count in count_by_state.items()
    ]
    ready = sum(count for state, count in counts if state == "ready")
    servers = sum(count for _, count in counts)
    present, missing = len(limiters["present"]), len(limiters["missing"])
    return [
        single_line(str(report["name"])),
        str(config["version"]) + ("" if config["sure"] else "?"),
        f"here, {counting['left']}" if counting["here"] else str(counting["by"] or "unknown"),
        f"{present}" + (f" of {present + missing}" if missing else ""),
        f"{ready}" + (f" of {servers}" if servers > ready else ""),
    ]


def _detail_lines(report: dict[str, Any]) -> list[str]:
    """Returns lines on the store, missing limiters and the servers of each service."""
    store, missing = report["store"], report["limiters"]["missing"]
    line = "store: no response"
    if store:
        line = f"store: epoch {int(store['epoch'])}, primary {store['primary'] or 'none'}"
        line += f", backup {store['backup']}" if store["backup"] else ""
        line += "" if store["ready"] else ", not ready"
    lines = [line, *([f"limiters missing: {', '.join(map(str, missing))}"] if missing else [])]
    services = sorted(report["servers"].items())
    lines += [
        f"{service}: " + ", ".join(f"{count} {state}" for state, count in count_by_state.items())
        for service, count_by_state in services
    ]
    return [single_line(line) for line in lines]


def _print_status(reports: Reports, problems: list[str]) -> None:
    """Prints a table, the details and the problems, within 80 columns."""
    from loomstand.ctl import tables

    console = tables.make_console()
    headers = ("address", "name", "version", "counts", "limiters", "servers")
    table = tables.make_table(*headers, no_wrap=("address", "counts"))
    answered = {address: report for address, report in reports.items() if "failed" not in report}
    reporters: dict[str, list[str]] = {}
    for address, report in answered.items():
        table.add_row(address, *_table_row(report))
        for line in _detail_lines(report):
            reporters.setdefault(line, []).append(address)
    if answered:
        console.print(table)
    # A line that all registries report is printed once, without their addresses.
    for line, addresses in reporters.items():
        console.print(
            line
            + ("" if len(addresses) == len(answered) else f" (reported by {', '.join(addresses)})")
        )
    for address, report in reports.items():
        if "failed" in report:
            console.print(f"{address} gives no status: {report['failed']}")
    for problem in problems:
        console.print(f"WRONG: {problem}")
    if not problems:
        console.print("all registries that responded hold the same version, and a primary serves")
