"""The rescue of the store, by operators' word (docs/rescue.md)."""

from __future__ import annotations

import json
from typing import Any

from loomstand.config.units import parse_address
from loomstand.ctl import calls
from loomstand.ctl.calls import Address, Answer, Failure
from loomstand.ctl.commands import CoreRescue
from loomstand.ctl.plain import Wrong, said
from loomstand.ctl.status import look

# Seconds without an answer: the registry gives its store five for all of a rescue.
SILENCE = 6.0

Case = dict[str, Any]


def _ask(where: Address, body: dict[str, Any]) -> Answer:
    return calls.once(where, "system.rescue", json.dumps(body).encode(), SILENCE)


def _cases(asked: CoreRescue) -> tuple[dict[str, Case], dict[str, str]]:
    """What each registry in reach finds, by address, and why others find nothing."""
    cases: dict[str, Case] = {}
    failed: dict[str, str] = {}
    for at, told in look(asked.at).items():
        if "failed" in told:
            failed[at] = told["failed"]
            continue
        try:
            got = _ask(parse_address(at), {"gone": asked.gone})
            if got.status == 200:
                cases[at] = json.loads(got.body)["case"]
                _lines(cases[at])  # it has all that is used
            else:
                failed[at] = got.reason()
        except Failure as why:
            failed[at] = str(why)
        except (ValueError, KeyError, TypeError, RecursionError):
            cases.pop(at, None)
            failed[at] = "its answer isn't understood"
    return cases, failed


def rescue(asked: CoreRescue) -> int:
    cases, failed = _cases(asked)
    if not cases:
        raise Wrong(
            "no registry answers: " + "; ".join(f"{at}: {why}" for at, why in failed.items()), 1
        )
    at, case = next(iter(cases.items()))
    wrong = [str(why) for why in case["waits"]]
    apart = len({one["token"] for one in cases.values()}) > 1
    if apart:  # a cut between them looks like a loss
        wrong = ["the core machines don't see the same: mend the links between them, or look again"]
    done = _found(asked, at, case) if asked.yes and not wrong else None
    serves = any(_serves(one) for one in cases.values())
    if asked.json:
        print(
            json.dumps({"cases": cases, "failed": failed, "waits": wrong, "done": done}, indent=2)
        )
    else:
        _show(cases if apart else {"": case}, failed, wrong, done)
    return 0 if done is not None or (serves and not asked.yes) else 1


def _serves(case: Case) -> bool:
    return any("serves" in str(why) for why in case["waits"])


def _show(
    cases: dict[str, Case], failed: dict[str, str], wrong: list[str], done: Case | None
) -> None:
    for at, case in cases.items():
        if at:
            print(f"as {at} sees it:")
        for line in _lines(case):
            print(said(line))
    for at, why in failed.items():
        print(f"{at} tells nothing: {said(why)}")
    for why in wrong:
        print(f"waits: {said(why)}")
    if done is not None:
        print(
            f"founded: epoch {done['epoch']}, {said(str(done['version']))} in force, "
            f"{said(_places(done))}"
        )
        print("push the next configuration under a version well above any that was ever sent")
    elif not wrong:
        print(
            f"`--yes` founds the store anew at {said(str(case['chosen']))}, with "
            f"{said(str(case['version']))}"
        )


def _places(done: Case) -> str:
    voters = " ".join(map(str, done["voters"]))
    return f"primary {done['primary']}, backup {done['backup'] or 'none'}, voters {voters}"


def _found(asked: CoreRescue, at: str, case: Case) -> Case:
    """Gives the word, once: the token is worth nothing after it. Raises Wrong."""
    try:
        got = _ask(parse_address(at), {"gone": asked.gone, "token": case["token"]})
        if got.status != 200:
            raise Wrong(f"nothing was founded: {got.reason()}", 1)
        done: Case = json.loads(got.body)["done"]
        int(done["epoch"]), done["version"], _places(done)
        return done
    except Failure as why:
        raise Wrong(
            f"no clear answer, it may be founded all the same: look at `status`: {why}", 1
        ) from None
    except (ValueError, KeyError, TypeError, RecursionError):
        raise Wrong(f"{at} gives an answer that isn't understood; look at `status`", 1) from None


def _lines(case: Case) -> list[str]:
    """What is known of the newest view, who holds what, and what can't be known."""
    epoch, gone = int(case["epoch"]), [str(host) for host in case["gone"]]
    lines = [
        f"the newest view known: epoch {epoch}"
        if epoch
        else "no view is known: all who ever voted must be gone"
    ]
    for m in case["members"]:
        parts = ["votes"] * bool(m["votes"]) + ["had the data"] * bool(m["data"])
        there = (
            "in reach"
            if not m["lost"]
            else "gone by your word"
            if m["host"] in gone
            else "lost or out of reach"
        )
        lines.append(f"  {m['host']} ({m['id']}): {', '.join(parts)}; {there}")
    lines.append("in reach:")
    for t in case["reach"]:
        held = f"in force {t['in_force']}, given back {t['given_back']}, on disk {t['on_disk']}"
        lines.append(
            f"  {t['host']} ({t['id']}): {held}"
            + "; its disk is in trouble" * bool(t["disk_in_trouble"])
        )
    newest = str(case["version"])
    if _serves(case):
        return lines
    if newest == "r0":
        lines.append("nobody in reach holds a configuration: the store would begin empty")
    else:
        lines.append(f"the newest found: {newest}, to be put in force by {case['chosen']}")
    lines.append(
        "a later one that was acknowledged and that nobody in reach holds can't be known, and is "
        "lost"
    )
    return lines
