"""Who is there: a membership machine after SWIM (Das, Gupta and Motivala, 2002), pure.

Every period a limiter pings one other, in a shuffled round; one that does not answer is asked for
through three others, then suspected, and dead when a suspicion has stood for so many periods that
it could have refuted it. One that hears that it is suspected or dead says a higher incarnation;
only it may raise it, and a start takes the clock's, so that a restart counts as another life. News
rides on pings and answers, each so often that all have it. Sent a period and a limiter: one ping
and one answer, whatever the number; four more for each that does not answer.

Times are seconds on the caller's monotonic clock; incarnations are Unix milliseconds. `out` holds
what is to be sent, as (limiter number or address, message).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from math import ceil, log2
from random import Random

from loomstand.membership.messages import Ack, Base, Check, Ping, Word

# s: SWIM's; a death is known to all some log2(N) periods later, soon beside the 6 s of a list
PERIOD = 1.0
ANSWER = 0.3 * PERIOD  # direct; the rest of the period is for those asked in between
ASKED = 3  # that are asked to ping for us: one lossy path of ours is then no suspicion
# a message, a kilobyte of them: six took a minute and a half to tell of a thousand that start
WORDS = 40
SPREAD = 3  # times log2(N) that a word rides along
DOUBT = 3  # times log2(N) periods that a suspicion stands: a refutation takes about one times that
FORGET = 60.0  # s that the dead are remembered, so that old words of them revive nobody


class State(IntEnum):
    """In the order in which one overrides the other at the same incarnation."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True)
class Peer:
    """What is known of another limiter."""

    id: int
    at: str
    inc: int = 0
    state: State = State.ALIVE
    since: float = 0.0
    revision: int = 0  # of the list it said it holds
    heard: bool = False  # from itself, not only of it


class Members:
    """The view of one limiter. `given` are the addresses that the configuration names."""

    def __init__(
        self, me: int, at: str, inc: int, given: Iterable[str], seed: int, now: float
    ) -> None:
        self.me, self.at, self.inc = me, at, inc
        self.rng = Random(seed)
        self.given = [a for a in given if a != at]
        self.peers: dict[int, Peer] = {}
        self.words: dict[int, list] = {}  # by limiter: its word, and how often it has still to ride
        self.round: list[int] = []
        self.waiting: dict[
            int, tuple[int, float, bool]
        ] = {}  # by seq: whom, since, whether others were asked
        self.relayed: dict[
            int, tuple[int, int, float]
        ] = {}  # pings made for others: who asked, with which seq
        self.seq = self.revision = 0
        self.age = -1.0  # of the list held, for what is sent
        self.due = now
        self.out: list[tuple[int | str, Base]] = []
        self.moved: list[tuple[int, State, State]] = []
        self.left = False
        self.tell(Word(me, at, inc, State.ALIVE))

    # what is asked of the view

    def alive(self) -> list[int]:
        """Numbers of those that are taken to be there, this one too, in order."""
        there = [p.id for p in self.peers.values() if p.state in (State.ALIVE, State.SUSPECTED)]
        return sorted([*there, self.me])

    def knows(self, id_: int, source: str) -> bool:
        """Whether a message that says it is from a limiter came from where that one is known to
        be.
        """
        peer = self.peers.get(id_)
        return source in self.given or (peer is not None and peer.at == source)

    def lasting(self) -> float:
        """Seconds that a suspicion stands."""
        return DOUBT * PERIOD * max(1.0, log2(len(self.peers) + 2))

    # time

    def tick(self, now: float) -> None:
        """Called some ten times a second: overdue answers, suspicions that have stood, the next
        ping.
        """
        for seq, (whom, since, asked) in list(self.waiting.items()):
            peer = self.peers.get(whom)
            if now - since >= PERIOD or peer is None:
                del self.waiting[seq]
                if peer is not None and peer.state is State.ALIVE:
                    self.learn(now, Word(whom, peer.at, peer.inc, State.SUSPECTED))
            elif now - since >= ANSWER and not asked:
                self.waiting[seq] = (whom, since, True)
                others = [
                    p.id for p in self.peers.values() if p.id != whom and p.state is State.ALIVE
                ]
                for other in self.rng.sample(others, min(ASKED, len(others))):
                    self.send(other, Check(*self.head(), seq, whom))
        self.relayed = {seq: r for seq, r in self.relayed.items() if now - r[2] < PERIOD}
        for peer in list(self.peers.values()):
            if peer.state is State.SUSPECTED and now - peer.since >= self.lasting():
                self.learn(now, Word(peer.id, peer.at, peer.inc, State.DEAD))
            elif peer.state in (State.DEAD, State.LEFT) and now - peer.since >= FORGET:
                del self.peers[peer.id]
                self.words.pop(peer.id, None)
        if now >= self.due and not self.left:
            self.due = max(self.due + PERIOD, now)
            self.ping(now)

    def ping(self, now: float) -> None:
        """One member of the round; beside it one given address that nobody has been heard from."""
        while self.round and self.able(self.round[-1]) is None:
            self.round.pop()
        if not self.round:
            self.round = [p.id for p in self.peers.values() if self.able(p.id) is not None]
            self.rng.shuffle(self.round)
        if self.round:
            whom = self.round.pop()
            self.seq += 1
            self.waiting[self.seq] = (whom, now, False)
            self.send(whom, Ping(*self.head(), self.seq))
        here = {
            p.at
            for p in self.peers.values()
            if p.heard and p.state in (State.ALIVE, State.SUSPECTED)
        }
        unknown = [a for a in self.given if a not in here]
        if unknown:  # also those that were given up: a cut that heals is found from either side
            self.seq += 1
            self.send(self.rng.choice(unknown), Ping(*self.head(), self.seq))

    def able(self, id_: int) -> Peer | None:
        peer = self.peers.get(id_)
        return peer if peer is not None and peer.state in (State.ALIVE, State.SUSPECTED) else None

    def leave(self) -> None:
        """Says goodbye to some, who say it on."""
        self.left = True
        self.tell(Word(self.me, self.at, self.inc, State.LEFT))
        there = [p.id for p in self.peers.values() if p.state is State.ALIVE]
        for whom in self.rng.sample(there, min(2 * ASKED, len(there))):
            self.send(whom, Ping(*self.head(), 0))

    # messages

    def head(self) -> tuple[int, int, int, list[Word], float]:
        return self.me, self.inc, self.revision, self.news(), self.age

    def news(self) -> list[Word]:
        """The words that have ridden least."""
        most = sorted(self.words.items(), key=lambda w: -w[1][1])[:WORDS]
        for id_, word in most:
            word[1] -= 1
            if word[1] <= 0:
                del self.words[id_]
        return [word[0] for _, word in most]

    def tell(self, word: Word) -> None:
        self.words[word.id] = [word, ceil(SPREAD * log2(len(self.peers) + 2)) + 1]

    def send(self, whom: int | str, message: Base) -> None:
        self.out.append((whom, message))

    def took(self, now: float, message: Base, source: str) -> None:
        """A message came from a known place."""
        self.meet(now, message, source)
        for word in message.words:
            self.learn(now, word)
        match message:
            case Ping():
                self.send(
                    message.id if message.id in self.peers else source,
                    Ack(*self.head(), message.seq),
                )
            case Ack(of=-1):
                self.answered(message.seq, message.id)
            case Ack():
                self.answered(message.seq, message.of)
            case Check(whom=whom) if self.able(whom) is not None:
                self.seq += 1
                self.relayed[self.seq] = (message.id, message.seq, now)
                self.send(whom, Ping(*self.head(), self.seq))

    def answered(self, seq: int, whom: int) -> None:
        self.waiting.pop(seq, None)
        if seq in self.relayed:
            asker, theirs, _ = self.relayed.pop(seq)
            self.send(asker, Ack(*self.head(), theirs, whom))

    def meet(self, now: float, message: Base, source: str) -> None:
        """The sender itself is there: it says so with its incarnation."""
        known = self.peers.get(message.id)
        if known is None or message.inc > known.inc:
            self.learn(now, Word(message.id, source, message.inc, State.ALIVE))
        peer = self.peers.get(message.id)
        if peer is not None and message.inc == peer.inc:
            peer.heard, peer.revision = True, message.revision
            if peer.state is not State.ALIVE and peer.state is not State.LEFT:
                # it lives, but must say so itself to all: tell it what is said of it
                self.tell(Word(peer.id, peer.at, peer.inc, peer.state))

    def learn(self, now: float, word: Word) -> None:
        """News of a limiter, by the rules that make all views the same: the higher incarnation, and
        at the same one the worse state.
        """
        if word.id == self.me:
            if word.state != State.ALIVE and word.inc >= self.inc and not self.left:
                self.inc = word.inc + 1  # refuted
                self.tell(Word(self.me, self.at, self.inc, State.ALIVE))
            return
        known, state = self.peers.get(word.id), State(word.state)
        if known is None:
            if state in (State.DEAD, State.LEFT):
                return  # of nobody
            self.peers[word.id] = Peer(word.id, word.at, word.inc, state, now)
            self.moved.append((word.id, State.DEAD, state))
        else:
            if (word.inc, state) <= (known.inc, known.state):
                return
            if known.state is not state:
                self.moved.append((word.id, known.state, state))
            if word.inc > known.inc and not known.heard:
                known.at = word.at
            known.inc, known.state, known.since = word.inc, state, now
            if state in (State.DEAD, State.LEFT):
                known.heard = False
        self.tell(Word(word.id, self.peers[word.id].at, word.inc, state))
