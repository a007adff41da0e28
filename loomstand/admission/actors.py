"""Actors of the decision engine, and the loop that delivers their messages.

An actor changes its state only when the loop delivers a message to it, so no two actors ever change
each other in the middle of a step; they may read each other's state. Pure: this module makes no
decisions, and uses no socket, disk or clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import TypeVarTuple

from loomstand.admission.actions import Action
from loomstand.admission.settings import EngineSettings

NEVER = -(1 << 60)  # a clock reading before all others, in ticks

Arguments = TypeVarTuple("Arguments")


class ActorLoop:
    """Delivers messages in the order in which they were posted.

    Attributes:
        settings: The settings in force.
        random: Returns a random number in [0, 1).
        now: Reading of the common clock for the current event, in ticks.
        started_at: Reading at which the limiter started.
        ready: The receivers of the messages that are not yet delivered, in order.
        actions: The actions decided since the last `run`.
    """

    def __init__(self, settings: EngineSettings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.now = now
        self.started_at = now
        self.ready: deque[Actor] = deque()
        self.actions: list[Action] = []

    def run(self) -> list[Action]:
        """Delivers all messages, and returns the resulting actions."""
        while self.ready:
            handler, arguments = self.ready.popleft().inbox.pop(0)
            handler(*arguments)
        actions = self.actions
        self.actions = []
        return actions


class Actor:
    """State that changes only by messages.

    Attributes:
        loop: The loop that delivers them.
        inbox: Handlers and arguments of the messages not yet delivered; a list, as it is short.
    """

    __slots__ = ("inbox", "loop")

    def __init__(self, loop: ActorLoop) -> None:
        self.loop = loop
        self.inbox: list[tuple[Callable[..., None], tuple[object, ...]]] = []

    def post(self, handler: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Posts a message to this actor; `handler` is one of its methods."""
        self.inbox.append((handler, arguments))
        self.loop.ready.append(self)
