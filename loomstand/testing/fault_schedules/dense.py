"""Dense days: many troubles of every kind that the contracts in force allow, several at once and
more than once. Pure; the day is drawn from one Random. What a kind and its fields mean is the
bench's list of kinds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from loomstand.testing.fault_schedules.site import Site, Trouble, hundredths, span

# A choice from each group, in the order in which the bench reads them.
WHO = ("", "", "leader", "leader", "reader", "seed")
AFTER = ("", "", "meet", "race", "hard", "drain", "race drain", "meet drain", "meet hard")
CUT = ("", "", "reset", "refuse")

Hows = tuple[tuple[str, ...], ...]
Range = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Way:
    """A kind with the spans of its figures: from the mildest that standing days show, or that is a
    trouble at all, to twice the strongest of them and more.
    """

    kind: str
    planned: bool
    hows: Hows = ()
    share: Range | None = None
    x: Range | None = None
    for_s: Range | None = None
    gap_s: Range | None = None
    count: tuple[int, int] | None = None
    on: str = ""
    contract: str = ""  # it is drawn only where this one is in force
    # in a day: of what takes servers or machines away for good little is left otherwise
    most: int = 1000

    def drawn(self, rng: Random) -> Trouble:
        fields: dict[str, Any] = {"on": self.on} if self.on else {}
        if self.count is not None:
            fields["count"] = rng.randint(*self.count)
        for key in ("share", "x", "for_s", "gap_s"):
            if (within := getattr(self, key)) is not None:
                fields[key] = round(rng.uniform(*within), 2)
        if how := " ".join(filter(None, (rng.choice(group) for group in self.hows))):
            fields["how"] = how
        return Trouble(self.kind, self.planned, fields)


CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
BAD = (
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
)
SICK = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
ONE = (1, 1)  # of the machines that count: more would wait their turn, by the bench's page

WAYS = (
    Way("config_change", True, (CHANGES,)),
    Way("config_race", True, count=(1, 4), gap_s=(0.1, 1.2)),
    Way("bad_config", True, (BAD,), count=(1, 4), gap_s=(0.1, 1.0)),
    Way("revoke", True, count=(1, 3), gap_s=(0.3, 1.5)),
    Way("release", True, share=(0.3, 0.6), x=(1, 3), gap_s=(0.4, 1.2)),
    Way("scale_in", True, (("", "", "spot"),), share=(0.08, 0.2), most=2),
    Way("roll_term", True, (("", "busy"),), share=(0.4, 1.0), x=(1, 3), gap_s=(0.4, 1.2)),
    Way("roll_term", True, (("remove",),), share=(0.1, 0.3), gap_s=(0.4, 1.2), most=1),
    Way(
        "roll_term", True, (("", "busy", "remove"),), share=(0.3, 1.0), gap_s=(0.7, 4.0), on="core"
    ),
    Way("seed_turnover", True),
    Way("hot_tenant", False, x=(4, 12), for_s=(3, 9), count=(1, 3)),
    Way("burst", False, x=(1.2, 2.0), for_s=(2, 4)),
    Way("shift", False, share=(0.3, 0.6), for_s=(3, 6)),
    Way("srv_crash", False, (("", "dark"), ("", "", "across")), (0.1, 0.3), for_s=(2, 6)),
    Way(
        "srv_crash",
        False,
        (("gone", "dark gone"), ("", "", "across")),
        (0.1, 0.2),
        for_s=(2, 6),
        most=1,
    ),
    Way("srv_slow", False, share=(0.1, 0.2), x=(3, 6), for_s=(2, 6)),
    Way(
        "srv_grey",
        False,
        (SICK, ("", "one_zone")),
        (0.1, 0.2),
        (0.3, 0.6),
        (2, 6),
        contract="health",
    ),
    Way(
        "srv_lying_health",
        False,
        (("errors", "hang", "reset", "bad"),),
        (0.1, 0.2),
        None,
        (2, 6),
        contract="health",
    ),
    Way("srv_flap", False, share=(0.1, 0.2), for_s=(3, 6), gap_s=(0.8, 2.0), contract="health"),
    Way("idle_race", False, share=(0.3, 0.6), x=(200, 500), for_s=(3, 6), contract="pool"),
    Way("answer_lost", False, (("", "reset"),), (0.3, 0.7), (0.02, 0.08), (3, 8)),
    Way("garble", False, (("", "extra", "late", "extra late"),), (0.3, 0.7), (0.02, 0.05), (3, 8)),
    Way("node_kill", False, (("", "power"), AFTER), (0.1, 0.5), None, (0.5, 4)),
    Way("node_kill", False, (("", "power"), WHO, AFTER), None, None, (0.5, 9), None, ONE, "core"),
    Way("herd_kill", False, (("", "power"),), (0.3, 0.8), None, (0.5, 3)),
    Way("herd_kill", False, (("", "power", "taken"),), None, None, (0.5, 2), None, None, "core"),
    Way("after_ack_kill", False, (("", "timed"), ("", "kill")), None, None, (0.5, 4), None, (1, 2)),
    Way("after_ack_kill", False, (("taken",),), None, None, (0.5, 4)),
    Way("after_ack_wipe", False, (("", "", "timed"),), None, None, (0.5, 4)),
    Way("disk_slow", False, (WHO,), None, (10, 60), (3, 7), None, ONE),
    Way("disk_stall", False, (WHO,), None, None, (1, 5), None, ONE),
    Way("clock_step", False, (("back", "ahead"),), (0.2, 0.6), (500, 4000), (2, 8)),
    Way(
        "core_cut",
        False,
        (WHO, CUT, ("", "one_way", "seeds", "both"), AFTER),
        for_s=(2, 22),
        count=ONE,
    ),
    Way("node_cut", False, (("", "servers"), CUT), (0.1, 0.5), None, (2, 8)),
    Way("node_slow", False, share=(0.1, 0.3), x=(3, 7), for_s=(2, 6)),
    Way("lossy", False, x=(0.01, 0.05), for_s=(2, 6)),
)

# The kinds of which three quarters of a day's troubles are, for each of the operators' points.
AIMS: dict[str, tuple[str, ...]] = {
    "cut": (
        "core_cut",
        "core_cut",
        "node_cut",
        "seed_turnover",
        "config_change",
        "config_race",
        "scale_in",
        "node_kill",
        "clock_step",
        "after_ack_kill",
    ),
    "orders": (
        "config_race",
        "config_race",
        "bad_config",
        "config_change",
        "revoke",
        "after_ack_kill",
        "core_cut",
        "node_kill",
        "answer_lost",
        "lossy",
    ),
    "losses": (
        "after_ack_wipe",
        "after_ack_wipe",
        "after_ack_kill",
        "roll_term",
        "herd_kill",
        "node_kill",
        "disk_slow",
        "disk_stall",
        "core_cut",
        "seed_turnover",
    ),
    "changes": (
        "node_kill",
        "core_cut",
        "after_ack_wipe",
        "after_ack_kill",
        "herd_kill",
        "revoke",
        "config_race",
        "disk_slow",
        "roll_term",
        "seed_turnover",
    ),
    "answers": (
        "garble",
        "garble",
        "answer_lost",
        "srv_crash",
        "srv_slow",
        "node_cut",
        "node_kill",
        "release",
        "roll_term",
        "lossy",
        "idle_race",
        "srv_grey",
        "srv_flap",
    ),
    "quotas": (
        "hot_tenant",
        "hot_tenant",
        "roll_term",
        "herd_kill",
        "clock_step",
        "config_change",
        "node_cut",
        "node_kill",
        "core_cut",
        "after_ack_kill",
    ),
    "all": (),
}
AIMED = 0.75
# Troubles of a day for each ten seconds of it; hunted and standing days hold one to three.
RATE = {"mild": 3.0, "usual": 5.0, "harsh": 8.0}
LENGTHS = (32, 60)  # seconds; the bench played a day of 60 in half a minute
# seconds at the end without new troubles, the closing fault finds the last of them under way
QUIET = 3.0
EVERY = (0.1, 0.4)  # seconds between two of the changes of a day of many changes
TOGETHER = 0.7  # of the troubles begin at one of the day's moments, within NEAR of it
MOMENTS = 7.0  # seconds between two moments, about
NEAR = 1.0

CLOSINGS: tuple[dict[str, Any] | None, ...] = (
    None,
    {"kind": "power_off_all"},
    {"kind": "kill_all"},
    {"kind": "wipe_after_ack", "how": "aimed"},
    {"kind": "wipe_after_ack"},
    {"kind": "wipe_after_ack", "how": "timed"},
    {"kind": "power_off_all", "how": "timed"},
    {"kind": "kill_all", "how": "timed"},
    {"kind": "wipe_after_ack", "how": "taken"},
)


def ways(site: Site, only: tuple[str, ...] = ()) -> list[Way]:
    """Those whose contract is in force, of these kinds if any are named."""
    allowed = (way for way in WAYS if not way.contract or way.contract in site.contracts)
    return [way for way in allowed if not only or way.kind in only]


def troubles(
    site: Site, aim: str, severity: str, only: tuple[str, ...], rng: Random
) -> tuple[int, list[tuple[Trouble, int, int]]]:
    """A day's length in seconds, and its troubles with their start and end in hundredths of a
    second.
    """
    open_ = ways(site, only)
    aimed = [[way for way in open_ if way.kind == kind] for kind in AIMS[aim]]
    aimed = [found for found in aimed if found]
    kinds = sorted({way.kind for way in open_})
    length = rng.randint(*LENGTHS)
    end = hundredths(length - QUIET)
    moments = [rng.randint(0, end) for _ in range(max(2, round(length / MOMENTS)))]
    placed: list[tuple[Trouble, int, int]] = []
    drawn = Counter[Way]()
    for _ in range(round(RATE[severity] * length / 10)):
        if aimed and rng.random() < AIMED:
            way = rng.choice(rng.choice(aimed))
        else:
            kind = rng.choice(kinds)
            way = rng.choice([one for one in open_ if one.kind == kind])
        drawn[way] += 1
        if drawn[way] > way.most:
            continue
        at = rng.randint(0, end)
        if rng.random() < TOGETHER:
            at = rng.choice(moments) + hundredths(rng.uniform(-NEAR, NEAR))
        placed.append(_within(site, way.drawn(rng), min(max(at, 0), end), end))
    if aim == "changes" and (not only or "config_change" in only):
        at, every = 0.0, rng.uniform(*EVERY)
        while hundredths(at) < end:
            change = Trouble("config_change", True, {"how": rng.choice(CHANGES)})
            placed.append((change, hundredths(at), hundredths(at)))
            at += every * rng.uniform(0.5, 1.5)
    return length, placed


def _within(site: Site, trouble: Trouble, at: int, end: int) -> tuple[Trouble, int, int]:
    """The trouble from `at` on, over by the end of the time for troubles where its fields can say
    so.
    """
    fields = dict(trouble.fields)
    if "for_s" in fields:
        fields["for_s"] = max(0.1, min(fields["for_s"], (end - at) / 100))
    trouble = Trouble(trouble.kind, trouble.planned, fields)
    return trouble, at, at + span(trouble, site.things, site.settles)


def closing(turn: dict[str, Any] | None, rng: Random) -> dict[str, Any] | None:
    return None if turn is None else turn | {"down_s": round(rng.uniform(0.4, 2.0), 2)}
