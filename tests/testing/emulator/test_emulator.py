"""Emulator: violations of each rule are reported, runs are deterministic, errors name the key."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from loomstand.admission.actions import Abort, Reject, SendAttempt
from loomstand.admission.events import AttemptEnded, EndpointsUpdated, RequestArrived
from loomstand.cli.main import main
from loomstand.testing.emulator import runner
from loomstand.testing.emulator import scenario as sc
from loomstand.testing.emulator.baselines import Naive

EXAMPLES = Path(__file__).parents[3] / "examples" / "lab"


def small_scenario(**over) -> sc.Scenario:
    table = {
        "name": "t",
        "seconds": 3,
        "baselines": [],
        "fleet": {"limiters": 3, "servers": 4},
        "frontends": [{"name": "look"}],
        "plans": [{"name": "basic", "rate": 5, "burst": 10, "customers": 10}],
    }
    table.update(over)
    return sc.from_table(table)


def violated_rules(scenario: sc.Scenario, policy) -> set[int]:
    policy_run = runner.run_policy(
        scenario,
        "faulty",
        1,
        lambda fleet, index, settings, seed: policy(fleet, index, settings, seed),
    )
    return {b.rule for b in policy_run.verdict.violations}


class FaultyAnswers(Naive):
    """Violates rule 1: each third request gets no answer, each fifth gets two."""

    def handle(self, now, event):
        if isinstance(event, RequestArrived):
            if event.request_id % 3 == 0:
                return []
            if event.request_id % 5 == 0:
                return [Reject(event.request_id), Reject(event.request_id)]
        return super().handle(now, event)


class RepeatedExecution(Naive):
    """Violates rule 2: sends a non-idempotent request again after its execution."""

    def handle(self, now, event):
        if isinstance(event, RequestArrived):
            return [SendAttempt(event.request_id, self.live[0], event.deadline)]
        if isinstance(event, AttemptEnded) and event.attempt == 0:
            return [SendAttempt(event.request_id, self.live[1], now + 10_000)]
        if isinstance(event, AttemptEnded):
            return [] if event.is_final else [Abort(event.request_id)]
        return super().handle(now, event)


class IgnoredUpdates(Naive):
    """Violates rule 3: ignores all endpoint lists after the first, also for draining servers."""

    def handle(self, now, event):
        if isinstance(event, EndpointsUpdated) and self.live:
            return []
        return super().handle(now, event)


class SingleServer(Naive):
    """Violates rule 4: sends all requests to server 0, also while it is cold."""

    def handle(self, now, event):
        if isinstance(event, RequestArrived):
            return [SendAttempt(event.request_id, 0, event.deadline)]
        return super().handle(now, event)


class NoQuota(Naive):
    """Violates rule 5: admits all requests."""

    def handle(self, now, event):
        if isinstance(event, RequestArrived):
            return [
                SendAttempt(
                    event.request_id, self.live[event.request_id % len(self.live)], event.deadline
                )
            ]
        return super().handle(now, event)


def test_rule_1_reports_requests_with_no_answer_or_two():
    scenario = small_scenario()
    policy_run = runner.run_policy(scenario, "faulty", 1, FaultyAnswers)
    details = {b.what for b in policy_run.verdict.violations if b.rule == 1}
    assert {"no final answer", "2 final answers"} <= details
    assert all(b.req > 0 and b.limiter >= 0 for b in policy_run.verdict.violations)


class Raising(Naive):
    """Raises an error at request 4."""

    def handle(self, now, event):
        if isinstance(event, RequestArrived) and event.request_id == 4:
            raise KeyError("made to fail")
        return super().handle(now, event)


def test_an_error_of_a_policy_is_recorded_and_fails_the_run():
    policy_run = runner.run_policy(small_scenario(), "faulty", 1, Raising)
    assert policy_run.history.errors and "made to fail" in policy_run.history.errors[0][1]
    assert not policy_run.summary["held"]


def test_rule_2_reports_a_repeated_non_idempotent_request():
    scenario = small_scenario(frontends=[{"name": "book", "effect": "side_effect"}])
    assert 2 in violated_rules(scenario, RepeatedExecution)


def test_rule_3_reports_attempts_at_a_draining_server_after_the_grace():
    scenario = small_scenario(
        seconds=4,
        faults=[{"at": 1, "kind": "drain_servers", "share": 0.5}],
        fleet={"limiters": 3, "servers": 4, "drain_grace_ms": 200},
    )
    assert 3 in violated_rules(scenario, IgnoredUpdates)


def test_rule_4_reports_the_overload_of_a_cold_server():
    scenario = small_scenario(
        seconds=4,
        fleet={"limiters": 3, "servers": 2, "queue": 400},
        plans=[{"name": "basic", "rate": 10, "burst": 20, "customers": 60}],
        faults=[{"at": 1, "kind": "crash_servers", "share": 1.0, "for_s": 0.5}],
    )
    assert 4 in violated_rules(scenario, SingleServer)


def test_rule_5_reports_an_exceeded_ceiling():
    scenario = small_scenario(
        plans=[
            {
                "name": "atelier",
                "rate": 5,
                "burst": 5,
                "customers": 3,
                "demand": 4,
                "ceiling_rate": 5,
                "ceiling_depth": 5,
                "ceiling_slack": 2,
            }
        ]
    )
    assert 5 in violated_rules(scenario, NoQuota)


def test_the_decision_engine_keeps_every_rule():
    report = runner.run(sc.load(str(EXAMPLES / "small.toml")))
    assert report["held"], report["runs"]["brain"]["breaks"]
    assert 0.0 < report["G_over_oracle"] <= 1.05
    assert report["runs"]["brain"]["counts"]["unanswered"] == 0


def test_the_same_scenario_and_seed_give_the_same_digest():
    scenario = small_scenario(faults=[{"at": 1, "kind": "kill_limiters", "share": 0.5, "for_s": 1}])
    a, b, c = runner.run(scenario, 7), runner.run(scenario, 7), runner.run(scenario, 8)
    assert a["digest"] == b["digest"] != c["digest"]


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"fleet": {"limitres": 3}}, "fleet.limitres"),
        ({"faults": [{"at": 1, "kind": "crash_servers", "share": 2}]}, "faults[0].share"),
        ({"faults": [{"at": 1, "kind": "lose_zone"}]}, "faults[0].zone"),
        ({"faults": [{"at": 1, "kind": "flood_plan", "plan": "gold"}]}, "faults[0].plan"),
    ],
)
def test_the_error_names_the_invalid_key(change, key):
    with pytest.raises(sc.ScenarioError, match=rf"key '{key.replace('[', '.').replace(']', '.')}'"):
        small_scenario(**change)


def test_the_command_line_runs_and_plots(tmp_path):
    out = tmp_path / "run"
    result = CliRunner().invoke(
        main, ["lab", "run", str(EXAMPLES / "small.toml"), "--out", str(out), "--plot"]
    )
    assert result.exit_code == 0, result.output
    assert {p.name for p in out.iterdir()} >= {
        "report.json",
        "goodput.png",
        "plans.png",
        "load.png",
    }
    bad = tmp_path / "bad.toml"
    bad.write_text('name = "x"\nsecond = 3\n')
    result = CliRunner().invoke(main, ["lab", "run", str(bad)])
    assert result.exit_code == 1 and "key 'second'" in result.output


def test_a_sweep_writes_one_report_per_value(tmp_path):
    scenario = tmp_path / "s.toml"
    scenario.write_text('name = "s"\nseconds = 2\nbaselines = ["oracle"]\n')
    result = CliRunner().invoke(
        main,
        [
            "lab",
            "sweep",
            str(scenario),
            "--set",
            "fleet.limiters=1,3",
            "--out",
            str(tmp_path / "sw"),
            "--workers",
            "1",
        ],
    )
    assert result.exit_code == 0, result.output
    assert (tmp_path / "sw" / "sweep.png").exists() and (
        tmp_path / "sw" / "point-1" / "report.json"
    ).exists()


@pytest.mark.parametrize("kind", sc.Kind.__args__)
def test_the_decision_engine_keeps_the_rules_under_each_fault(kind):
    fault = {"at": 1, "kind": kind, "share": 0.5, "for_s": 1, "zone": "b", "plan": "basic"}
    scenario = small_scenario(
        seconds=3, fleet={"limiters": 3, "servers": 6, "zones": ["a", "b"]}, faults=[fault]
    )
    policy_run = runner.run_policy(scenario, "brain", 3)
    assert policy_run.summary["held"], (policy_run.summary["breaks"], policy_run.summary["crashes"])


def test_the_oracle_enforces_a_ceiling_below_the_quota():
    scenario = small_scenario(
        baselines=["oracle"],
        plans=[
            {
                "name": "atelier",
                "rate": 10,
                "burst": 10,
                "customers": 3,
                "demand": 2,
                "ceiling_rate": 4,
                "ceiling_depth": 4,
                "ceiling_slack": 0,
            }
        ],
    )
    policy_run = runner.run_policy(scenario, "oracle", 1)
    assert (
        policy_run.summary["held"] and policy_run.summary["plans"][0]["passed_per_s"] <= 3 * 4 * 1.5
    )


def test_fleet_count_sums_the_counters_in_the_limiters_logs(tmp_path: Path):
    from benchmarks.fleet_count import main as count

    first = "1.5 n0: ceiling 2, old total 3, sent 4, window 9.9\n2.0 n0: discovery: status 503\n"
    (tmp_path / "n0.log").write_text(first)
    (tmp_path / "n1.log").write_text(
        "6.0 n1: ceiling 1, window 2.0\n7.0 n1: connections: 1 from clients, 2 to servers; "
        "ended: server refused 5; 0.3 s of CPU, 9 turns since the start\nspoilt line\n"
    )
    output = CliRunner().invoke(count, [str(tmp_path)]).output
    rows = {line[:28].strip(): line[28:].split() for line in output.splitlines()[1:]}
    assert rows["ceiling"] == ["3", "|", "2", "1"] and rows["server refused"] == [
        "5",
        "|",
        "0",
        "5",
    ]
    assert rows["discovery turned away"] == ["1", "|", "1", "0"] and rows["old total"][0] == "3"
