"""The operators' command line, run in this process against stand-in registries on loopback."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import replace

import pytest
from configuration_samples import CONFIG, SETTINGS_TEXT
from msgspec import to_builtins
from standin import StandIn

from loomstand.ctl import calls, status
from loomstand.ctl.commands import main
from loomstand.store.member_report import MemberReport
from loomstand.store.peers import MemberState
from loomstand.store.rescue import make_case
from loomstand.store.views import Member, View
from loomstand.testing.simulation.cluster import Cluster

KEY = "ctnfzs989anu6wsjnban"


def resource(kind, name, **spec):
    return {"resource_kind": kind, "metadata": {"name": name}, "specification": spec}


def route(name, prefix, kind="idempotent", **overrides):
    defaults = {"timeout": "5s", "target_latency": "800ms", "service_name": "alpha"}
    return resource(
        "routes",
        name,
        host="h.example",
        path_prefix=prefix,
        route_kind=kind,
        **defaults | overrides,
    )


def configuration(version, *more, key=KEY):
    """A configuration with one route, service and tenant, and `more` resources."""
    resources = [route("r-a", "/a/"), resource("services", "alpha")]
    resources.append(resource("tenants", "ann", api_keys=[key], rate_per_s=10, burst_size=5))
    return json.dumps({"version": version, "resources": [*resources, *more]}).encode()


@pytest.fixture
def write_file(tmp_path):
    def write(name, raw):
        (tmp_path / name).write_bytes(raw)
        return str(tmp_path / name)

    return write


@pytest.fixture
def start_registry(monkeypatch):
    """Starts a stand-in registry; delays of commands are recorded in `delays` and take no time."""
    delays, started = [], []
    monkeypatch.setattr(calls.time, "sleep", delays.append)
    # a timeout that isn't reached on a busy machine either
    monkeypatch.setattr(calls, "READ_TIMEOUT_SECONDS", 10.0)

    def start(*args):
        started.append(StandIn(*args))
        return started[-1]

    start.delays = delays
    yield start
    for registry in started:
        registry.close()


def test_settings_check_prints_the_settings_or_the_invalid_key(write_file, capsys):
    assert main(["settings", "check", write_file("good", SETTINGS_TEXT.encode())]) == 0
    assert "registry 10.1.0.33:7340, store 10.1.0.33:7341" in capsys.readouterr().out
    assert main(["settings", "check", write_file("good", SETTINGS_TEXT.encode()), "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["bounds"]["budget_slack"] == 62
    path = write_file("bad", SETTINGS_TEXT.replace("7340,7355", "7340").encode())
    assert main(["settings", "check", path]) == 2
    assert capsys.readouterr().err.startswith(f"loomstand.ctl: {path}: network.internal_ports: ")
    for bad in (
        ["settings", "check", "/nowhere"],
        ["config", "push", path, "--at", "x"],
        ["config"],
    ):
        assert main(bad) == 2
        assert capsys.readouterr().err.count("\n") == 1


def test_config_check_reports_an_invalid_configuration_in_one_line_and_warns_of_an_unwise_one(
    write_file, capsys
):
    assert (
        main(["config", "check", write_file("a", configuration("r1").replace(b'"5s"', b'"5m"'))])
        == 1
    )
    assert "resources[0] route r-a: specification.timeout: '5m'" in capsys.readouterr().err
    assert main(["config", "check", write_file("a", b"{"), "--json"]) == 1
    assert json.loads(capsys.readouterr().out)["valid"] is False
    assert main(["config", "check", write_file("a", configuration("r1"))]) == 0
    assert capsys.readouterr().out == "valid: r1, 1 route, 1 service, 1 tenant; 0 warnings\n"
    split = [{"service_name": "alpha", "weight": 1}, {"service_name": "beta", "weight": 0}]
    more = [
        route("r-same", "/a/b/"),
        route("r-other", "/a/c/", "non_idempotent", maximum_attempts=3),
        route("r-late", "/l/", timeout="500ms"),
        route("r-zero", "/z/", target_latency="0s", public=True),
        route("r-split", "/s/", traffic_split=split),
        route("r-never", "/q?/"),
        resource("services", "beta"),
        resource("services", "gamma"),
        resource("tenants", "bob"),
    ]
    assert main(["config", "check", write_file("a", configuration("r1", *more)), "--json"]) == 0
    places = [w["place"] for w in json.loads(capsys.readouterr().out)["warnings"]]
    assert {tuple(place.split(" ", 1)[-1].split(": specification.")) for place in places} == {
        ("route r-same", "path_prefix"),
        ("route r-other", "maximum_attempts"),
        ("route r-late", "timeout"),
        ("route r-zero", "target_latency"),
        ("route r-zero", "public"),
        ("route r-split", "service_name"),
        ("route r-split", "traffic_split[1]"),
        ("route r-never", "path_prefix"),
        ("service gamma",),
        ("tenant bob", "api_keys"),
        ("tenant bob", "rate_per_s"),
    }
    free = configuration("r1").replace(b'"rate_per_s": 10', b'"rate_per_s": 0')
    assert main(["config", "check", write_file("a", free)]) == 0
    assert "tenants: their quotas add up to 0" in capsys.readouterr().out


def test_config_diff_counts_keys_and_reports_a_version_that_is_not_higher(write_file, capsys):
    old = write_file("old", configuration("r3", route("r-gone", "/g/")))
    new = configuration("r4", route("r-new", "/n/"), key="another").replace(b'"5s"', b'"6s"')
    assert main(["config", "diff", old, write_file("new", new)]) == 0
    output = capsys.readouterr().out
    for line in (
        "r3 -> r4",
        "  + r-new",
        "  - r-gone",
        "timeout: 5s -> 6s",
        "keys: 1 -> 1: 1 new, 1 gone",
    ):
        assert line in output
    assert KEY not in output and "another" not in output
    # r3 would not replace r4
    assert main(["config", "diff", write_file("new", new), old, "--json"]) == 1
    assert json.loads(capsys.readouterr().out)["tenants"]["changed"]["ann"]["api_keys"]
    assert main(["config", "diff", old, old]) == 0


def test_push_retries_with_the_same_body_until_a_clear_answer(
    write_file, start_registry, capsys, monkeypatch
):
    monkeypatch.setattr(calls, "READ_TIMEOUT_SECONDS", 0.7)
    first, second = (
        start_registry(configuration("r1"), (503, b""), (0, b""), (429, b"")),
        start_registry(configuration("r1")),
    )
    first.plan.append(
        (307, b"", {"Location": f"http://{second.at}/api/rpc?call=configuration.replace"})
    )
    path = write_file("new", configuration("r2"))
    assert main(["config", "push", path, "--at", first.at, "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["in_force"] == "r2"
    assert {sent for _, sent in (*first.calls[:4], second.calls[0])} == {
        configuration("r2")
    } and second.stored == configuration("r2")
    assert (
        len(start_registry.delays) == 3
        and start_registry.delays == sorted(start_registry.delays)
        and start_registry.delays[0] < 0.2
    )
    looping = start_registry(configuration("r1"))
    looping.plan = [(307, b"", {"Location": f"http://{looping.at}/x"})] * 3
    # two redirects are followed, then the next address is tried
    assert main(["config", "push", path, "--at", looping.at, second.at]) == 0
    assert len(looping.calls) == 3 + 1 and capsys.readouterr().out.startswith("r2 is in force, ")


def test_push_ends_at_a_refusal_and_reports_what_is_not_in_force(
    write_file, start_registry, capsys
):
    refusing = start_registry(configuration("r1"), (400, b'{"error": "so\\nand so"}'))
    assert (
        main(["config", "push", write_file("new", configuration("r2")), "--at", refusing.at]) == 1
        and len(refusing.calls) == 1
    )
    assert capsys.readouterr().err.endswith(f"refused: {refusing.at} says 400: so and so\n")
    refusing.plan = [(404, b"")] * 3 + [(200, b"")]
    assert (
        main(["config", "push", write_file("new", configuration("r2")), "--at", refusing.at]) == 1
        and len(refusing.calls) == 4
    )
    newer = start_registry(configuration("r9"))
    assert main(["config", "push", write_file("new", configuration("r2")), "--at", newer.at]) == 1
    assert capsys.readouterr().out.startswith("r9 is in force and r2 is not")
    assert (
        main(
            [
                "config",
                "push",
                write_file("new", configuration("r9", key="other")),
                "--at",
                newer.at,
            ]
        )
        == 1
    )
    assert "with other contents" in capsys.readouterr().out
    assert (
        main(["config", "push", write_file("bad", b"{}"), "--at", newer.at]) == 2
        and len(newer.calls) == 4
    )
    unavailable = start_registry(b"", *[(503, b"")] * 99)
    args = [
        "config",
        "push",
        write_file("new", configuration("r2")),
        "--within",
        "50ms",
        "--at",
        unavailable.at,
    ]
    assert main(args) == 1 and "may be in force all the same" in capsys.readouterr().err


def test_config_read_masks_keys_and_push_refuses_masked_keys(
    write_file, start_registry, capsysbinary
):
    registry = start_registry(CONFIG)
    assert main(["config", "read", "--at", registry.at]) == 0
    output = capsysbinary.readouterr().out
    specs = [r.get("specification", {}) for r in json.loads(CONFIG)["resources"]]
    assert b"(masked 1)" in output and not any(
        k.encode() in output for s in specs for k in s.get("api_keys", ())
    )
    assert main(["config", "check", write_file("masked", output)]) == 0
    assert (
        main(["config", "push", write_file("masked", output), "--at", registry.at]) == 2
        and len(registry.calls) == 1
    )
    capsysbinary.readouterr()
    assert main(["config", "read", "--keys", "--at", registry.at]) == 0
    assert capsysbinary.readouterr().out == CONFIG


def test_status_of_a_cluster_is_printed_and_different_versions_are_reported(start_registry, capsys):
    cluster = Cluster(proxies=2)
    cluster.run(cluster.start())
    cluster.wait(2.0)
    request = (b"POST", b"/api/rpc?call=system.status", b"")
    responses = [cluster.run(cluster.registry(ip).handle_http(*request)) for ip in cluster.core_ips]
    reports = [json.loads(raw) for code, raw in responses if code == 200]
    cluster.close()
    assert len(reports) == 3 and sum(report["counting"]["here"] for report in reports) == 1
    assert reports[0]["servers"] == {"alpha": {"ready": 3}, "beta": {"ready": 3}}
    assert reports[0]["cores"] == ["10.1.0.1:8783", "10.1.0.2:8783", "10.1.0.3:8783"]
    assert b"key-of-ann" not in b"".join(raw for _, raw in responses)
    registries = [start_registry() for _ in reports]
    for registry, report in zip(registries, reports, strict=True):
        # each report names all registries, as only one address is passed to the command
        registry.status = report | {"cores": [other.at for other in registries]}
    assert main(["status", "--at", registries[0].at]) == 0
    output = capsys.readouterr().out
    assert (
        all(registry.at in output for registry in registries)
        and max(map(len, output.splitlines())) <= 80
    )
    assert (
        f"epoch {reports[0]['store']['epoch']}, primary 10.1.0." in output
        and "\nalpha: 3 ready\n" in output
    )
    registries[1].status["configuration"]["version"] = "r0"
    assert main(["status", "--at", registries[0].at, "--json"]) == 1
    assert "different versions" in json.loads(capsys.readouterr().out)["problems"][0]
    assert status.RECHECK_DELAY_SECONDS in start_registry.delays  # the command queried them twice
    registries[1].status = reports[0]
    for registry in registries:
        registry.status["store"] = None
    registries[2].plan = [(404, b'{"error": "no call"}')]
    assert main(["status", "--at", registries[0].at]) == 1
    output = capsys.readouterr().out
    assert "WRONG: no primary" in output and f"{registries[2].at} gives no status" in output


def test_rescue_runs_only_with_yes_and_when_all_core_machines_report_the_same(
    start_registry, capsys
):
    members = [Member(i, (f"10.1.0.{n}", 7341)) for n, i in enumerate("abcd", 1)]
    seeds, view = (
        [m.address for m in members[:3]],
        View(3, members[0], members[1], tuple(members[:3])),
    )
    reports = [
        MemberReport(m, MemberState.HEALTHY, False, 60.0, 0.0, 3, view, 7, 0, 0)
        for m in members[2:]
    ]
    gone, registry = ["10.1.0.1", "10.1.0.2"], start_registry()
    registry.status = {
        "life": "x",
        "name": "n",
        "configuration": {"version": "r7", "sure": False},
        "servers": {},
        "store": None,
        "counting": {"here": False, "by": None},
        "limiters": {"present": [], "missing": []},
        "cores": [registry.at],
    }
    waiting, due = (
        to_builtins(make_case(reports, hosts, seeds).to_message()) for hosts in ([], gone)
    )
    registry.stored = json.dumps({"case": waiting}).encode()
    assert main(["core", "rescue", "--at", registry.at, "--yes"]) == 1
    output = capsys.readouterr().out
    assert (
        "waits: 10.1.0.1 doesn't answer" in output
        and "(--gone 10.1.0.2)" in output
        and len(registry.calls) == 2
    )
    registry.stored = json.dumps({"case": due}).encode()
    args = ["core", "rescue", "--at", registry.at, "--gone", *gone]
    assert main(args) == 1  # a rescue is due, but not confirmed with `--yes`
    assert "`--yes` re-founds the store at 10.1.0.3, with r7" in capsys.readouterr().out
    done = {
        "epoch": 1000003,
        "version": "r7",
        "primary": "10.1.0.3",
        "backup": "10.1.0.4",
        "voters": gone,
    }
    plan = [(200, json.dumps(registry.status).encode()), (200, registry.stored)]
    registry.plan = [*plan, (200, json.dumps({"done": done}).encode())]
    assert main([*args, "--yes"]) == 0
    assert "founded: epoch 1000003, r7 in force, primary 10.1.0.3" in capsys.readouterr().out
    assert json.loads(registry.calls[-1][1]) == {"gone": gone, "token": due["token"]}
    for answer, message in (
        ((409, b'{"error": "look again"}'), "nothing was founded"),
        ((200, b"{}"), "status"),
    ):
        registry.plan = [*plan, answer]
        assert main([*args, "--yes"]) == 1
        assert message in capsys.readouterr().err
    other, calls_before = start_registry(), len(registry.calls)
    registry.status["cores"].append(other.at)
    other.status, other.stored = (
        registry.status | {"life": "y"},
        json.dumps({"case": waiting}).encode(),
    )
    assert main([*args, "--yes"]) == 1
    assert (
        "don't see the same" in capsys.readouterr().out and len(registry.calls) == calls_before + 2
    )
    serving = to_builtins(
        make_case([replace(reports[0], lease_seconds=1.0)], [], seeds).to_message()
    )
    registry.stored = other.stored = json.dumps({"case": serving}).encode()
    assert main(args[:4]) == 0 and main([*args[:4], "--yes"]) == 1


def test_daemons_do_not_import_the_command_line_and_commands_import_only_what_they_need():
    code = (  # in another process, as this one has imported all modules
        "import sys, loomstand.proxy.program, loomstand.registry.process, loomstand.store.program\n"
        "assert not {m for m in sys.modules if m.startswith(('cappa', 'rich', 'loomstand.ctl'))}\n"
        "from loomstand.ctl.commands import main\n"
        "assert not {'loomstand.ctl.calls', 'loomstand.ctl.files'} & sys.modules.keys()\n"
        "main(['status', '--help'])"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert "Exit codes: 0 fine, 1 no primary" in process.stdout
