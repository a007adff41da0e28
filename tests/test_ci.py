"""Tests of the plugins that run the suite: known failures, and the files that run alone."""

from __future__ import annotations

import re
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import pytest
from alone import ALONE
from known_red import read_known_failures

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
RED = "test_x.py::test_red | `pytest`, seed 3 | it is wrong, and known | issue 7"


def red_line(case: str, seen: str = "a cause") -> str:
    return f"{case} | `pytest` | {seen} | issue 7"


def run_pytest(folder: Path, tests: str, known_red: str, *more: str) -> tuple[int, str]:
    (folder / "test_x.py").write_text(tests)
    (folder / "pytest.ini").write_text(f"[pytest]\npythonpath = {HERE}\n")
    (folder / "conftest.py").write_text((HERE / "conftest.py").read_text())
    if known_red:
        (folder / "red.txt").write_text(known_red)
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
    done = subprocess.run([*command, *more], cwd=folder, capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout + done.stderr


def test_listed_tests_are_run_and_their_failures_are_expected_and_printed(tmp_path):
    red = "\n".join((RED, red_line("test_x.py::test_setup"), red_line("test_x.py::test_param[2]")))
    code, out = run_pytest(tmp_path, TESTS, red, "--deselect", "test_x.py::test_other")
    assert code == 0 and out.splitlines()[-1].startswith(
        "2 passed, 1 skipped, 1 deselected, 3 xfailed in"
    )
    assert (
        "test_x.py::test_red: failed, as listed; `pytest`, seed 3: it is wrong, and known; issue 7"
        in out
    )


def test_failures_that_are_not_listed_fail_the_run(tmp_path):
    code, out = run_pytest(tmp_path, TESTS, RED)
    assert (
        code == 1
        and "FAILED test_x.py::test_other" in out
        and "FAILED test_x.py::test_red" not in out
    )
    assert "3 failed" not in out and "1 xfailed" in out


@pytest.mark.parametrize(
    "listed, outcome",
    [
        ("test_good", "PASSED: remove its line"),
        ("test_skips", "SKIPPED: a listed test must run"),
        ("test_gone", "MISSING"),
    ],
)
def test_a_listed_test_that_does_not_fail_fails_the_run(listed, outcome, tmp_path):
    code, out = run_pytest(tmp_path, TESTS, red_line(f"test_x.py::{listed}"), "-k", "good or skips")
    assert code == 1 and f"test_x.py::{listed}: {outcome}; `pytest`: a cause; issue 7" in out


def test_a_listed_case_that_is_no_test_is_printed_and_excuses_nothing(tmp_path):
    red = f"{RED}\n{red_line('soak, seed 602')}\n{red_line('test_other, beside load')}"
    code, out = run_pytest(tmp_path, TESTS, red, "-k", "good or red")
    assert code == 0 and "soak, seed 602: no test, not run; `pytest`: a cause; issue 7" in out
    code, out = run_pytest(tmp_path, TESTS, red, "-k", "good or red or other")
    assert code == 1 and "FAILED test_x.py::test_other" in out


@pytest.mark.parametrize(
    "text, error",
    [
        ("t.py::test_a | `pytest` | issue 7", "line 1 is not"),
        ("t.py::test_a | `pytest` | a cause", "line 1 is not"),
        ("t.py::test_a | `pytest` | a cause |", "line 1 is not"),
        ("t.py::test_a | `pytest` | a cause | soon", "line 1 is not"),
        ("t.py::test_a | | a cause | issue 7", "line 1 is not"),
        ("| `pytest` | a cause | issue 7", "line 1 is not"),
        ("a cause, issue 7", "line 1 is not"),
        ("t.py::test_a, a cause, issue 7", "line 1 is not"),
        (f"{RED}\nt.py::test_a, a cause, issue 7", "line 2 is not"),
        (f"{RED}\n{RED}", "line 2 names a case twice"),
    ],
)
def test_an_invalid_list_of_known_failures_is_refused(text, error):
    with pytest.raises(ValueError, match=error):
        read_known_failures(text)


def test_an_invalid_file_ends_the_run_before_any_test(tmp_path):
    code, out = run_pytest(tmp_path, TESTS, "test_x.py::test_red | issue 7")
    assert code == 4 and "red.txt: line 1 is not" in out and "passed" not in out


def test_files_that_run_alone_exist():
    assert {path.name for path in HERE.rglob("test_*.py")} & ALONE >= ALONE - {"test_scale_run.py"}


def test_every_file_whose_tests_use_sockets_or_processes_runs_alone():
    """Tests that start a program and wait for its end without a time limit need not run alone."""
    uses_sockets = re.compile(
        r"\b(Popen|start_server|create_server|ThreadingHTTPServer|StandIn|LimiterHarness)\(|from "
        r"rehearsals import"
    )
    # this file has the names in the pattern above
    others = [path for path in HERE.rglob("test_*.py") if path != Path(__file__)]
    found = {path.name for path in others if uses_sockets.search(path.read_text())}
    assert found <= ALONE and "test_limiter_on_sockets.py" in found and "test_ctl.py" in found


TIMED_TESTS = """
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
def test_files_that_run_alone_run_last_and_their_known_failures_are_expected(simulated, tmp_path):
    (tmp_path / "test_limiter_on_sockets.py").write_text(TIMED_TESTS % 8)
    (tmp_path / "test_ctl.py").write_text(TIMED_TESTS % 3)
    red = red_line("test_limiter_on_sockets.py::test_it[7]", "seven")
    if simulated > 7:
        red += "\n" + red_line("test_x.py::test_it[7]", "seven")
    code, out = run_pytest(tmp_path, TIMED_TESTS % simulated, red, "-n", "3")
    assert code == 0, out
    rows = [line.split() for line in (tmp_path / "log").read_text().splitlines()]
    alone = sorted((float(a), float(b), pid) for name, pid, a, b in rows if name != "test_x")
    others = [float(b) for name, _, _, b in rows if name == "test_x"]
    assert len(alone) == 11 and len(others) == simulated and len({pid for *_, pid in alone}) == 1
    assert all(b <= a for (_, b, _), (a, _, _) in pairwise(alone))
    assert not others or max(others) <= alone[0][0]


@pytest.mark.parametrize("simulated", [2, 14])
def test_a_worker_that_dies_fails_the_run_with_the_name_of_its_test(simulated, tmp_path):
    """If pytest-xdist replaced the worker and reassigned its tests, the run would hang or repeat
    the test that killed the worker.
    """
    crashing = TIMED_TESTS.replace("    began", "    if n == %d: os._exit(3)\n    began")
    (tmp_path / "test_limiter_on_sockets.py").write_text(crashing % (6, 2))
    code, out = run_pytest(
        tmp_path, crashing % (simulated, 3), "", "-n", "3", "--max-worker-restart", "0"
    )
    file = "test_x.py::test_it[3]" if simulated > 3 else "test_limiter_on_sockets.py::test_it[2]"
    assert code == 1 and f"crashed while running '{file}'" in out and f"FAILED {file}" in out
