"""How the suite is run: KNOWN-RED.txt passes over what it lists and no more; what runs alone
does.
"""

from __future__ import annotations

import re
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import pytest
from alone import ALONE
from known_red import read

HERE = Path(__file__).parent
TESTS = """
import pytest
def test_good(): pass
def test_red(): assert 1 == 2
def test_other(): assert 1 == 2
@pytest.fixture
def broken(): raise OSError("x")
def test_setup(broken): pass
def test_skips(): pytest.skip("today")
@pytest.mark.parametrize("n", [1, 2])
def test_param(n): assert n == 1
"""
RED = "test_x.py::test_red, it is wrong, and known, issue 7"


def run(place: Path, tests: str, red: str, *more: str) -> tuple[int, str]:
    (place / "test_x.py").write_text(tests)
    (place / "pytest.ini").write_text(f"[pytest]\npythonpath = {HERE}\n")
    (place / "conftest.py").write_text((HERE / "conftest.py").read_text())
    if red:
        (place / "red.txt").write_text(red)
        more = ("--known-red", "red.txt", *more)
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "no:cacheprovider",
        "-p",
        "no:hypothesispytest",
    ]
    went = subprocess.run([*command, *more], cwd=place, capture_output=True, text=True, timeout=60)
    return went.returncode, went.stdout + went.stderr


def test_what_is_listed_is_run_passed_over_and_printed(tmp_path):
    red = f"{RED}\ntest_x.py::test_setup, its setup breaks, #8\ntest_x.py::test_param[2], two, 9\n"
    code, out = run(tmp_path, TESTS, red, "--deselect", "test_x.py::test_other")
    assert code == 0 and out.splitlines()[-1].startswith(
        "2 passed, 1 skipped, 1 deselected, 3 xfailed in"
    )
    assert "test_x.py::test_red: failed, as listed; cause: it is wrong, and known; issue 7" in out


def test_no_other_failure_is_passed_over(tmp_path):
    code, out = run(tmp_path, TESTS, RED)
    assert (
        code == 1
        and "FAILED test_x.py::test_other" in out
        and "FAILED test_x.py::test_red" not in out
    )
    assert "3 failed" not in out and "1 xfailed" in out


@pytest.mark.parametrize(
    "listed, said",
    [
        ("test_good", "PASSED: its line is to go"),
        ("test_skips", "SKIPPED: it is to run"),
        ("test_gone", "NOT THERE"),
    ],
)
def test_a_listed_test_that_does_not_fail_fails_the_run(listed, said, tmp_path):
    code, out = run(
        tmp_path, TESTS, f"test_x.py::{listed}, a cause, issue 7", "-k", "good or skips"
    )
    assert code == 1 and f"test_x.py::{listed}: {said}; cause: a cause" in out


@pytest.mark.parametrize(
    "text, said",
    [
        ("\n".join(f"t.py::test_{n}, a cause, issue 7" for n in range(4)), "4 lines, 3 at most"),
        ("t.py::test_a, issue 7", "line 1 is not"),
        ("t.py::test_a, a cause,", "line 1 is not"),
        ("a cause, issue 7", "line 1 is not"),
        (f"{RED}\n{RED}", "line 2 names a test twice"),
    ],
)
def test_a_file_that_is_no_list_is_refused(text, said):
    with pytest.raises(ValueError, match=said):
        read(text)


def test_a_file_at_fault_ends_the_run_before_any_test(tmp_path):
    code, out = run(tmp_path, TESTS, "test_x.py::test_red, issue 7")
    assert code == 4 and "red.txt: line 1 is not" in out and "passed" not in out


def test_what_is_said_to_run_alone_is_there_or_to_come():
    assert {path.name for path in HERE.rglob("test_*.py")} & ALONE >= ALONE - {"test_scale_run.py"}


def test_every_file_whose_tests_use_sockets_or_processes_runs_alone():
    """But those that start a program and wait for its end, however long that takes."""
    real = re.compile(
        r"\b(Popen|start_server|create_server|ThreadingHTTPServer|StandIn|LimiterHarness)\(|from "
        r"rehearsals import"
    )
    # it names them itself
    others = [path for path in HERE.rglob("test_*.py") if path != Path(__file__)]
    found = {path.name for path in others if real.search(path.read_text())}
    assert found <= ALONE and "test_limiter_on_sockets.py" in found and "test_ctl.py" in found


LOGGED = """
import os, time, pathlib, pytest
@pytest.mark.parametrize("n", range(%d))
def test_it(n):
    began = time.time()
    time.sleep(0.02)
    with open(pathlib.Path(__file__).parent / "log", "a") as log:
        log.write(f"{__name__} {os.getpid()} {began} {time.time()}\\n")
    assert n != 7
"""


@pytest.mark.parametrize("simulated", [0, 1, 12])
def test_what_runs_alone_does_so_after_all_others_and_red_ones_are_known_there_too(
    simulated, tmp_path
):
    (tmp_path / "test_limiter_on_sockets.py").write_text(LOGGED % 8)
    (tmp_path / "test_ctl.py").write_text(LOGGED % 3)
    red = "test_limiter_on_sockets.py::test_it[7], seven, issue 7"
    if simulated > 7:
        red += "\ntest_x.py::test_it[7], seven, issue 7"
    code, out = run(tmp_path, LOGGED % simulated, red, "-n", "3")
    assert code == 0, out
    rows = [line.split() for line in (tmp_path / "log").read_text().splitlines()]
    alone = sorted((float(a), float(b), pid) for name, pid, a, b in rows if name != "test_x")
    others = [float(b) for name, _, _, b in rows if name == "test_x"]
    assert len(alone) == 11 and len(others) == simulated and len({pid for *_, pid in alone}) == 1
    assert all(b <= a for (_, b, _), (a, _, _) in pairwise(alone))
    assert not others or max(others) <= alone[0][0]


@pytest.mark.parametrize("simulated", [2, 14])
def test_a_worker_that_dies_fails_the_run_with_the_name_of_its_test(simulated, tmp_path):
    """Found by trial: replaced, its tests given on by pytest-xdist, the run hung or ran the test
    again.
    """
    dies = LOGGED.replace("    began", "    if n == %d: os._exit(3)\n    began")
    (tmp_path / "test_limiter_on_sockets.py").write_text(dies % (6, 2))
    code, out = run(tmp_path, dies % (simulated, 3), "", "-n", "3", "--max-worker-restart", "0")
    file = "test_x.py::test_it[3]" if simulated > 3 else "test_limiter_on_sockets.py::test_it[2]"
    assert code == 1 and f"crashed while running '{file}'" in out and f"FAILED {file}" in out
