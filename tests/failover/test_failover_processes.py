"""Zone loss with limiter processes: checks rules, counts and bounds, but not throughput."""

from __future__ import annotations

from pathlib import Path

import pytest
from rehearsals import EXAMPLES, all_exited, run_and_report

from loomstand.testing.emulator.scenario import from_table
from loomstand.testing.rehearsal import checker, scenario
from loomstand.testing.rehearsal.scenario import Rehearsal

PLAN = b"""
[[refuse]]
name = "looks"
frontends = ["look"]
[keep]
frontends = ["book"]
share = 0.3
"""
INVALID_PLAN = '[[refuse]]\nname = "x"\nfrontends = ["lock"]\n'


def three_zones(seconds: float, *faults: dict, **changes) -> Rehearsal:
    """Three half-loaded zones, each of one limiter and two servers; one plan has a rate limit."""
    times = {"work_ms": 60, "response_target_ms": 300, "client_timeout_ms": 800}
    table = {
        "name": "trio",
        "seconds": seconds,
        "fleet": {
            "limiters": 3,
            "servers": 6,
            "zones": ["a", "b", "c"],
            "capacity": 4,
            "try_limit": 3,
            "cold_s": 2.0,
        },
        "load": {"notice_s": 0.6},
        "frontends": [
            {"name": "look", **times},
            {"name": "book", "effect": "side_effect", "value": 10, **times},
        ],
        "plans": [
            {"name": "basic", "rate": 10, "burst": 40, "customers": 30, "demand": 0.5},
            {
                "name": "top",
                "rate": 20,
                "burst": 40,
                "customers": 3,
                "demand": 1.0,
                "ceiling_rate": 8.0,
                "ceiling_depth": 16.0,
                "ceiling_slack": 1.0,
            },
        ],
        "faults": list(faults),
        **changes,
    }
    return from_table(table, Rehearsal)


def run_rehearsal(rehearsal: Rehearsal, out: Path, plan: bytes = PLAN, seed: int = 1):
    """Returns the report and the recorded events, after checking the rules and that all processes
    have ended.
    """
    report = run_and_report(rehearsal, out, plan, seed=seed)
    assert report["held"], (report["breaks"], report["crashes"])
    assert all_exited(out)
    return report, checker.read(rehearsal, out)


def transitions(report: dict, new: str, limiter: str = "") -> list[list]:
    return [t for t in report["moves"] if t[4] == new and limiter in ("", t[1])]


def requests_run_in(events, zone: int, since: float, until: float) -> int:
    return sum(
        since <= at - events.began < until
        for at, _, server, *_ in events.rows_of("run")
        if scenario.zone_of(events.rehearsal.fleet, f"s{server}") == zone
    )


def test_the_zone_loss_example_in_its_quick_form(tmp_path):
    path = str(EXAMPLES / "site-loss.toml")
    rehearsal = scenario.load(path, quick=True)
    report, _ = run_rehearsal(rehearsal, tmp_path, scenario.read_site_plan(rehearsal, path))
    assert report["kept"], report["bounds"]


def test_partitioned_zone_serves_its_own_clients_and_both_sides_keep_the_ceilings(tmp_path):
    partition = {"at": 2, "do": "cut", "who": ["zone:a"], "for_s": 4}
    report, events = run_rehearsal(three_zones(9, partition), tmp_path)
    assert requests_run_in(events, 0, 3.5, 6.0) >= 20  # its own clients' requests
    assert requests_run_in(events, 1, 3.5, 6.0) >= 20
    assert {t[1] for t in transitions(report, "lost")} >= {"l1", "l2"}  # in the other zones
    # for the limiter of the partitioned zone, one or both of the other zones are lost
    assert {t[2] for t in transitions(report, "lost", "l0")} <= {"b", "c"}


def test_zone_with_half_of_its_servers_slow_is_not_lost(tmp_path):
    slow = {"at": 1.5, "do": "slow", "who": ["s0"], "factor": 8, "for_s": 3}
    changes = {"fleet": {**to_table(three_zones(6))["fleet"], "apart": True}}
    report, _ = run_rehearsal(three_zones(6, slow, **changes), tmp_path)
    assert not transitions(report, "lost")


def to_table(rehearsal: Rehearsal) -> dict:
    import msgspec

    return msgspec.to_builtins(rehearsal)


@pytest.mark.parametrize("fault", ["discovery_silent", "counter_silent"])
def test_zone_loss_while_discovery_or_the_counter_is_silent(fault, tmp_path):
    faults = [
        {"at": 1, "do": fault, "for_s": 6},
        {"at": 2, "do": "vanish", "who": ["zone:a"], "for_s": 4, "told_s": 1},
    ]
    report, events = run_rehearsal(three_zones(9, *faults), tmp_path)
    assert {t[1] for t in transitions(report, "lost")} >= {"l1", "l2"}
    assert requests_run_in(events, 1, 3.5, 6.0) + requests_run_in(events, 2, 3.5, 6.0) >= 60
    assert report["ran_again"] <= 12


def test_limiters_that_disagree_and_a_second_zone_loss_during_the_return(tmp_path):
    faults = [
        # zone a is lost from the point of view of l1 only
        {"at": 1.5, "do": "cut", "who": ["l1"], "other": ["servers:a"], "for_s": 3},
        {"at": 6, "do": "vanish", "who": ["zone:b"], "for_s": 2.5, "told_s": 1},
        {"at": 8.7, "do": "vanish", "who": ["zone:c"], "for_s": 2.5, "told_s": 1},
    ]
    report, events = run_rehearsal(three_zones(13, *faults), tmp_path)
    early = [t for t in transitions(report, "lost") if t[0] < 5.5]
    assert {(t[1], t[2]) for t in early} == {("l1", "a")}
    assert {t[2] for t in transitions(report, "lost", "l0")} == {"b", "c"}
    assert requests_run_in(events, 0, 9.5, 11.0) >= 20


def test_attempts_in_flight_to_a_lost_zone_are_aborted_and_not_repeated_at_full_load(tmp_path):
    # 150 requests/s; the servers' capacity is 100
    full = {**to_table(three_zones(1))["plans"][0], "customers": 15, "demand": 1.0}
    book = {**to_table(three_zones(1))["frontends"][1], "share": 3.0}
    vanish = {"at": 2, "do": "vanish", "who": ["zone:a"], "for_s": 3, "told_s": 1}
    changes = {
        "plans": [full],
        "frontends": [to_table(three_zones(1))["frontends"][0], book],
        "fleet": {**to_table(three_zones(1))["fleet"], "capacity": 1},
    }
    _, events = run_rehearsal(three_zones(6, vanish, **changes), tmp_path)
    aborted = [r for r in events.history.reqs if r.answer == "aborted"]
    assert aborted and all(r.frontend == 1 for r in aborted)
    servers_by_request = {}
    for request, server, *_ in events.history.executions:
        servers_by_request.setdefault(request, []).append(server)
    books = {r.req for r in events.history.reqs if r.frontend == 1}
    assert all(
        len(servers) == 1 for request, servers in servers_by_request.items() if request in books
    )
    denied = [r for r in events.history.reqs if r.answer == "denied" and r.arrived > 30_000]
    assert (
        sum(r.frontend == 0 for r in denied) / max(1, len(denied)) > 0.2
    )  # a quarter of the requests are of frontend `look`


def test_an_invalid_plan_at_sighup_changes_nothing(tmp_path):
    faults = [
        {"at": 1, "do": "hup", "who": ["limiters"], "text": INVALID_PLAN},
        {"at": 2, "do": "vanish", "who": ["zone:a"], "told_s": 1},
    ]
    report, _ = run_rehearsal(three_zones(5, *faults), tmp_path)
    for n in range(3):
        log = (tmp_path / "log" / f"l{n}").read_text()
        assert (
            "key 'plan'" in log and "refuse[0].frontends[0]" in log and "the one held stands" in log
        )
    assert {t[1] for t in transitions(report, "lost")} >= {"l1", "l2"}


def test_zone_that_flaps_changes_state_a_limited_number_of_times(tmp_path):
    flaps = [
        {"at": at, "do": "vanish", "who": ["zone:a"], "for_s": 2, "told_s": -1}
        for at in (1.5, 5.5, 9.5)
    ]
    report, _ = run_rehearsal(three_zones(13, *flaps), tmp_path)
    by_limiter = [
        len([t for t in report["moves"] if t[1] == f"l{n}" and t[2] == "a"]) for n in (1, 2)
    ]
    # for each flap: doubtful, lost, returning, whole
    assert all(2 <= n <= 4 * 3 for n in by_limiter)
