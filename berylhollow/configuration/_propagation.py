"""Propagates the configuration over the links between processes.

A gateway pushes new entries to some of the gateways that it is linked with
and to the sidecars that it feeds. A push can be lost when its link breaks.
Therefore both ends report their position when a link opens, gateways report
it again at intervals, and a process that is behind requests the missing
entries. Duplicate and late messages have no effect.
"""

import collections.abc
import dataclasses

from berylhollow.configuration import _hash_assignment
from berylhollow.configuration import _history
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import messages

Effects = list[effects.Effect]

FEEDERS_PER_SIDECAR = 2
SIDECARS_ASSIGNED_PER_TICK = 200
MAX_GATEWAY_TARGETS = 8
# Larger entries are only announced, and sent on request. Otherwise a gateway
# would receive them from each of the several gateways linked with it.
MAX_PUSH_BYTES = 4096
REQUEST_PAUSE_MS = 500
GATEWAY_REPORT_INTERVAL_MS = 1000
SIDECAR_REPORT_INTERVAL_MS = 4000
SILENCE_TIMEOUT_MS = 5000
SNAPSHOT_PAUSE_MS = 1000
NEVER_MS = -(10**9)


@dataclasses.dataclass(slots=True)
class Peer:
    """The last reported position of a linked process.

    ``known_offset`` is the offset up to which it has read, as far as known.
    ``revision`` is the one that it last reported. Both are -1 if unknown.
    """

    role: events.Role
    known_offset: int = -1
    revision: int = -1
    reported_ms: int = NEVER_MS
    snapshot_sent_ms: int = NEVER_MS


class Propagator:
    """A state machine that exchanges log entries with linked processes.

    It performs no I/O but returns effects. ``as_of_ms`` is the latest time at
    which this process is known to have read the log to its end, None if
    unknown. ``ahead`` maps the peers that have read further to their offsets.
    ``first_report_ms`` and ``last_message_ms`` are the times of the first and
    the last message from any peer.
    """

    def __init__(
        self, instance: str, role: events.Role, history: _history.History
    ):
        self.instance = instance
        self.role = role
        self.history = history
        self.peers: dict[str, Peer] = {}
        self.gateway_targets: tuple[str, ...] = ()
        # The sidecars that this gateway pushes to, as an ordered set.
        self.fed_sidecars: dict[str, None] = {}
        self.pending_sidecars: list[str] = []
        self.ring = _hash_assignment.Ring()
        self.ahead: dict[str, int] = {}
        self.as_of_ms: int | None = None
        self.reported_as_of_ms = NEVER_MS
        self.sidecars_reported_ms = 0
        self.first_report_ms: int | None = None
        self.last_message_ms = 0
        self.last_request_ms = NEVER_MS
        self.rotation = 0

    @property
    def next_offset(self) -> int:
        return self.history.state.next_offset

    def age_ms(self, at_ms: int) -> int:
        """Return the time since ``as_of_ms``, -1 if that is unknown."""
        return -1 if self.as_of_ms is None else max(at_ms - self.as_of_ms, 0)

    # Peers and push targets.

    def link_opened(self, peer: str, role: events.Role, at_ms: int) -> Effects:
        """Add a peer and report our position, as messages may be lost."""
        self.peers[peer] = Peer(role)
        if self.role is events.Role.GATEWAY:
            self.add_push_target(peer, role)
        return [self.report_position(peer, at_ms)]

    def link_closed(self, peer: str) -> None:
        """Remove a peer; messages in flight on its link may be lost."""
        peer_state = self.peers.pop(peer, None)
        self.ahead.pop(peer, None)
        self.fed_sidecars.pop(peer, None)
        if peer_state is not None and peer in self.gateway_targets:
            self.choose_gateway_targets()

    def choose_targets(self, gateways: collections.abc.Iterable[str]) -> None:
        """Choose the push targets again after the list of gateways changed.

        Sidecars are assigned in batches, one a tick: a gateway may be linked
        to thousands, and assigning all at once would delay its callers.
        """
        if self.role is not events.Role.GATEWAY:
            return
        self.ring.update(gateways)
        self.choose_gateway_targets()
        self.pending_sidecars = [
            name
            for name, peer in self.peers.items()
            if peer.role is events.Role.ENDPOINT
        ]

    def assign_sidecars(self) -> None:
        """Decide for the next batch of sidecars whether to feed them."""
        for _ in range(
            min(len(self.pending_sidecars), SIDECARS_ASSIGNED_PER_TICK)
        ):
            name = self.pending_sidecars.pop()
            self.fed_sidecars.pop(name, None)
            if name in self.peers:
                self.add_push_target(name, events.Role.ENDPOINT)

    def add_push_target(self, peer: str, role: events.Role) -> None:
        """Add a gateway, or a sidecar that this gateway has to feed."""
        if role is events.Role.GATEWAY:
            self.choose_gateway_targets()
        elif self.instance in self.ring.owners(peer, FEEDERS_PER_SIDECAR):
            self.fed_sidecars[peer] = None

    def choose_gateway_targets(self) -> None:
        gateways = [
            name
            for name, peer in self.peers.items()
            if peer.role is events.Role.GATEWAY
        ]
        self.gateway_targets = tuple(
            _hash_assignment.choose(
                self.instance, gateways, MAX_GATEWAY_TARGETS
            )
        )

    def gateway_statuses(self, at_ms: int) -> tuple[following.PeerStatus, ...]:
        """Return the last reported revision of each linked gateway."""
        return tuple(
            following.PeerStatus(name, peer.revision, at_ms - peer.reported_ms)
            for name, peer in sorted(self.peers.items())
            if peer.role is events.Role.GATEWAY and peer.revision >= 0
        )

    # Messages from peers.

    def handle_position(
        self, peer: str, message: messages.ConfigurationAt, at_ms: int
    ) -> Effects:
        """Handle a reported position; send or request missing entries."""
        self.record_message(at_ms)
        peer_state = self.peers.get(peer)
        if peer_state is not None:
            peer_state.known_offset = message.next_offset
            peer_state.revision = message.revision
            peer_state.reported_ms = at_ms
        if message.next_offset > self.next_offset:
            self.ahead[peer] = message.next_offset
            return self.request_entries(peer, at_ms)
        self.ahead.pop(peer, None)
        sent = self.update_end_time(message, at_ms)
        if message.wanted:
            sent += self.send_missing(peer, message.next_offset, at_ms)
        elif message.next_offset < self.next_offset:
            sent.append(self.report_position(peer, at_ms))
        return sent

    def record_message(self, at_ms: int) -> None:
        """Record the time of a message from a peer."""
        self.last_message_ms = at_ms
        if self.first_report_ms is None:
            self.first_report_ms = at_ms

    def update_end_time(
        self, message: messages.ConfigurationAt, at_ms: int
    ) -> Effects:
        """Update ``as_of_ms`` from a peer's report and report it to gateways.

        This is done at once: waiting for the next tick would add up over the
        many gateways between this one and a reader of the log.
        """
        if message.age_ms >= 0:
            self.record_log_end(at_ms - message.age_ms)
        return self.report_to_gateways(at_ms)

    def record_log_end(self, at_ms: int) -> None:
        """Record that everything in the log at that time has been read."""
        if self.as_of_ms is None or at_ms > self.as_of_ms:
            self.as_of_ms = at_ms

    def request_entries(self, peer: str, at_ms: int) -> Effects:
        """Request new entries, from one peer at a time to avoid duplicates."""
        if at_ms - self.last_request_ms < REQUEST_PAUSE_MS:
            return []
        if self.history.stopped:
            # The fold has stopped and could not evaluate the entries.
            return []
        self.last_request_ms = at_ms
        return [self.report_position(peer, at_ms, wanted=True)]

    # Messages to peers.

    def report_position(self, peer: str, at_ms: int, wanted: bool = False):
        """Return the effect that reports our position to a peer."""
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

    def send_missing(self, peer: str, offset: int, at_ms: int) -> Effects:
        """Send the entries from an offset on, or a snapshot."""
        entries = self.history.entries_from(offset)
        if entries is None:
            return self.send_snapshot(peer, at_ms)
        sent: Effects = []
        if entries:
            sent.append(self.send_entries(peer, entries))
        # Sent last, as its age applies to all the entries sent before.
        return [*sent, self.report_position(peer, at_ms)]

    def send_entries(
        self, peer: str, entries: tuple[messages.LogEntry, ...]
    ) -> effects.Send:
        peer_state = self.peers.get(peer)
        if peer_state is not None:
            peer_state.known_offset = self.next_offset
        message = messages.ConfigurationEntries(entries, self.next_offset)
        return effects.Send(peer, message)

    def send_snapshot(self, peer: str, at_ms: int) -> Effects:
        peer_state = self.peers.get(peer)
        if (
            peer_state is None
            or at_ms - peer_state.snapshot_sent_ms < SNAPSHOT_PAUSE_MS
        ):
            return []
        peer_state.snapshot_sent_ms = at_ms
        snapshot = messages.ConfigurationSnapshot(self.history.snapshot())
        return [
            effects.Send(peer, snapshot),
            self.report_position(peer, at_ms),
        ]

    def push_new_entries(
        self, before: int, source: str, at_ms: int
    ) -> Effects:
        """Push the entries since an offset to the targets that lack them."""
        self.ahead = {
            peer: offset
            for peer, offset in self.ahead.items()
            if offset > self.next_offset
        }
        entries = self.history.entries_from(before)
        size = sum(len(entry.data) for entry in entries or ())
        sent: Effects = []
        for name in self.targets():
            peer = self.peers.get(name)
            if peer is None or name == source:
                continue
            if peer.known_offset >= self.next_offset:
                continue
            if entries is None or size > MAX_PUSH_BYTES:
                sent.append(self.report_position(name, at_ms))
            else:
                sent.append(self.send_entries(name, entries))
        return sent

    def targets(self) -> collections.abc.Iterable[str]:
        return (*self.gateway_targets, *self.fed_sidecars)

    def tick(self, at_ms: int) -> Effects:
        """Send reports that are due and repeat unanswered requests."""
        self.assign_sidecars()
        sent = self.report_to_gateways(at_ms)
        sent += self.report_to_sidecars(at_ms)
        return sent + self.request_again(at_ms)

    def report_to_gateways(self, at_ms: int) -> Effects:
        """Report our position once ``as_of_ms`` has advanced enough."""
        if self.role is not events.Role.GATEWAY or self.as_of_ms is None:
            return []
        if self.as_of_ms - self.reported_as_of_ms < GATEWAY_REPORT_INTERVAL_MS:
            return []
        self.reported_as_of_ms = self.as_of_ms
        return [
            self.report_position(name, at_ms) for name in self.gateway_targets
        ]

    def report_to_sidecars(self, at_ms: int) -> Effects:
        if at_ms - self.sidecars_reported_ms < SIDECAR_REPORT_INTERVAL_MS:
            return []
        self.sidecars_reported_ms = at_ms
        return [
            self.report_position(name, at_ms) for name in self.fed_sidecars
        ]

    def request_again(self, at_ms: int) -> Effects:
        """Request entries from the next peer if behind or without news."""
        if self.ahead:
            return self.request_entries(
                self.pick_next(list(self.ahead)), at_ms
            )
        is_silent = (
            at_ms - max(self.last_message_ms, self.last_request_ms)
            >= SILENCE_TIMEOUT_MS
        )
        if is_silent and self.peers:
            return self.request_entries(
                self.pick_next(list(self.peers)), at_ms
            )
        return []

    def pick_next(self, names: list[str]) -> str:
        self.rotation += 1
        return names[self.rotation % len(names)]
