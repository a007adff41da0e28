"""Checks the history of a run against the five rules and reports each violation.

1. Every accepted request gets exactly one final answer before its client timeout plus the answer
   slack, unless its limiter was stopped or its client disconnected first.
2. No effect is applied twice: a non-idempotent request is executed at most once; a deduplicated one
   at most once outside its deduplication group and window; and a request has at most one attempt in
   flight at any time.
3. A server gets no new attempt later than the drain grace after its limiter was notified that it is
   draining or gone.
4. No cold server crashes by the load that all limiters together send.
5. No customer's use exceeds the hard ceiling of its plan (a bucket of `ceiling_rate` and
   `ceiling_depth`) by more than the slack.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.testing.emulator import scenario as sc
from loomstand.testing.emulator.history import History

TICKS_PER_MS = TICKS_PER_SECOND // 1000
TIME_LIMIT_MARGIN_TICKS = 50 * TICKS_PER_MS  # the protocol adds 50 ms to time limits
RULE_NAMES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "nothing new to a leaving server",
    4: "no cold server pushed over",
    5: "ceilings kept within the slack",
}


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule.

    Attributes:
        rule: Number of the rule.
        req: The request; -1 if the violation concerns none.
        limiter: The limiter; -1 if the violation concerns none.
        at: Time in ticks; -1 if unknown.
        what: Description.
    """

    rule: int
    req: int
    limiter: int
    at: int
    what: str


@dataclass(slots=True)
class Verdict:
    """All violations of a run."""

    violations: list[Violation] = field(default_factory=list)

    @property
    def rules_kept(self) -> bool:
        """Whether no rule was violated."""
        return not self.violations

    def by_rule(self) -> dict[int, int]:
        """Returns the number of violations of each rule."""
        counts = dict.fromkeys(RULE_NAMES, 0)
        for violation in self.violations:
            counts[violation.rule] += 1
        return counts

    def first(self, limit_per_rule: int = 5) -> list[Violation]:
        """Returns the first violations of each rule, at most `limit_per_rule` of each."""
        violations: list[Violation] = []
        for rule in RULE_NAMES:
            violations += [v for v in self.violations if v.rule == rule][:limit_per_rule]
        return violations


def check(history: History, scenario: sc.Scenario) -> Verdict:
    """Returns all violations of the five rules in the history."""
    verdict = Verdict()
    verdict.violations += check_answers(history, scenario)
    verdict.violations += check_effects(history, scenario)
    verdict.violations += check_leaving(history, scenario)
    verdict.violations += [
        Violation(
            4,
            -1,
            -1,
            at,
            f"server {srv} fell: {sent:.0f} sent in the tip window, it bears {bears:.1f}",
        )
        for srv, at, sent, bears in history.overload_crashes
    ]
    verdict.violations += check_ceilings(history, scenario)
    return verdict


def check_answers(history: History, scenario: sc.Scenario) -> list[Violation]:
    """Returns the violations of rule 1."""
    slack = round(scenario.fleet.answer_slack_ms * TICKS_PER_MS)
    violations = []
    for r in history.reqs:
        if r.answer_count > 1:
            violations.append(
                Violation(1, r.req, r.limiter, r.answered_at, f"{r.answer_count} final answers")
            )
        if r.orphaned or r.client_left:
            continue
        if r.answer_count == 0:
            violations.append(Violation(1, r.req, r.limiter, r.deadline, "no final answer"))
        elif r.answered_at > r.deadline + slack:
            late = (r.answered_at - r.deadline) / TICKS_PER_MS
            violations.append(
                Violation(
                    1,
                    r.req,
                    r.limiter,
                    r.answered_at,
                    f"{r.answer} {late:.1f} ms after the client timeout",
                )
            )
    return violations


def check_effects(history: History, scenario: sc.Scenario) -> list[Violation]:
    """Returns the violations of rule 2."""
    violations = []
    limiter_of = {r.req: r.limiter for r in history.reqs}
    earlier_executions: dict[int, list[tuple[int, int, str, int]]] = {}
    for req, srv, at, effect, group, window in history.executions:
        if effect == "pure":
            continue
        earlier = earlier_executions.setdefault(req, [])
        for srv0, at0, _, group0 in earlier:
            if effect == "side_effect" or group0 != group or at - at0 > window:
                violations.append(
                    Violation(
                        2,
                        req,
                        limiter_of.get(req, -1),
                        at,
                        f"{effect} req ran at server {srv0} and again at server {srv}",
                    )
                )
                break
        earlier.append((srv, at, effect, group))
    # an attempt is in flight from its sending until its limiter has its outcome
    for req, limiter, at in history.overlaps:
        violations.append(Violation(2, req, limiter, at, "a second dispatch while one was out"))
    return violations


def check_leaving(history: History, scenario: sc.Scenario) -> list[Violation]:
    """Returns the violations of rule 3."""
    grace = round(scenario.fleet.drain_grace_ms * TICKS_PER_MS) + TIME_LIMIT_MARGIN_TICKS
    notices: dict[tuple[int, int], list[tuple[int, int]]] = {}
    for limiter, srv, at, until in history.leaving_notices:
        notices.setdefault((limiter, srv), []).append((at, until))
    violations = []
    for req, n, limiter, srv, sent, _ in history.attempts:
        for at, until in notices.get((limiter, srv), ()):
            if at + grace < sent < until:
                late = (sent - at) / TICKS_PER_MS
                violations.append(
                    Violation(
                        3,
                        req,
                        limiter,
                        sent,
                        f"dispatch {n} to server {srv} {late:.0f} ms after told",
                    )
                )
                break
    return violations


def check_ceilings(history: History, scenario: sc.Scenario) -> list[Violation]:
    """Returns the violations of rule 5, at most one per customer."""
    violations, level, last_at, broken = [], {}, {}, set()
    plans = scenario.plans
    for customer, plan, at, units in history.usage:
        p = plans[plan]
        if p.ceiling_rate <= 0 or customer in broken:
            continue
        depth = p.ceiling_depth or p.ceiling_rate
        remaining = level.get(customer, depth)
        remaining = (
            min(
                depth,
                remaining + p.ceiling_rate * (at - last_at.get(customer, at)) / TICKS_PER_SECOND,
            )
            - units
        )
        level[customer], last_at[customer] = remaining, at
        if remaining < -p.ceiling_slack - 1e-9:
            broken.add(customer)
            violations.append(
                Violation(
                    5,
                    -1,
                    -1,
                    at,
                    f"customer {customer} of {p.name} {-remaining:.1f} units over its ceiling",
                )
            )
    return violations
