"""Passing the configuration on over the links between processes.

What is new is pushed: by a gateway to the gateways that it is linked with
and to the sidecars that it feeds. A push can be lost with its link, so both
ends tell how far they are when a link opens, and gateways tell it now and
then; whoever is behind asks. Doubled and late messages change nothing.
"""

import collections.abc
import dataclasses

from berylhollow.configuration import _history
from berylhollow.configuration import _ranking
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import messages

Effects = list[effects.Effect]

FEEDERS = 2
PLACED_A_TICK = 200
MOST_GATEWAY_TARGETS = 8
# Larger entries are offered, and sent only to those who ask: each gateway
# has several neighbours who would all send them.
LARGEST_PUSH_BYTES = 4096
ASK_PAUSE_MS = 500
TELL_GATEWAYS_MS = 1000
TELL_SIDECARS_MS = 4000
ASK_AFTER_MS = 5000
SNAPSHOT_PAUSE_MS = 1000
LONG_AGO_MS = -(10**9)


@dataclasses.dataclass(slots=True)
class Peer:
    """A linked process and the offset up to which it has read, if known.

    ``revision`` is the one that it last told of, -1 if it never did.
    """

    role: events.Role
    known: int = -1
    revision: int = -1
    told_ms: int = LONG_AGO_MS
    snapshot_ms: int = LONG_AGO_MS


class Spread:
    """What a process knows of its peers' reading; a pure machine.

    ``as_of_ms`` is the latest time at which the log is known to have held
    no more than we have read, None if none is known. ``ahead`` are peers
    that told of more. ``first_told_ms`` is when the first peer told
    anything, ``heard_ms`` when the last one did.
    """

    def __init__(
        self, instance: str, role: events.Role, history: _history.History
    ):
        self.instance = instance
        self.role = role
        self.history = history
        self.peers: dict[str, Peer] = {}
        self.gateway_targets: tuple[str, ...] = ()
        # The sidecars to feed, as an ordered set.
        self.fed: dict[str, None] = {}
        self.unplaced: list[str] = []
        self.ring = _ranking.Ring()
        self.ahead: dict[str, int] = {}
        self.as_of_ms: int | None = None
        self.told_as_of_ms = LONG_AGO_MS
        self.told_sidecars_ms = 0
        self.first_told_ms: int | None = None
        self.heard_ms = 0
        self.asked_ms = LONG_AGO_MS
        self.turn = 0

    @property
    def next_offset(self) -> int:
        return self.history.state.next_offset

    def age_ms(self, at_ms: int) -> int:
        """Return how old our knowledge of the log's end is, -1 if none."""
        return -1 if self.as_of_ms is None else max(at_ms - self.as_of_ms, 0)

    # Who there is.

    def opened(self, peer: str, role: events.Role, at_ms: int) -> Effects:
        """A link is open: tell how far we are, whatever was lost before."""
        self.peers[peer] = Peer(role)
        if self.role is events.Role.GATEWAY:
            self.add_target(peer, role)
        return [self.tell(peer, at_ms)]

    def closed(self, peer: str) -> None:
        """A link is gone, and perhaps what was sent on it."""
        known = self.peers.pop(peer, None)
        self.ahead.pop(peer, None)
        self.fed.pop(peer, None)
        if known is not None and peer in self.gateway_targets:
            self.choose_gateway_targets()

    def choose_targets(self, gateways: collections.abc.Iterable[str]) -> None:
        """Choose again whom to push to, after gateways came or went.

        The sidecars follow a few at a tick: a gateway may be linked to
        thousands, and must not keep its callers waiting meanwhile.
        """
        if self.role is not events.Role.GATEWAY:
            return
        self.ring.update(gateways)
        self.choose_gateway_targets()
        self.unplaced = [
            name
            for name, peer in self.peers.items()
            if peer.role is events.Role.ENDPOINT
        ]

    def place_sidecars(self) -> None:
        """Choose for some of the sidecars whether to feed them."""
        for _ in range(min(len(self.unplaced), PLACED_A_TICK)):
            name = self.unplaced.pop()
            self.fed.pop(name, None)
            if name in self.peers:
                self.add_target(name, events.Role.ENDPOINT)

    def add_target(self, peer: str, role: events.Role) -> None:
        """Push to a gateway, or to a sidecar that is ours to feed."""
        if role is events.Role.GATEWAY:
            self.choose_gateway_targets()
        elif self.instance in self.ring.owners(peer, FEEDERS):
            self.fed[peer] = None

    def choose_gateway_targets(self) -> None:
        gateways = [
            name
            for name, peer in self.peers.items()
            if peer.role is events.Role.GATEWAY
        ]
        self.gateway_targets = tuple(
            _ranking.chosen(self.instance, gateways, MOST_GATEWAY_TARGETS)
        )

    def gateways(self, at_ms: int) -> tuple[following.PeerStatus, ...]:
        """Return what the linked gateways last told of themselves."""
        return tuple(
            following.PeerStatus(name, peer.revision, at_ms - peer.told_ms)
            for name, peer in sorted(self.peers.items())
            if peer.role is events.Role.GATEWAY and peer.revision >= 0
        )

    # What peers say.

    def at(
        self, peer: str, message: messages.ConfigurationAt, at_ms: int
    ) -> Effects:
        """A peer told how far it is; help it, or let it help us."""
        self.hear(at_ms)
        known = self.peers.get(peer)
        if known is not None:
            known.known = message.next_offset
            known.revision = message.revision
            known.told_ms = at_ms
        if message.next_offset > self.next_offset:
            self.ahead[peer] = message.next_offset
            return self.ask(peer, at_ms)
        self.ahead.pop(peer, None)
        done = self.freshen(message, at_ms)
        if message.wanted:
            done += self.serve(peer, message.next_offset, at_ms)
        elif message.next_offset < self.next_offset:
            done.append(self.tell(peer, at_ms))
        return done

    def hear(self, at_ms: int) -> None:
        """Note that a peer said something."""
        self.heard_ms = at_ms
        if self.first_told_ms is None:
            self.first_told_ms = at_ms

    def freshen(
        self, message: messages.ConfigurationAt, at_ms: int
    ) -> Effects:
        """Take over when a peer saw the end of the log, and tell it on.

        At once, for waiting for the next tick would add up over the many
        gateways that stand between this one and a reader of the log.
        """
        if message.age_ms >= 0:
            self.seen_end(at_ms - message.age_ms)
        return self.tell_gateways(at_ms)

    def seen_end(self, at_ms: int) -> None:
        """The log held no more than we have read at that time."""
        if self.as_of_ms is None or at_ms > self.as_of_ms:
            self.as_of_ms = at_ms

    def ask(self, peer: str, at_ms: int) -> Effects:
        """Ask one peer at a time for what follows; all would answer."""
        if at_ms - self.asked_ms < ASK_PAUSE_MS:
            return []
        if self.history.stopped:
            # We could not judge what they would send.
            return []
        self.asked_ms = at_ms
        return [self.tell(peer, at_ms, wanted=True)]

    # What we say.

    def tell(self, peer: str, at_ms: int, wanted: bool = False):
        """Return the effect that tells a peer how far we are."""
        state = self.history.state
        return effects.Send(
            peer,
            messages.ConfigurationAt(
                self.instance,
                state.configuration.revision,
                state.next_offset,
                self.age_ms(at_ms),
                wanted,
            ),
        )

    def serve(self, peer: str, offset: int, at_ms: int) -> Effects:
        """Send a peer what follows an offset, or all if that is gone."""
        entries = self.history.entries_from(offset)
        if entries is None:
            return self.send_snapshot(peer, at_ms)
        done: Effects = []
        if entries:
            done.append(self.send_entries(peer, entries))
        # Last, for it is the time of all the entries before it.
        return [*done, self.tell(peer, at_ms)]

    def send_entries(
        self, peer: str, entries: tuple[messages.LogEntry, ...]
    ) -> effects.Send:
        known = self.peers.get(peer)
        if known is not None:
            known.known = self.next_offset
        message = messages.ConfigurationEntries(entries, self.next_offset)
        return effects.Send(peer, message)

    def send_snapshot(self, peer: str, at_ms: int) -> Effects:
        known = self.peers.get(peer)
        if known is None or at_ms - known.snapshot_ms < SNAPSHOT_PAUSE_MS:
            return []
        known.snapshot_ms = at_ms
        snapshot = messages.ConfigurationSnapshot(self.history.snapshot())
        return [effects.Send(peer, snapshot), self.tell(peer, at_ms)]

    def pass_on(self, before: int, source: str, at_ms: int) -> Effects:
        """Push what is new since an offset to all that need it."""
        self.ahead = {
            peer: known
            for peer, known in self.ahead.items()
            if known > self.next_offset
        }
        entries = self.history.entries_from(before)
        size = sum(len(entry.data) for entry in entries or ())
        done: Effects = []
        for name in self.targets():
            peer = self.peers.get(name)
            if peer is None or name == source:
                continue
            if peer.known >= self.next_offset:
                continue
            if entries is None or size > LARGEST_PUSH_BYTES:
                done.append(self.tell(name, at_ms))
            else:
                done.append(self.send_entries(name, entries))
        return done

    def targets(self) -> collections.abc.Iterable[str]:
        return (*self.gateway_targets, *self.fed)

    def tick(self, at_ms: int) -> Effects:
        """Tell what is due; ask again what was not answered."""
        self.place_sidecars()
        done = self.tell_gateways(at_ms)
        done += self.tell_sidecars(at_ms)
        return done + self.ask_again(at_ms)

    def tell_gateways(self, at_ms: int) -> Effects:
        """Tell the time of the log's end on, once it has moved enough."""
        if self.role is not events.Role.GATEWAY or self.as_of_ms is None:
            return []
        if self.as_of_ms - self.told_as_of_ms < TELL_GATEWAYS_MS:
            return []
        self.told_as_of_ms = self.as_of_ms
        return [self.tell(name, at_ms) for name in self.gateway_targets]

    def tell_sidecars(self, at_ms: int) -> Effects:
        if at_ms - self.told_sidecars_ms < TELL_SIDECARS_MS:
            return []
        self.told_sidecars_ms = at_ms
        return [self.tell(name, at_ms) for name in self.fed]

    def ask_again(self, at_ms: int) -> Effects:
        """Ask the next peer if we are behind, or hear nothing new."""
        if self.ahead:
            return self.ask(self.next_of(list(self.ahead)), at_ms)
        silent = at_ms - max(self.heard_ms, self.asked_ms) >= ASK_AFTER_MS
        if silent and self.peers:
            return self.ask(self.next_of(list(self.peers)), at_ms)
        return []

    def next_of(self, names: list[str]) -> str:
        self.turn += 1
        return names[self.turn % len(names)]
