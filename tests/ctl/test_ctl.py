"""The operators' command line, each command in this process; registries stand in on loopback."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import replace

import pytest
from configuration_samples import CONFIG, FILE
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


def route(name, prefix, kind="idempotent", **more):
    usual = {"timeout": "5s", "target_latency": "800ms", "service_name": "alpha"}
    return resource(
        "routes", name, host="h.example", path_prefix=prefix, route_kind=kind, **usual | more
    )


def body(version, *more, key=KEY):
    usual = [route("r-a", "/a/"), resource("services", "alpha")]
    usual.append(resource("tenants", "ann", api_keys=[key], rate_per_s=10, burst_size=5))
    return json.dumps({"version": version, "resources": [*usual, *more]}).encode()


@pytest.fixture
def put(tmp_path):
    def write(name, raw):
        (tmp_path / name).write_bytes(raw)
        return str(tmp_path / name)

    return write


@pytest.fixture
def stand(monkeypatch):
    pauses, made = [], []
    monkeypatch.setattr(calls.time, "sleep", pauses.append)
    monkeypatch.setattr(calls, "SILENCE", 10.0)  # however busy the machine is

    def start(*what):
        made.append(StandIn(*what))
        return made[-1]

    start.pauses = pauses
    yield start
    for one in made:
        one.close()


def test_settings_are_told_or_the_bad_key_is_named(put, capsys):
    assert main(["settings", "check", put("good", FILE.encode())]) == 0
    assert "registry 10.1.0.33:7340, store 10.1.0.33:7341" in capsys.readouterr().out
    assert main(["settings", "check", put("good", FILE.encode()), "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["bounds"]["budget_slack"] == 62
    path = put("bad", FILE.replace("7340,7355", "7340").encode())
    assert main(["settings", "check", path]) == 2
    assert capsys.readouterr().err.startswith(f"loomstand.ctl: {path}: network.internal_ports: ")
    for bad in (
        ["settings", "check", "/nowhere"],
        ["config", "push", path, "--at", "x"],
        ["config"],
    ):
        assert main(bad) == 2
        assert capsys.readouterr().err.count("\n") == 1


def test_an_invalid_configuration_is_one_line_and_an_unwise_one_is_warned_of(put, capsys):
    assert main(["config", "check", put("a", body("r1").replace(b'"5s"', b'"5m"'))]) == 1
    assert "resources[0] route r-a: specification.timeout: '5m'" in capsys.readouterr().err
    assert main(["config", "check", put("a", b"{"), "--json"]) == 1
    assert json.loads(capsys.readouterr().out)["valid"] is False
    assert main(["config", "check", put("a", body("r1"))]) == 0
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
    assert main(["config", "check", put("a", body("r1", *more)), "--json"]) == 0
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
    free = body("r1").replace(b'"rate_per_s": 10', b'"rate_per_s": 0')
    assert main(["config", "check", put("a", free)]) == 0
    assert "tenants: their quotas add up to 0" in capsys.readouterr().out


def test_a_difference_counts_keys_and_tells_what_would_change_nothing(put, capsys):
    old = put("old", body("r3", route("r-gone", "/g/")))
    new = body("r4", route("r-new", "/n/"), key="another").replace(b'"5s"', b'"6s"')
    assert main(["config", "diff", old, put("new", new)]) == 0
    said = capsys.readouterr().out
    for line in (
        "r3 -> r4",
        "  + r-new",
        "  - r-gone",
        "timeout: 5s -> 6s",
        "keys: 1 -> 1: 1 new, 1 gone",
    ):
        assert line in said
    assert KEY not in said and "another" not in said
    assert main(["config", "diff", put("new", new), old, "--json"]) == 1  # r3 would not replace r4
    assert json.loads(capsys.readouterr().out)["tenants"]["changed"]["ann"]["api_keys"]
    assert main(["config", "diff", old, old]) == 0


def test_a_push_goes_on_until_a_clear_answer_and_sends_the_same_each_time(
    put, stand, capsys, monkeypatch
):
    monkeypatch.setattr(calls, "SILENCE", 0.7)
    one, two = stand(body("r1"), (503, b""), (0, b""), (429, b"")), stand(body("r1"))
    one.plan.append((307, b"", {"Location": f"http://{two.at}/api/rpc?call=configuration.replace"}))
    path = put("new", body("r2"))
    assert main(["config", "push", path, "--at", one.at, "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["in_force"] == "r2"
    assert {sent for _, sent in (*one.calls[:4], two.calls[0])} == {
        body("r2")
    } and two.held == body("r2")
    assert len(stand.pauses) == 3 and stand.pauses == sorted(stand.pauses) and stand.pauses[0] < 0.2
    circle = stand(body("r1"))
    circle.plan = [(307, b"", {"Location": f"http://{circle.at}/x"})] * 3
    # it follows twice, then moves on
    assert main(["config", "push", path, "--at", circle.at, two.at]) == 0
    assert len(circle.calls) == 3 + 1 and capsys.readouterr().out.startswith("r2 is in force, ")


def test_a_push_ends_at_a_refusal_and_tells_what_is_not_in_force(put, stand, capsys):
    no = stand(body("r1"), (400, b'{"error": "so\\nand so"}'))
    assert (
        main(["config", "push", put("new", body("r2")), "--at", no.at]) == 1 and len(no.calls) == 1
    )
    assert capsys.readouterr().err.endswith(f"refused: {no.at} says 400: so and so\n")
    no.plan = [(404, b"")] * 3 + [(200, b"")]
    assert (
        main(["config", "push", put("new", body("r2")), "--at", no.at]) == 1 and len(no.calls) == 4
    )
    later = stand(body("r9"))
    assert main(["config", "push", put("new", body("r2")), "--at", later.at]) == 1
    assert capsys.readouterr().out.startswith("r9 is in force and r2 is not")
    assert main(["config", "push", put("new", body("r9", key="other")), "--at", later.at]) == 1
    assert "with other contents" in capsys.readouterr().out
    assert (
        main(["config", "push", put("bad", b"{}"), "--at", later.at]) == 2 and len(later.calls) == 4
    )
    gone = stand(b"", *[(503, b"")] * 99)
    args = ["config", "push", put("new", body("r2")), "--within", "50ms", "--at", gone.at]
    assert main(args) == 1 and "may be in force all the same" in capsys.readouterr().err


def test_what_is_read_has_its_keys_masked_and_is_not_pushed_so(put, stand, capsysbinary):
    one = stand(CONFIG)
    assert main(["config", "read", "--at", one.at]) == 0
    said = capsysbinary.readouterr().out
    specs = [r.get("specification", {}) for r in json.loads(CONFIG)["resources"]]
    assert b"(masked 1)" in said and not any(
        k.encode() in said for s in specs for k in s.get("api_keys", ())
    )
    assert main(["config", "check", put("masked", said)]) == 0
    assert (
        main(["config", "push", put("masked", said), "--at", one.at]) == 2 and len(one.calls) == 1
    )
    capsysbinary.readouterr()
    assert main(["config", "read", "--keys", "--at", one.at]) == 0
    assert capsysbinary.readouterr().out == CONFIG


def test_status_of_a_whole_town_is_shown_and_disagreement_is_told(stand, capsys):
    cluster = Cluster(proxies=2)
    cluster.run(cluster.start())
    cluster.wait(2.0)
    asked = (b"POST", b"/api/rpc?call=system.status", b"")
    got = [cluster.run(cluster.registry(ip).handle_http(*asked)) for ip in cluster.core_ips]
    told = [json.loads(raw) for code, raw in got if code == 200]
    cluster.close()
    assert len(told) == 3 and sum(t["counting"]["here"] for t in told) == 1
    assert told[0]["servers"] == {"alpha": {"ready": 3}, "beta": {"ready": 3}}
    assert told[0]["cores"] == ["10.1.0.1:8783", "10.1.0.2:8783", "10.1.0.3:8783"]
    assert b"key-of-ann" not in b"".join(raw for _, raw in got)
    stands = [stand() for _ in told]
    for one, here in zip(stands, told, strict=True):
        one.status = here | {"cores": [s.at for s in stands]}  # the command learns of all by one
    assert main(["status", "--at", stands[0].at]) == 0
    said = capsys.readouterr().out
    assert all(s.at in said for s in stands) and max(map(len, said.splitlines())) <= 80
    assert (
        f"epoch {told[0]['store']['epoch']}, primary 10.1.0." in said
        and "\nalpha: 3 ready\n" in said
    )
    stands[1].status["configuration"]["version"] = "r0"
    assert main(["status", "--at", stands[0].at, "--json"]) == 1
    assert "different versions" in json.loads(capsys.readouterr().out)["problems"][0]
    assert status.AGAIN in stand.pauses  # it looked twice
    stands[1].status = told[0]
    for one in stands:
        one.status["store"] = None
    stands[2].plan = [(404, b'{"error": "no call"}')]
    assert main(["status", "--at", stands[0].at]) == 1
    said = capsys.readouterr().out
    assert "WRONG: no primary" in said and f"{stands[2].at} gives no status" in said


def test_a_rescue_is_shown_and_done_once_all_see_the_same_and_the_word_is_given(stand, capsys):
    names = [Member(i, (f"10.1.0.{n}", 7341)) for n, i in enumerate("abcd", 1)]
    seeds, view = [m.address for m in names[:3]], View(3, names[0], names[1], tuple(names[:3]))
    left = [
        MemberReport(m, MemberState.HEALTHY, False, 60.0, 0.0, 3, view, 7, 0, 0) for m in names[2:]
    ]
    gone, one = ["10.1.0.1", "10.1.0.2"], stand()
    one.status = {
        "life": "x",
        "name": "n",
        "configuration": {"version": "r7", "sure": False},
        "servers": {},
        "store": None,
        "counting": {"here": False, "by": None},
        "limiters": {"present": [], "missing": []},
        "cores": [one.at],
    }
    waits, due = (to_builtins(make_case(left, who, seeds).to_message()) for who in ([], gone))
    one.held = json.dumps({"case": waits}).encode()
    assert main(["core", "rescue", "--at", one.at, "--yes"]) == 1
    said = capsys.readouterr().out
    assert (
        "waits: 10.1.0.1 doesn't answer" in said
        and "(--gone 10.1.0.2)" in said
        and len(one.calls) == 2
    )
    one.held = json.dumps({"case": due}).encode()
    words = ["core", "rescue", "--at", one.at, "--gone", *gone]
    assert main(words) == 1  # due, and nobody gave the word
    assert "`--yes` founds the store anew at 10.1.0.3, with r7" in capsys.readouterr().out
    done = {
        "epoch": 1000003,
        "version": "r7",
        "primary": "10.1.0.3",
        "backup": "10.1.0.4",
        "voters": gone,
    }
    plan = [(200, json.dumps(one.status).encode()), (200, one.held)]
    one.plan = [*plan, (200, json.dumps({"done": done}).encode())]
    assert main([*words, "--yes"]) == 0
    assert "founded: epoch 1000003, r7 in force, primary 10.1.0.3" in capsys.readouterr().out
    assert json.loads(one.calls[-1][1]) == {"gone": gone, "token": due["token"]}
    for answer, why in (
        ((409, b'{"error": "look again"}'), "nothing was founded"),
        ((200, b"{}"), "status"),
    ):
        one.plan = [*plan, answer]
        assert main([*words, "--yes"]) == 1
        assert why in capsys.readouterr().err
    other, before = stand(), len(one.calls)
    one.status["cores"].append(other.at)
    other.status, other.held = one.status | {"life": "y"}, json.dumps({"case": waits}).encode()
    assert main([*words, "--yes"]) == 1
    assert "don't see the same" in capsys.readouterr().out and len(one.calls) == before + 2
    serving = to_builtins(make_case([replace(left[0], lease_seconds=1.0)], [], seeds).to_message())
    one.held = other.held = json.dumps({"case": serving}).encode()
    assert main(words[:4]) == 0 and main([*words[:4], "--yes"]) == 1


def test_no_daemon_imports_it_and_a_command_only_what_it_needs():
    text = (  # in another process: this one has imported it all
        "import sys, loomstand.proxy.program, loomstand.registry.process, loomstand.store.program\n"
        "assert not {m for m in sys.modules if m.startswith(('cappa', 'rich', 'loomstand.ctl'))}\n"
        "from loomstand.ctl.commands import main\n"
        "assert not {'loomstand.ctl.calls', 'loomstand.ctl.files'} & sys.modules.keys()\n"
        "main(['status', '--help'])"
    )
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert "Exit codes: 0 fine, 1 no primary" in done.stdout
