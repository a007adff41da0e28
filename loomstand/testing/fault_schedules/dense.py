"""Draws dense days: many troubles of each kind that the site's contracts allow, many at once.

The meaning of the kinds and their fields is defined by the bench's list of kinds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from loomstand.testing.fault_schedules.site import Site, Trouble, duration, to_centiseconds

# Groups of `how` words. One is chosen from each, in the order in which the bench reads them; a
# repeated entry is chosen more often.
MEMBER_CHOICES = ("", "", "leader", "leader", "reader", "seed")
FOLLOW_UP_CHOICES = (
    "",
    "",
    "meet",
    "race",
    "hard",
    "drain",
    "race drain",
    "meet drain",
    "meet hard",
)
CUT_CHOICES = ("", "", "reset", "refuse")

HowGroups = tuple[tuple[str, ...], ...]
Range = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Way:
    """A variant of a kind of trouble, with the ranges of its fields.

    Ranges go from the mildest value of standing days, or the mildest that has an effect, to at
    least twice the strongest of them.
    """

    kind: str
    is_planned: bool
    hows: HowGroups = ()
    share: Range | None = None
    x: Range | None = None
    for_s: Range | None = None
    gap_s: Range | None = None
    count: tuple[int, int] | None = None
    on: str = ""
    contract: str = ""  # drawn only for a site with this contract
    # limits troubles that remove servers or machines permanently, so that enough of them remain
    max_per_day: int = 1000

    def draw(self, rng: Random) -> Trouble:
        """Draws a trouble with values within the ranges."""
        fields: dict[str, Any] = {"on": self.on} if self.on else {}
        if self.count is not None:
            fields["count"] = rng.randint(*self.count)
        for key in ("share", "x", "for_s", "gap_s"):
            if (within := getattr(self, key)) is not None:
                fields[key] = round(rng.uniform(*within), 2)
        if how := " ".join(filter(None, (rng.choice(group) for group in self.hows))):
            fields["how"] = how
        return Trouble(self.kind, self.is_planned, fields)


CONFIG_CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
BAD_CONFIGS = (
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
SERVER_FAILURES = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")
# Of store machines: the bench would run faults of several of them one after another.
ONE_MACHINE = (1, 1)

WAYS = (
    Way("config_change", True, (CONFIG_CHANGES,)),
    Way("config_race", True, count=(1, 4), gap_s=(0.1, 1.2)),
    Way("bad_config", True, (BAD_CONFIGS,), count=(1, 4), gap_s=(0.1, 1.0)),
    Way("revoke", True, count=(1, 3), gap_s=(0.3, 1.5)),
    Way("release", True, share=(0.3, 0.6), x=(1, 3), gap_s=(0.4, 1.2)),
    Way("scale_in", True, (("", "", "spot"),), share=(0.08, 0.2), max_per_day=2),
    Way("roll_term", True, (("", "busy"),), share=(0.4, 1.0), x=(1, 3), gap_s=(0.4, 1.2)),
    Way("roll_term", True, (("remove",),), share=(0.1, 0.3), gap_s=(0.4, 1.2), max_per_day=1),
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
        max_per_day=1,
    ),
    Way("srv_slow", False, share=(0.1, 0.2), x=(3, 6), for_s=(2, 6)),
    Way(
        "srv_grey",
        False,
        (SERVER_FAILURES, ("", "one_zone")),
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
    Way("node_kill", False, (("", "power"), FOLLOW_UP_CHOICES), (0.1, 0.5), None, (0.5, 4)),
    Way(
        "node_kill",
        False,
        (("", "power"), MEMBER_CHOICES, FOLLOW_UP_CHOICES),
        None,
        None,
        (0.5, 9),
        None,
        ONE_MACHINE,
        "core",
    ),
    Way("herd_kill", False, (("", "power"),), (0.3, 0.8), None, (0.5, 3)),
    Way("herd_kill", False, (("", "power", "taken"),), None, None, (0.5, 2), None, None, "core"),
    Way("after_ack_kill", False, (("", "timed"), ("", "kill")), None, None, (0.5, 4), None, (1, 2)),
    Way("after_ack_kill", False, (("taken",),), None, None, (0.5, 4)),
    Way("after_ack_wipe", False, (("", "", "timed"),), None, None, (0.5, 4)),
    Way("disk_slow", False, (MEMBER_CHOICES,), None, (10, 60), (3, 7), None, ONE_MACHINE),
    Way("disk_stall", False, (MEMBER_CHOICES,), None, None, (1, 5), None, ONE_MACHINE),
    Way("clock_step", False, (("back", "ahead"),), (0.2, 0.6), (500, 4000), (2, 8)),
    Way(
        "core_cut",
        False,
        (MEMBER_CHOICES, CUT_CHOICES, ("", "one_way", "seeds", "both"), FOLLOW_UP_CHOICES),
        for_s=(2, 22),
        count=ONE_MACHINE,
    ),
    Way("node_cut", False, (("", "servers"), CUT_CHOICES), (0.1, 0.5), None, (2, 8)),
    Way("node_slow", False, share=(0.1, 0.3), x=(3, 7), for_s=(2, 6)),
    Way("lossy", False, x=(0.01, 0.05), for_s=(2, 6)),
)

# By aim, the kinds from which AIMED_SHARE of a day's troubles are drawn. A kind that is listed
# twice is drawn twice as often.
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
AIMED_SHARE = 0.75
# Troubles per ten seconds of a day; days that aren't dense have one to three.
RATE = {"mild": 3.0, "usual": 5.0, "harsh": 8.0}
# Shortest and longest day; the bench needs 30 s to run a day of 60 s.
DAY_LENGTHS_SECONDS = (32, 60)
# Seconds at the end of the day in which no trouble begins; the last ones may still be active when
# the closing fault occurs.
QUIET = 3.0
# Shortest and longest average interval between configuration changes, for the aim "changes".
CHANGE_INTERVAL_SECONDS = (0.1, 0.4)
CLUSTERED_SHARE = 0.7  # of the troubles start near a cluster time
CLUSTER_INTERVAL_SECONDS = 7.0  # average distance of cluster times
CLUSTER_RADIUS_SECONDS = 1.0  # largest distance of a trouble from its cluster time

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
    """The ways whose contract the site has, limited to the kinds in `only` unless it is empty."""
    allowed = (way for way in WAYS if not way.contract or way.contract in site.contracts)
    return [way for way in allowed if not only or way.kind in only]


def troubles(
    site: Site, aim: str, severity: str, only: tuple[str, ...], rng: Random
) -> tuple[int, list[tuple[Trouble, int, int]]]:
    """Draws a dense day.

    Returns:
        The day's length in seconds, and its troubles with their start and end in hundredths of a
        second.
    """
    available = ways(site, only)
    aimed = [[way for way in available if way.kind == kind] for kind in AIMS[aim]]
    aimed = [variants for variants in aimed if variants]
    kinds = sorted({way.kind for way in available})
    length = rng.randint(*DAY_LENGTHS_SECONDS)
    end = to_centiseconds(length - QUIET)
    cluster_times = [
        rng.randint(0, end) for _ in range(max(2, round(length / CLUSTER_INTERVAL_SECONDS)))
    ]
    placed: list[tuple[Trouble, int, int]] = []
    draw_counts = Counter[Way]()
    for _ in range(round(RATE[severity] * length / 10)):
        if aimed and rng.random() < AIMED_SHARE:
            way = rng.choice(rng.choice(aimed))
        else:
            kind = rng.choice(kinds)
            way = rng.choice([variant for variant in available if variant.kind == kind])
        draw_counts[way] += 1
        if draw_counts[way] > way.max_per_day:
            continue
        at = rng.randint(0, end)
        if rng.random() < CLUSTERED_SHARE:
            at = rng.choice(cluster_times) + to_centiseconds(
                rng.uniform(-CLUSTER_RADIUS_SECONDS, CLUSTER_RADIUS_SECONDS)
            )
        placed.append(_within(site, way.draw(rng), min(max(at, 0), end), end))
    if aim == "changes" and (not only or "config_change" in only):
        at, interval = 0.0, rng.uniform(*CHANGE_INTERVAL_SECONDS)
        while to_centiseconds(at) < end:
            change = Trouble("config_change", True, {"how": rng.choice(CONFIG_CHANGES)})
            placed.append((change, to_centiseconds(at), to_centiseconds(at)))
            at += interval * rng.uniform(0.5, 1.5)
    return length, placed


def _within(site: Site, trouble: Trouble, at: int, end: int) -> tuple[Trouble, int, int]:
    """The trouble with its start and end, shortened to end by `end` if it has the field `for_s`.

    `at` and `end` are hundredths of a second.
    """
    fields = dict(trouble.fields)
    if "for_s" in fields:
        fields["for_s"] = max(0.1, min(fields["for_s"], (end - at) / 100))
    trouble = Trouble(trouble.kind, trouble.is_planned, fields)
    return trouble, at, at + duration(trouble, site.things, site.config_delay)


def closing(fault: dict[str, Any] | None, rng: Random) -> dict[str, Any] | None:
    """The closing fault with a random downtime."""
    return None if fault is None else fault | {"down_s": round(rng.uniform(0.4, 2.0), 2)}
