"""How the gateway stands, by what its registries say."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from loomstand.config.units import UnitError, format_address, parse_address
from loomstand.ctl import calls
from loomstand.ctl.calls import Address, Failure
from loomstand.ctl.commands import Status
from loomstand.ctl.plain import said

# seconds until a second look where versions differ: news takes up to 0.3 s to all registries
AGAIN = 0.5
MOST = 64  # registries asked; a core has a handful

Found = dict[str, dict[str, Any]]  # by address: what a registry said, or {"failed": why}


def _ask(where: Address) -> dict[str, Any]:
    try:
        got = calls.once(where, "system.status")
        if got.status != 200:
            return {"failed": got.reason()}
        told = json.loads(got.body)
        str(told["life"]), _row(told), _lines(told)  # it has all that is used
        return told | {"cores": [str(core) for core in told["cores"]]}
    except Failure as why:
        return {"failed": str(why)}
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return {"failed": "its answer isn't understood"}


def look(addresses: Iterable[Address]) -> Found:
    """Asks all at once, then whoever they name besides, until nobody new is named."""
    found: Found = {}
    new = dict.fromkeys(addresses)
    while new and len(found) < MOST:
        with ThreadPoolExecutor(len(new)) as pool:
            answers = dict(zip(map(format_address, new), pool.map(_ask, new), strict=True))
        found |= answers
        named = [core for told in answers.values() for core in told.get("cores", ())]
        new = {}
        for core in named:
            try:
                where = parse_address(core)
            except UnitError:
                continue
            if format_address(where) not in found and len(found) + len(new) < MOST:
                new[where] = None
    return _once_each(found)


def _once_each(found: Found) -> Found:
    """A registry that was asked by two addresses, as by a name and a number, counts once."""
    lives: dict[str, str] = {}
    return {a: s for a, s in found.items() if "failed" in s or lives.setdefault(s["life"], a) == a}


def problems(found: Found) -> list[str]:
    """What makes the exit code 1."""
    told = {a: s for a, s in found.items() if "failed" not in s}
    if not told:
        return ["no registry answers"]
    out = []
    views = [s["store"] for s in told.values() if s["store"]]
    newest = max(views, key=lambda view: view["epoch"], default=None)
    if newest is None or not newest["primary"]:
        out.append("no primary: changes are not taken" + ("" if views else "; no store answers"))
    versions = sorted({s["configuration"]["version"] for s in told.values()})
    if len(versions) > 1:
        out.append(f"registries hold different versions: {', '.join(versions)}")
    return out


def status(asked: Status) -> int:
    found = look(asked.at)
    wrong = problems(found)
    if any("versions" in what for what in wrong):
        time.sleep(AGAIN)
        found = look(asked.at)
        wrong = problems(found)
    if asked.json:
        print(json.dumps({"registries": found, "problems": wrong}, indent=2))
    else:
        _show(found, wrong)
    return 1 if wrong else 0


def _row(told: dict[str, Any]) -> list[str]:
    """A registry's line in the table; `?` is a version that may not be the newest."""
    config, counting, limiters = told["configuration"], told["counting"], told["limiters"]
    states = [(state, int(n)) for by in told["servers"].values() for state, n in by.items()]
    ready, servers = sum(n for state, n in states if state == "ready"), sum(n for _, n in states)
    present, missing = len(limiters["present"]), len(limiters["missing"])
    return [
        said(str(told["name"])),
        str(config["version"]) + ("" if config["sure"] else "?"),
        f"here, {counting['left']}" if counting["here"] else str(counting["by"] or "unknown"),
        f"{present}" + (f" of {present + missing}" if missing else ""),
        f"{ready}" + (f" of {servers}" if servers > ready else ""),
    ]


def _lines(told: dict[str, Any]) -> list[str]:
    """What a registry says of the store, the limiters missing and each service."""
    store, missing = told["store"], told["limiters"]["missing"]
    line = "store: no answer"
    if store:
        line = f"store: epoch {int(store['epoch'])}, primary {store['primary'] or 'none'}"
        line += f", backup {store['backup']}" if store["backup"] else ""
        line += "" if store["ready"] else ", not ready"
    lines = [line, *([f"limiters missing: {', '.join(map(str, missing))}"] if missing else [])]
    services = sorted(told["servers"].items())
    lines += [
        f"{service}: " + ", ".join(f"{n} {s}" for s, n in by.items()) for service, by in services
    ]
    return [said(line) for line in lines]


def _show(found: Found, wrong: list[str]) -> None:
    """A table, what the registries say besides, and what is wrong, within 80 columns."""
    from loomstand.ctl import show

    console = show.console()
    heads = ("address", "name", "version", "counts", "limiters", "servers")
    table = show.table(*heads, whole=("address", "counts"))
    good = {a: s for a, s in found.items() if "failed" not in s}
    seen: dict[str, list[str]] = {}
    for at, told in good.items():
        table.add_row(at, *_row(told))
        for line in _lines(told):
            seen.setdefault(line, []).append(at)
    if good:
        console.print(table)
    for line, who in seen.items():  # once where all say the same
        console.print(line + ("" if len(who) == len(good) else f" (says {', '.join(who)})"))
    for at, told in found.items():
        if "failed" in told:
            console.print(f"{at} gives no status: {told['failed']}")
    for what in wrong:
        console.print(f"WRONG: {what}")
    if not wrong:
        console.print("one version at all that answered, and a primary serves")
