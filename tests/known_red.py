"""pytest plugin for cases that fail because of a known fault: `--known-red FILE`.

Each line of the file is `CASE | COMMAND AND SEED | WHAT WAS SEEN | ISSUE`. A case with `::` is the
node id of a test. Listed tests are run; their failure counts as expected and is printed. The run
fails if a listed test passes, is skipped or is missing, or if a line lacks a part. Any other case,
such as a seed of the soak test, is no test of the suite and is only printed.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

import pytest

PART = r"[^|]*[^|\s]"  # of a line
LINE = re.compile(
    rf"(?P<case>{PART}) \| (?P<command>{PART}) \| (?P<seen>{PART}) \| (?P<issue>issue \d+)"
).fullmatch
EXPECTED = "failed, as listed"  # outcome of a listed test


class KnownFailure(NamedTuple):
    """A line of the file.

    Attributes:
        case: The node id of a test, or the name of a case that is no test of the suite.
        command: Command and seed that show the failure.
        seen: What was seen.
        issue: The open issue, as `issue N`.
    """

    case: str
    command: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether the case is a test of the suite."""
        return "::" in self.case


def read_known_failures(text: str) -> dict[str, KnownFailure]:
    """Returns the listed failures by their case.

    Raises:
        ValueError: A line is invalid or names a case again; the message names it.
    """
    known_failures: dict[str, KnownFailure] = {}
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    for n, line in enumerate(lines, 1):
        match = LINE(line)
        if match is None:
            raise ValueError(f"line {n} is not 'CASE | COMMAND AND SEED | SEEN | ISSUE': {line}")
        failure = KnownFailure(**match.groupdict())
        if failure.case in known_failures:
            raise ValueError(f"line {n} names a case twice: {failure.case}")
        known_failures[failure.case] = failure
    return known_failures


class KnownRedPlugin:
    """Marks the listed tests as expected failures and checks their outcomes.

    It is active in each xdist worker, which marks the tests, and in the controller, which gets all
    reports.
    """

    def __init__(self, known_failures: dict[str, KnownFailure]) -> None:
        self.known_failures = {
            case: failure for case, failure in known_failures.items() if failure.is_test
        }
        self.other_failures = [
            failure for failure in known_failures.values() if not failure.is_test
        ]
        self.outcomes: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if failure := self.known_failures.get(item.nodeid):
                reason = f"known red: {failure.seen} ({failure.issue})"
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
                f"{test}: {outcome}; {failure.command}: {failure.seen}; {failure.issue}"
            )
        for failure in self.other_failures:
            terminalreporter.write_line(
                f"{failure.case}: no test, not run; {failure.command}: {failure.seen};"
                f" {failure.issue}"
            )


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red",
        metavar="FILE",
        help="cases known to fail: CASE | COMMAND AND SEED | SEEN | ISSUE a line",
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
