"""What was lost where, by the figures of an entry. Pure; all that is lost is shared out and nothing
twice.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loomstand.testing.fault_schedules.entry import Day, Entry

NOISE = 0.03  # a change under it says nothing, by the bench's page
# What slots weigh in a site's score, and its two worst days together, by the rules' page.
SLOTS = {"scale": 0.4, "trouble": 0.2, "quiet": 0.1}
WORST = 0.3
WORST_DAYS = 2
FRESH = "fresh-"  # a day drawn just now counts for the gate alone
REST = "rounding"  # the entry's figures have four digits
PART, PRICE, VERDICT = "part", "price", "verdict"


@dataclass(frozen=True, slots=True)
class Loss:
    """What one cause took. Worth: of the day's worth, which lacks `1 - worth`. Score: of the day's
    score, which lacks `1 - score`.
    """

    cause: str
    kind: str  # of PART, PRICE, VERDICT
    worth: float
    score: float


@dataclass(frozen=True, slots=True)
class Change:
    """A day in two entries. Differences are the second's less the first's."""

    name: str
    same: bool  # the same day, by its digest
    old: Day
    new: Day
    worth: float
    score: float
    # worth lost more, the largest first; they add up to `-worth`
    causes: tuple[tuple[str, float], ...]

    @property
    def noise(self) -> bool:
        return abs(self.score) < NOISE and bool(self.old.rules) == bool(self.new.rules)


def of_day(day: Day) -> list[Loss]:
    """By cause, the largest first. Worth adds up to `1 - worth` and score to `1 - score`."""
    found = [(p.name, PART, p.weight * (1 - p.earned)) for p in day.parts]
    found += [(p.name, PRICE, p.worth) for p in day.prices]
    found.append((REST, PART, 1 - day.worth - sum(worth for *_, worth in found)))
    verdicts = [f"rule {rule}" for rule in sorted(day.rules)] + (["fault"] if day.fault else [])
    lack = 1 - day.score
    # A broken rule takes what the worth would have scored; only the rest is for the other causes.
    taken = max(0.0, _marked(day) - day.score) if verdicts else 0.0
    lack -= taken
    # The marks stretch the worth and cut it off, so a cause has the same part of either.
    whole = sum(worth for *_, worth in found if worth > 0)
    scale = lack / whole if whole else 0.0
    losses = [Loss(cause, kind, worth, scale * max(worth, 0.0)) for cause, kind, worth in found]
    losses += [Loss(verdict, VERDICT, 0.0, taken / len(verdicts)) for verdict in verdicts]
    return sorted(losses, key=lambda loss: (-loss.worth, -loss.score, loss.cause))


def _marked(day: Day) -> float:
    """Where the worth lies between the marks."""
    if day.one <= day.zero:
        return day.score
    return min(1.0, max(0.0, (day.worth - day.zero) / (day.one - day.zero)))


def weights(entry: Entry) -> list[float]:
    """What each day weighs in the score. They add up to 1: where a slot has no day, the others
    weigh more.
    """
    every = range(len(entry.days))
    counted = [n for n in every if not _fresh(entry, entry.days[n])] or list(every)
    slots = [day.slot if day.slot in SLOTS else "trouble" for day in entry.days]
    out = [0.0] * len(entry.days)
    for n in counted:
        out[n] = SLOTS[slots[n]] / sum(slots[m] == slots[n] for m in counted)
    worst = sorted(counted, key=lambda n: entry.days[n].score)[:WORST_DAYS]
    for n in worst:
        out[n] += WORST / len(worst)
    whole = sum(out)
    return [weight / whole for weight in out]


def _fresh(entry: Entry, day: Day) -> bool:
    return entry.verb == "score" and day.name.startswith(FRESH)


def score(entry: Entry) -> float:
    return sum(weight * day.score for weight, day in zip(weights(entry), entry.days, strict=True))


def of_entry(entry: Entry) -> list[Loss]:
    """By cause over all days, each as much as it weighs; what took most of the score first."""
    totals: dict[tuple[str, str], list[float]] = {}
    for weight, day in zip(weights(entry), entry.days, strict=True):
        for loss in of_day(day):
            row = totals.setdefault((loss.cause, loss.kind), [0.0, 0.0])
            row[0] += weight * loss.worth
            row[1] += weight * loss.score
    losses = [Loss(cause, kind, *row) for (cause, kind), row in totals.items()]
    return sorted(losses, key=lambda loss: (-loss.score, -loss.worth, loss.cause))


def changes(old: Entry, new: Entry) -> list[Change]:
    """The days that both have, by their names, in the second's order."""
    before = {day.name: day for day in old.days}
    return [_change(before[day.name], day) for day in new.days if day.name in before]


def _change(old: Day, new: Day) -> Change:
    lost = {loss.cause: -loss.worth for loss in of_day(old)}
    for loss in of_day(new):
        lost[loss.cause] = lost.get(loss.cause, 0.0) + loss.worth
    causes = tuple(sorted(lost.items(), key=lambda item: (-abs(item[1]), item[0])))
    same = old.digest == new.digest
    return Change(new.name, same, old, new, new.worth - old.worth, new.score - old.score, causes)


def mean_worth_lost(days: list[Day]) -> dict[str, float]:
    """Worth lost to each cause, the plain mean of the days: their weights would differ between
    entries.
    """
    out: dict[str, float] = {}
    for day in days:
        for loss in of_day(day):
            out[loss.cause] = out.get(loss.cause, 0.0) + loss.worth / len(days)
    return out


def labelled(shares: Iterable[float | None], names: tuple[str, ...]) -> list[tuple[str, float]]:
    """Kinds of request or zones with their share earned, the worst first; without names, by
    number.
    """
    called = [
        (names[n] if n < len(names) else f"#{n + 1}", share) for n, share in enumerate(shares)
    ]
    return sorted(
        ((name, share) for name, share in called if share is not None), key=lambda row: row[1]
    )
