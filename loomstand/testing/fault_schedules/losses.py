"""Attributes the losses of a journal entry's days to causes.

The parts of all causes add up to the total loss of a day.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loomstand.testing.fault_schedules.entry import Day, Entry

NOISE = 0.03  # smallest significant change of a score, by the bench's documentation
# Weights in a site's score, by the bench's rules: of each slot, and of the two worst days together.
SLOT_WEIGHTS = {"scale": 0.4, "trouble": 0.2, "quiet": 0.1}
WORST_DAYS_WEIGHT = 0.3
WORST_DAY_COUNT = 2
FRESH_DAY_PREFIX = "fresh-"  # such a day is drawn for the run, and counts for the gate only
ROUNDING = "rounding"  # cause of the remaining difference, as the entry's numbers have four digits
PART, PRICE, VERDICT = "part", "price", "verdict"


@dataclass(frozen=True, slots=True)
class Loss:
    """The loss due to one cause.

    `worth` is its part of the day's lost worth (`1 - worth`), and `score` its part of the day's
    lost score (`1 - score`).
    """

    cause: str
    kind: str  # PART, PRICE or VERDICT
    worth: float
    score: float


@dataclass(frozen=True, slots=True)
class Change:
    """The change of a day between two entries; differences are new minus old."""

    name: str
    same: bool  # whether both are the same day, by its digest
    old: Day
    new: Day
    worth: float
    score: float
    # additional worth lost by cause, the largest change first; they add up to `-worth`
    causes: tuple[tuple[str, float], ...]

    @property
    def noise(self) -> bool:
        """Whether the change isn't significant."""
        return abs(self.score) < NOISE and bool(self.old.rules) == bool(self.new.rules)


def of_day(day: Day) -> list[Loss]:
    """The losses of a day by cause, the largest first.

    Their worth adds up to `1 - worth` of the day, their score to `1 - score`.
    """
    causes = [(p.name, PART, p.weight * (1 - p.earned)) for p in day.parts]
    causes += [(p.name, PRICE, p.worth) for p in day.prices]
    causes.append((ROUNDING, PART, 1 - day.worth - sum(worth for *_, worth in causes)))
    verdicts = [f"rule {rule}" for rule in sorted(day.rules)] + (["fault"] if day.fault else [])
    lost_score = 1 - day.score
    # Broken rules and faults cost the score that the worth would give; other causes share the rest.
    lost_to_verdicts = max(0.0, _score_by_worth(day) - day.score) if verdicts else 0.0
    lost_score -= lost_to_verdicts
    # The score is the worth scaled and clamped between the day's marks `zero` and `one`, so a cause
    # has the same share of both losses.
    total = sum(worth for *_, worth in causes if worth > 0)
    scale = lost_score / total if total else 0.0
    losses = [Loss(cause, kind, worth, scale * max(worth, 0.0)) for cause, kind, worth in causes]
    losses += [
        Loss(verdict, VERDICT, 0.0, lost_to_verdicts / len(verdicts)) for verdict in verdicts
    ]
    return sorted(losses, key=lambda loss: (-loss.worth, -loss.score, loss.cause))


def _score_by_worth(day: Day) -> float:
    """The score by the worth alone: its position between the marks, from 0 to 1."""
    if day.one <= day.zero:
        return day.score
    return min(1.0, max(0.0, (day.worth - day.zero) / (day.one - day.zero)))


def weights(entry: Entry) -> list[float]:
    """The weight of each day in the score.

    Weights add up to 1: if a slot has no day, the others have larger weights.
    """
    indexes = range(len(entry.days))
    counted = [n for n in indexes if not _is_fresh(entry, entry.days[n])] or list(indexes)
    slots = [day.slot if day.slot in SLOT_WEIGHTS else "trouble" for day in entry.days]
    weights = [0.0] * len(entry.days)
    for n in counted:
        weights[n] = SLOT_WEIGHTS[slots[n]] / sum(slots[m] == slots[n] for m in counted)
    worst = sorted(counted, key=lambda n: entry.days[n].score)[:WORST_DAY_COUNT]
    for n in worst:
        weights[n] += WORST_DAYS_WEIGHT / len(worst)
    total = sum(weights)
    return [weight / total for weight in weights]


def _is_fresh(entry: Entry, day: Day) -> bool:
    return entry.verb == "score" and day.name.startswith(FRESH_DAY_PREFIX)


def score(entry: Entry) -> float:
    """The score of an entry by the weights of its days."""
    return sum(weight * day.score for weight, day in zip(weights(entry), entry.days, strict=True))


def of_entry(entry: Entry) -> list[Loss]:
    """The weighted losses of all days by cause, the largest loss of score first."""
    totals: dict[tuple[str, str], list[float]] = {}
    for weight, day in zip(weights(entry), entry.days, strict=True):
        for loss in of_day(day):
            row = totals.setdefault((loss.cause, loss.kind), [0.0, 0.0])
            row[0] += weight * loss.worth
            row[1] += weight * loss.score
    losses = [Loss(cause, kind, *row) for (cause, kind), row in totals.items()]
    return sorted(losses, key=lambda loss: (-loss.score, -loss.worth, loss.cause))


def changes(old: Entry, new: Entry) -> list[Change]:
    """The changes of days that are in both entries, by name, in the order of the new entry."""
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
    """The mean worth lost by cause.

    The mean isn't weighted, because the weights of days differ between entries.
    """
    means: dict[str, float] = {}
    for day in days:
        for loss in of_day(day):
            means[loss.cause] = means.get(loss.cause, 0.0) + loss.worth / len(days)
    return means


def labelled(shares: Iterable[float | None], names: tuple[str, ...]) -> list[tuple[str, float]]:
    """The shares earned by request kind or zone, the lowest first.

    An item without a name is given its number.
    """
    named = [(names[n] if n < len(names) else f"#{n + 1}", share) for n, share in enumerate(shares)]
    return sorted(
        ((name, share) for name, share in named if share is not None), key=lambda row: row[1]
    )
