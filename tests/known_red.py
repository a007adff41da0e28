"""pytest plugin for tests that fail because of a known fault: `--known-red FILE`.

Each line of the file is `TEST, CAUSE, ISSUE`: the test's node id, why it fails, and the number of
its issue. Listed tests are run; their failure counts as expected and is printed with its cause.
The run fails if a listed test passes, is skipped or is missing, if a line lacks a part, or if the
file has more than `MAX_LINES` lines.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

import pytest

MAX_LINES = 3  # the limit that the operators set
LINE = re.compile(r"(?P<test>\S.*?::.*?), (?P<cause>\S.*), (?P<issue>(issue )?#?\d+)").fullmatch
EXPECTED = "failed, as listed"  # outcome of a listed test


class KnownFailure(NamedTuple):
    """A line of the file: a test's node id, the cause of its failure, and the issue's number."""

    test: str
    cause: str
    issue: str


def read_known_failures(text: str) -> dict[str, KnownFailure]:
    """Returns the listed failures by the node id of their test.

    Raises:
        ValueError: There are too many lines, or a line is invalid; the message names it.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise ValueError(f"{len(lines)} lines, {MAX_LINES} at most")
    known_failures: dict[str, KnownFailure] = {}
    for n, line in enumerate(lines, 1):
        match = LINE(line)
        if match is None:
            raise ValueError(f"line {n} is not 'TEST, CAUSE, ISSUE': {line}")
        if match["test"] in known_failures:
            raise ValueError(f"line {n} names a test twice: {match['test']}")
        known_failures[match["test"]] = KnownFailure(match["test"], match["cause"], match["issue"])
    return known_failures


class KnownRedPlugin:
    """Marks the listed tests as expected failures and checks their outcomes.

    It is active in each xdist worker, which marks the tests, and in the controller, which gets all
    reports.
    """

    def __init__(self, known_failures: dict[str, KnownFailure]) -> None:
        self.known_failures = known_failures
        self.outcomes: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if failure := self.known_failures.get(item.nodeid):
                reason = f"known red: {failure.cause} ({failure.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid not in self.known_failures:
            return
        if hasattr(report, "wasxfail") and report.skipped:
            self.outcomes[report.nodeid] = EXPECTED
        elif report.failed:
            passed = "XPASS(strict)" in str(report.longrepr)
            self.outcomes[report.nodeid] = (
                "PASSED: remove its line" if passed else "FAILED otherwise"
            )
        elif report.skipped:
            self.outcomes[report.nodeid] = "SKIPPED: a listed test must run"

    @property
    def has_unexpected_outcome(self) -> bool:
        return any(self.outcomes.get(test) != EXPECTED for test in self.known_failures)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        is_worker = hasattr(session.config, "workerinput")
        if self.has_unexpected_outcome and not is_worker and exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter) -> None:
        terminalreporter.section("known red")
        for test, failure in self.known_failures.items():
            outcome = self.outcomes.get(test, "MISSING")
            terminalreporter.write_line(
                f"{test}: {outcome}; cause: {failure.cause}; {failure.issue}"
            )


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red",
        metavar="FILE",
        help="tests known to fail: TEST, CAUSE, ISSUE a line",
    )


def pytest_configure(config: pytest.Config) -> None:
    path = config.getoption("--known-red")
    if path is None:
        return
    try:
        config.pluginmanager.register(
            KnownRedPlugin(read_known_failures(Path(path).read_text())), "known-red-watch"
        )
    except (OSError, ValueError) as error:
        raise pytest.UsageError(f"{path}: {error}") from None
