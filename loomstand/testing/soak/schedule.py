"""The schedule of disturbances of a soak run, drawn from a seed. Performs no I/O.

Disturbances come in series that overlap. Disturbances of core machines do not overlap, because the
cluster tolerates the loss of only one at a time: each begins after the machine that was lost before
has returned and caught up.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from loomstand.testing.soak.timing import CATCH_UP_SECONDS, GRACE_SECONDS, START_SECONDS

# Number of series of disturbances in a run; they overlap while the cluster must serve requests.
MIN_SERIES, MAX_SERIES = 4, 8
MAX_GAP_SECONDS = 1.5  # between the steps of a series
MAX_FREEZE_SECONDS = 1.5
HANGUP_FIRST_SHARE = 0.3  # of the terminations: a SIGHUP precedes them by up to 0.2 s
TERMINATED_TWICE_SHARE = 0.2  # of the terminations: a second SIGTERM follows within 1 s
CORE_KILL_SHARE = 0.5  # of the runs
LEAVE_SHARE = 0.7  # of the runs
EARLY_SHARE = 0.5  # of the runs
ROLL_SHARE = 0.6  # of the runs
MAX_ROLLS = 2  # in a run
# From a kill of the core to a server's first call to leave; it repeats the call until the core is
# back.
LEAVE_OFFSET_SECONDS = (-0.2, 1.0)
SERVE_ON_SECONDS = (3.0, 12.0)  # after the acknowledgement of a leave


class Action(Enum):
    """Kind of a disturbance."""

    TERMINATE = auto()  # SIGTERM, then restart
    TERMINATE_BUSY = auto()  # SIGTERM as soon as it has been sent a request, then restart
    KILL = auto()  # SIGKILL, then restart
    HANG_UP = auto()  # changes the settings file and sends SIGHUP
    SIGNAL_TERMINATE = auto()  # sends another SIGTERM to a process that may be stopping
    FREEZE = auto()  # SIGSTOP, then SIGCONT after `seconds`
    CHANGE = auto()  # the operator sends a changed configuration
    DRAIN = auto()  # a server drains, leaves and returns
    LEAVE = auto()  # a server leaves without draining, serves on for `seconds` and returns
    KILL_CORE = auto()  # SIGKILL to all processes of the core, then restart
    EARLY = auto()  # a server begins long requests early and loses answers for `seconds`
    SLOW = auto()  # a server is slow for `seconds`
    HURRY = auto()  # clients disconnect early for `seconds`


@dataclass(frozen=True, slots=True, order=True)
class Step:
    """One disturbance.

    Attributes:
        at: Seconds from the start of traffic.
        target: Name of a process or server; empty for the operator, the clients and the whole
            core.
        action: The kind of disturbance.
        seconds: Its duration; 0 for actions without one.
    """

    at: float
    target: str
    action: Action
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """The targets and the duration of a run.

    Attributes:
        proxies: Names of the proxies.
        core_machines: Names of the processes on core machines, one tuple for each machine.
        servers: Names of the servers.
        seconds: Duration of the disturbances.
    """

    proxies: tuple[str, ...]
    core_machines: tuple[tuple[str, ...], ...]
    servers: tuple[str, ...]
    seconds: float


def draw_schedule(seed: int, shape: ClusterShape) -> list[Step]:
    """Returns the steps of a run in order of time; the same for the same seed and shape."""
    rng = Random(seed)
    series = [
        _restarts,
        _restarts,
        _kills,
        _hang_ups,
        _changes,
        _drains,
        _slow_servers,
        _impatient_clients,
        _freezes,
    ]
    core_steps = list(_core(rng, shape))
    steps = []
    for draw in rng.choices(series, k=rng.randint(MIN_SERIES, MAX_SERIES)):
        steps += draw(rng, shape)
    # drawn apart, so that all other steps of a seed are those of earlier releases
    added_rng = Random(f"{seed} core kill, leaves and early servers")
    if added_rng.random() < CORE_KILL_SHARE:
        core_steps = _with_core_kill(added_rng, core_steps)
    steps += core_steps
    if added_rng.random() < LEAVE_SHARE:
        steps += _leaves(added_rng, shape, core_steps)
    if added_rng.random() < EARLY_SHARE:
        steps += _early_servers(added_rng, shape)
    roll_rng = Random(f"{seed} rolls")  # drawn apart likewise
    if roll_rng.random() < ROLL_SHARE:
        for _ in range(roll_rng.randint(1, MAX_ROLLS)):
            steps += _roll(roll_rng, shape)
    return sorted(
        (step for step in steps if step.at < shape.seconds),
        key=lambda step: (step.at, step.target, step.action.name),
    )


def _moments(rng: Random, shape: ClusterShape, count: int) -> Iterator[float]:
    """Draws the times of a series with about equal gaps."""
    gap = rng.uniform(0.0, MAX_GAP_SECONDS)
    at = rng.uniform(0.0, 0.6 * shape.seconds)
    for _ in range(count):
        yield at
        at += gap * rng.uniform(0.5, 1.5)


def _sample_names(rng: Random, names: tuple[str, ...]) -> list[str]:
    """Draws at least one of the names, in random order."""
    return rng.sample(names, rng.randint(1, len(names)))


def _restarts(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    targets = _sample_names(rng, shape.proxies)
    for at, name in zip(_moments(rng, shape, len(targets)), targets, strict=True):
        if rng.random() < HANGUP_FIRST_SHARE:
            yield Step(max(0.0, at - rng.uniform(0.0, 0.2)), name, Action.HANG_UP)
        yield Step(at, name, Action.TERMINATE)
        if rng.random() < TERMINATED_TWICE_SHARE:
            yield Step(at + rng.uniform(0.01, 1.0), name, Action.SIGNAL_TERMINATE)


def _roll(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    """Restarts all proxies one after the other while they serve; servers are slow meanwhile."""
    targets = rng.sample(shape.proxies, len(shape.proxies))
    moments = list(_moments(rng, shape, len(targets)))
    for at, name in zip(moments, targets, strict=True):
        yield Step(at, name, Action.TERMINATE_BUSY)
    for name in _sample_names(rng, shape.servers):
        yield Step(moments[0], name, Action.SLOW, moments[-1] - moments[0] + START_SECONDS)


def _kills(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    targets = _sample_names(rng, shape.proxies)
    for at, name in zip(_moments(rng, shape, len(targets)), targets, strict=True):
        yield Step(at, name, Action.KILL)


def _freezes(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    targets = _sample_names(rng, shape.proxies)
    for at, name in zip(_moments(rng, shape, len(targets)), targets, strict=True):
        yield Step(at, name, Action.FREEZE, rng.uniform(0.1, MAX_FREEZE_SECONDS))


def _hang_ups(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    names = (*shape.proxies, *(name for machine in shape.core_machines for name in machine))
    targets = _sample_names(rng, names)
    at = rng.uniform(0.0, 0.8 * shape.seconds)
    for name in targets:
        yield Step(at, name, Action.HANG_UP)
        at += rng.uniform(0.0, 0.2)


def _changes(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    for at in _moments(rng, shape, rng.randint(3, 8)):
        yield Step(at, "", Action.CHANGE)


def _drains(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    targets = rng.sample(shape.servers, max(1, len(shape.servers) // 4))
    for at, name in zip(_moments(rng, shape, len(targets)), targets, strict=True):
        yield Step(at, name, Action.DRAIN)


def _slow_servers(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    at = rng.uniform(0.0, 0.6 * shape.seconds)
    seconds = rng.uniform(1.0, 3.0)
    for name in _sample_names(rng, shape.servers):
        yield Step(at, name, Action.SLOW, seconds)


def _impatient_clients(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    """Makes servers slow while clients disconnect early, so that servers outlast their clients."""
    at = rng.uniform(0.0, 0.6 * shape.seconds)
    seconds = rng.uniform(1.0, 4.0)
    yield Step(at, "", Action.HURRY, seconds)
    for name in _sample_names(rng, shape.servers):
        yield Step(at, name, Action.SLOW, seconds)


def _core(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    """Disturbs one core machine after the other: one or both of its processes at the same time."""
    at = rng.uniform(0.0, 3.0)
    while at < shape.seconds:
        machine = rng.choice(shape.core_machines)
        action = rng.choice((Action.TERMINATE, Action.KILL, Action.FREEZE))
        seconds = rng.uniform(0.1, MAX_FREEZE_SECONDS) if action is Action.FREEZE else 0.0
        for name in _sample_names(rng, machine):
            yield Step(at, name, action, seconds)
        outage_seconds = {
            Action.TERMINATE: GRACE_SECONDS + START_SECONDS,
            Action.KILL: START_SECONDS,
        }
        at += outage_seconds.get(action, seconds) + CATCH_UP_SECONDS + rng.uniform(0.0, 2.0)


def _with_core_kill(rng: Random, core_steps: list[Step]) -> list[Step]:
    """Replaces one disturbance of a core machine that ends in a restart by a kill of all of them.

    The gap that follows such a disturbance suffices for the core to catch up.
    """
    moments = sorted({step.at for step in core_steps if step.action is not Action.FREEZE})
    if not moments:
        return core_steps
    moment = rng.choice(moments)
    others = [step for step in core_steps if step.at != moment]
    return [*others, Step(moment, "", Action.KILL_CORE)]


def _leaves(rng: Random, shape: ClusterShape, core_steps: list[Step]) -> Iterator[Step]:
    """Servers that leave at the kill of the core, if there is one."""
    targets = rng.sample(shape.servers, max(1, len(shape.servers) // 4))
    killed_at = [step.at for step in core_steps if step.action is Action.KILL_CORE]
    for at, name in zip(_moments(rng, shape, len(targets)), targets, strict=True):
        seconds = rng.uniform(*SERVE_ON_SECONDS)
        if killed_at:
            at_kill = killed_at[0] + rng.uniform(*LEAVE_OFFSET_SECONDS)
            yield Step(max(0.0, at_kill), name, Action.LEAVE, seconds)
        else:
            yield Step(at, name, Action.LEAVE, seconds)


def _early_servers(rng: Random, shape: ClusterShape) -> Iterator[Step]:
    at = rng.uniform(0.0, 0.6 * shape.seconds)
    seconds = rng.uniform(2.0, 4.0)
    for name in rng.sample(shape.servers, len(shape.servers) // 2):
        yield Step(at, name, Action.EARLY, seconds)
