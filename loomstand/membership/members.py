"""Group membership of limiters by the SWIM protocol (Das, Gupta and Motivala, 2002).

In each period a limiter pings one other member, in shuffled rounds. A member that does not answer
is pinged through three others, and is then suspected. It is declared dead if it doesn't refute the
suspicion in time. A member that learns that it is suspected or dead refutes this by a higher
incarnation; no other member may raise it. A limiter's first incarnation is its start time, so that
a restarted limiter overrides the state of its previous process. State updates are piggybacked on
messages, each often enough to reach all members. A limiter sends one ping and one acknowledgement
per period, regardless of the size of the group, and four more messages for each member that does
not answer.

No I/O; times are in seconds of the caller's monotonic clock, and incarnations in Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from math import ceil, log2
from random import Random

from loomstand.membership.messages import Ack, Check, MemberUpdate, Message, Ping

# Period of the pings, as in SWIM. A death is known to all N members about log2(N) periods later,
# which is short compared with the 6 s after which a change of the endpoint list counts as known.
PROBE_PERIOD_SECONDS = 1.0
# Time to wait for a direct answer; the rest of the period remains for indirect probes.
DIRECT_TIMEOUT_SECONDS = 0.3 * PROBE_PERIOD_SECONDS
# Members asked to ping a member that did not answer, so that a single lossy path causes no
# suspicion.
INDIRECT_PROBES = 3
# Maximum number of updates in a message, about 1 KB. With 6 of them, it took 90 s until all of
# 1,000 starting limiters knew each other.
MAX_UPDATES = 40
UPDATE_REPEAT_FACTOR = 3  # an update is sent this many times log2(N)
# A suspicion lasts for this many times log2(N) periods; a refutation takes about log2(N) periods.
SUSPICION_FACTOR = 3
# Time for which a dead member is remembered, so that outdated updates don't revive it.
DEAD_RETENTION_SECONDS = 60.0


class MemberState(IntEnum):
    """The state of a limiter; of two states of one incarnation the greater one overrides."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True)
class Peer:
    """Another limiter as known to this one.

    Attributes:
        id: Its number.
        address: Its address for datagrams of peers; empty if unknown.
        incarnation: Its latest known incarnation.
        state: Its state in that incarnation.
        state_since: Time at which this limiter recorded the state.
        revision: Revision of its endpoint list in its latest message.
        has_sent: Whether this limiter has received a message from it since it was last dead or had
            left.
    """

    id: int
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    state_since: float = 0.0
    revision: int = 0
    has_sent: bool = False


class Membership:
    """The view that one limiter has of the group.

    Args:
        limiter_id: The limiter's number.
        address: The limiter's address for peers; empty to announce none.
        incarnation: The limiter's start time in Unix ms.
        configured_addresses: The addresses of peers in the limiter's configuration.
        seed: Seed of the random generator.
        now: The current time.

    Attributes:
        peers: The other members, by number.
        updates: By limiter, the update to send and the number of messages that still carry it.
        ping_round: Members that are still to be pinged in this round.
        pending_pings: By sequence number, the pinged member, the time of the ping, and whether
            other members were asked to ping it.
        relayed_pings: Pings sent for other members, by sequence number: the requesting member, the
            sequence number of its ping, and the time.
        seq: Sequence number of the last ping.
        revision: Revision of the limiter's endpoint list, for messages; set by the owner.
        age: Seconds since discovery confirmed that list, for messages; set by the owner.
        next_ping_at: Time of the next ping.
        outbox: Messages to send, each with the recipient's number or address; taken by the owner.
        transitions: Members' state transitions, each with the previous and the new state; taken by
            the owner.
        has_left: Whether `leave` was called.
    """

    def __init__(
        self,
        limiter_id: int,
        address: str,
        incarnation: int,
        configured_addresses: Iterable[str],
        seed: int,
        now: float,
    ) -> None:
        self.limiter_id, self.address, self.incarnation = limiter_id, address, incarnation
        self.rng = Random(seed)
        self.configured_addresses = [other for other in configured_addresses if other != address]
        self.peers: dict[int, Peer] = {}
        self.updates: dict[int, list] = {}
        self.ping_round: list[int] = []
        self.pending_pings: dict[int, tuple[int, float, bool]] = {}
        self.relayed_pings: dict[int, tuple[int, int, float]] = {}
        self.seq = self.revision = 0
        self.age = -1.0
        self.next_ping_at = now
        self.outbox: list[tuple[int | str, Message]] = []
        self.transitions: list[tuple[int, MemberState, MemberState]] = []
        self.has_left = False
        self.spread(MemberUpdate(limiter_id, address, incarnation, MemberState.ALIVE))

    # queries

    def alive(self) -> list[int]:
        """Returns the sorted numbers of the alive and suspected members, including this one."""
        alive = [
            p.id
            for p in self.peers.values()
            if p.state in (MemberState.ALIVE, MemberState.SUSPECTED)
        ]
        return sorted([*alive, self.limiter_id])

    def is_known_source(self, id_: int, source: str) -> bool:
        """Returns whether a message from limiter `id_` came from a known address of a peer."""
        peer = self.peers.get(id_)
        return source in self.configured_addresses or (peer is not None and peer.address == source)

    def suspicion_seconds(self) -> float:
        """Returns the time in seconds after which a suspected member is declared dead."""
        return SUSPICION_FACTOR * PROBE_PERIOD_SECONDS * max(1.0, log2(len(self.peers) + 2))

    # timer

    def tick(self, now: float) -> None:
        """Handles overdue answers and expired suspicions, and sends the next ping.

        Must be called at least about ten times a second.
        """
        for seq, (target, sent_at, is_relayed) in list(self.pending_pings.items()):
            peer = self.peers.get(target)
            if now - sent_at >= PROBE_PERIOD_SECONDS or peer is None:
                del self.pending_pings[seq]
                if peer is not None and peer.state is MemberState.ALIVE:
                    self.apply_update(
                        now,
                        MemberUpdate(target, peer.address, peer.incarnation, MemberState.SUSPECTED),
                    )
            elif now - sent_at >= DIRECT_TIMEOUT_SECONDS and not is_relayed:
                self.pending_pings[seq] = (target, sent_at, True)
                others = [
                    p.id
                    for p in self.peers.values()
                    if p.id != target and p.state is MemberState.ALIVE
                ]
                for other in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
                    self.send(other, Check(*self.header(), seq, target))
        self.relayed_pings = {
            seq: (requester, requester_seq, sent_at)
            for seq, (requester, requester_seq, sent_at) in self.relayed_pings.items()
            if now - sent_at < PROBE_PERIOD_SECONDS
        }
        for peer in list(self.peers.values()):
            if (
                peer.state is MemberState.SUSPECTED
                and now - peer.state_since >= self.suspicion_seconds()
            ):
                self.apply_update(
                    now,
                    MemberUpdate(peer.id, peer.address, peer.incarnation, MemberState.DEAD),
                )
            elif (
                peer.state in (MemberState.DEAD, MemberState.LEFT)
                and now - peer.state_since >= DEAD_RETENTION_SECONDS
            ):
                del self.peers[peer.id]
                self.updates.pop(peer.id, None)
        if now >= self.next_ping_at and not self.has_left:
            self.next_ping_at = max(self.next_ping_at + PROBE_PERIOD_SECONDS, now)
            self.ping(now)

    def ping(self, now: float) -> None:
        """Pings the next member of the round, and one configured address without a live member."""
        while self.ping_round and self.live_peer(self.ping_round[-1]) is None:
            self.ping_round.pop()
        if not self.ping_round:
            self.ping_round = [
                p.id for p in self.peers.values() if self.live_peer(p.id) is not None
            ]
            self.rng.shuffle(self.ping_round)
        if self.ping_round:
            target = self.ping_round.pop()
            self.seq += 1
            self.pending_pings[self.seq] = (target, now, False)
            self.send(target, Ping(*self.header(), self.seq))
        live_addresses = {
            p.address
            for p in self.peers.values()
            if p.has_sent and p.state in (MemberState.ALIVE, MemberState.SUSPECTED)
        }
        # includes addresses of dead members, so that both sides notice when a partition heals
        unreached = [
            address for address in self.configured_addresses if address not in live_addresses
        ]
        if unreached:
            self.seq += 1
            self.send(self.rng.choice(unreached), Ping(*self.header(), self.seq))

    def live_peer(self, id_: int) -> Peer | None:
        """Returns the peer with this number if it is alive or suspected, otherwise None."""
        peer = self.peers.get(id_)
        return (
            peer
            if peer is not None and peer.state in (MemberState.ALIVE, MemberState.SUSPECTED)
            else None
        )

    def leave(self) -> None:
        """Announces to some members that this limiter leaves; they spread the update."""
        self.has_left = True
        self.spread(MemberUpdate(self.limiter_id, self.address, self.incarnation, MemberState.LEFT))
        alive = [p.id for p in self.peers.values() if p.state is MemberState.ALIVE]
        for target in self.rng.sample(alive, min(2 * INDIRECT_PROBES, len(alive))):
            self.send(target, Ping(*self.header(), 0))

    # messages

    def header(self) -> tuple[int, int, int, list[MemberUpdate], float]:
        """Returns the common fields of the next message, and counts its updates as sent."""
        return self.limiter_id, self.incarnation, self.revision, self.next_updates(), self.age

    def next_updates(self) -> list[MemberUpdate]:
        """Returns the updates with the most remaining repetitions, and counts them as sent."""
        selected = sorted(self.updates.items(), key=lambda item: -item[1][1])[:MAX_UPDATES]
        for id_, update in selected:
            update[1] -= 1
            if update[1] <= 0:
                del self.updates[id_]
        return [update[0] for _, update in selected]

    def spread(self, update: MemberUpdate) -> None:
        """Adds an update to the next messages; replaces an earlier one of the same limiter."""
        self.updates[update.id] = [
            update,
            ceil(UPDATE_REPEAT_FACTOR * log2(len(self.peers) + 2)) + 1,
        ]

    def send(self, recipient: int | str, message: Message) -> None:
        """Adds a message to the outbox; `recipient` is a limiter's number or an address."""
        self.outbox.append((recipient, message))

    def receive(self, now: float, message: Message, source: str) -> None:
        """Handles a message; `source` is the sender's address."""
        self.update_sender(now, message, source)
        for update in message.updates:
            self.apply_update(now, update)
        match message:
            case Ping():
                self.send(
                    message.id if message.id in self.peers else source,
                    Ack(*self.header(), message.seq),
                )
            case Ack(target=-1):
                self.ping_answered(message.seq, message.id)
            case Ack():
                self.ping_answered(message.seq, message.target)
            case Check(target=target) if self.live_peer(target) is not None:
                self.seq += 1
                self.relayed_pings[self.seq] = (message.id, message.seq, now)
                self.send(target, Ping(*self.header(), self.seq))

    def ping_answered(self, seq: int, target: int) -> None:
        """Completes a ping that `target` answered; relays the answer if a member asked for it."""
        self.pending_pings.pop(seq, None)
        if seq in self.relayed_pings:
            requester, requester_seq, _ = self.relayed_pings.pop(seq)
            self.send(requester, Ack(*self.header(), requester_seq, target))

    def update_sender(self, now: float, message: Message, source: str) -> None:
        """Records that the sender of a message is alive in its stated incarnation."""
        known = self.peers.get(message.id)
        if known is None or message.incarnation > known.incarnation:
            self.apply_update(
                now, MemberUpdate(message.id, source, message.incarnation, MemberState.ALIVE)
            )
        peer = self.peers.get(message.id)
        if peer is not None and message.incarnation == peer.incarnation:
            peer.has_sent, peer.revision = True, message.revision
            if peer.state is not MemberState.ALIVE and peer.state is not MemberState.LEFT:
                # spread the update again, so that the sender receives it and can refute its state
                self.spread(MemberUpdate(peer.id, peer.address, peer.incarnation, peer.state))

    def apply_update(self, now: float, update: MemberUpdate) -> None:
        """Applies a state update.

        A higher incarnation overrides a lower one, and a greater state overrides a lower one of the
        same incarnation, so that the views of all members converge.
        """
        if update.id == self.limiter_id:
            if (
                update.state != MemberState.ALIVE
                and update.incarnation >= self.incarnation
                and not self.has_left
            ):
                self.incarnation = update.incarnation + 1  # refutes the update
                self.spread(
                    MemberUpdate(self.limiter_id, self.address, self.incarnation, MemberState.ALIVE)
                )
            return
        known, state = self.peers.get(update.id), MemberState(update.state)
        if known is None:
            if state in (MemberState.DEAD, MemberState.LEFT):
                return  # a member unknown to this limiter need not be tracked
            self.peers[update.id] = Peer(update.id, update.address, update.incarnation, state, now)
            self.transitions.append((update.id, MemberState.DEAD, state))
        else:
            if (update.incarnation, state) <= (known.incarnation, known.state):
                return
            if known.state is not state:
                self.transitions.append((update.id, known.state, state))
            if update.incarnation > known.incarnation and not known.has_sent:
                known.address = update.address
            known.incarnation, known.state, known.state_since = update.incarnation, state, now
            if state in (MemberState.DEAD, MemberState.LEFT):
                known.has_sent = False
        self.spread(
            MemberUpdate(update.id, self.peers[update.id].address, update.incarnation, state)
        )
