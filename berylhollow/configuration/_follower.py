"""Follows the configuration, in gateways and sidecars."""

import collections.abc

from berylhollow.configuration import _configuration
from berylhollow.configuration import _hash_assignment
from berylhollow.configuration import _history
from berylhollow.configuration import _log_reader
from berylhollow.configuration import _propagation
from berylhollow.configuration import _snapshot_writer
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import messages

Effects = list[effects.Effect]

READERS_PER_DOMAIN = 2
READER_TASK = 'readers'
# A gateway that is not chosen to read the log reads it after this time
# without news of the log's end, a sidecar after this time without a message
# from any peer.
GATEWAY_NEWS_TIMEOUT_MS = 4000
GATEWAY_JITTER_MS = 3000
SIDECAR_NEWS_TIMEOUT_MS = 20_000
SIDECAR_JITTER_MS = 20_000
SIDECAR_START_TIMEOUT_MS = 1500
IDLE_PAUSE_MS = 30_000
MAX_FRESH_AGE_MS = 10_000
PEER_REPORT_TIMEOUT_MS = 1000
MISSING_ENTRIES_TIMEOUT_MS = 5000


class Follower(following.UnsharedRecords):
    """A state machine that keeps ``current`` at the newest revision.

    It performs no I/O but returns effects. The revision served never goes
    back, and none is served until the newest revision is known from the log
    or from peers.
    """

    def __init__(
        self, instance: str, role: events.Role, failure_domain: str = ''
    ):
        self.instance = instance
        self.role = role
        self.failure_domain = failure_domain
        self.history = _history.History()
        self.reader = _log_reader.LogReader(self.history, instance)
        self.propagator = _propagation.Propagator(instance, role, self.history)
        self.writer = _snapshot_writer.SnapshotWriter(instance, self.history)
        self.current: _configuration.Configuration | None = None
        self.domains: dict[str, str] = {}
        self.roles: dict[str, events.Role] = {}
        self.gateways: list[str] = []
        self.linked: list[str] = []
        self.is_reader = False
        self.started_ms = 0

    def start(self, at_ms: int) -> Effects:
        """Start reading; a sidecar first waits for a gateway's message."""
        self.started_ms = at_ms
        if self.role is events.Role.GATEWAY:
            return self.reader.read(at_ms)
        return []

    def handle(self, event: events.Event) -> Effects:
        """Handle events that concern the configuration; ignore the rest."""
        before = self.history.state.next_offset
        source = ''
        done: Effects = []
        match event:
            case events.LogRead() | events.LogReadFailed():
                done = self.reader.handle(event)
            case events.MessageReceived():
                source = event.peer
                done = self.receive(event)
            case events.LinkOpened():
                done = self.open_link(event)
            case events.LinkClosed():
                self.propagator.link_closed(event.peer)
            case events.InstancesListed():
                self.update_domains(event)
            case events.AppendFailed():
                self.writer.handle(event)
            case _:
                return []
        if self.reader.caught_up_ms is not None:
            self.propagator.record_log_end(self.reader.caught_up_ms)
        if self.history.state.next_offset > before:
            done += self.propagator.push_new_entries(
                before, source, event.at_ms
            )
        self.advance(event.at_ms)
        return done

    def receive(self, event: events.MessageReceived) -> Effects:
        message = event.message
        match message:
            case messages.ConfigurationAt():
                return self.propagator.handle_position(
                    event.peer, message, event.at_ms
                )
            case messages.ConfigurationEntries():
                return self.receive_entries(event, message)
            case messages.ConfigurationSnapshot():
                self.propagator.record_message(event.at_ms)
                self.history.install(message.data)
            case messages.Offer():
                return self.receive_offer(event, message)
        return []

    def receive_entries(
        self,
        event: events.MessageReceived,
        message: messages.ConfigurationEntries,
    ) -> Effects:
        self.propagator.record_message(event.at_ms)
        self.history.add(message.entries)
        if message.next_offset > self.history.state.next_offset:
            # A gap: earlier entries were lost with a broken link.
            return self.propagator.request_entries(event.peer, event.at_ms)
        return []

    def receive_offer(
        self, event: events.MessageReceived, message: messages.Offer
    ) -> Effects:
        """Request entries if an offer was made under a newer revision."""
        if message.revision <= self.history.state.configuration.revision:
            return []
        return self.propagator.request_entries(event.peer, event.at_ms)

    def open_link(self, event: events.LinkOpened) -> Effects:
        self.roles[event.peer] = event.role
        return self.propagator.link_opened(event.peer, event.role, event.at_ms)

    def update_domains(self, event: events.InstancesListed) -> None:
        """Update the failure domains of the gateways."""
        self.domains = {
            row.instance: row.failure_domain
            for row in event.instances
            if row.role is events.Role.GATEWAY and not row.leaving
        }
        self.update_is_reader()

    def tick(
        self,
        at_ms: int,
        live_gateways: collections.abc.Iterable[str],
        peers: collections.abc.Iterable[str],
        self_id: str = '',
    ) -> Effects:
        """Return the effects that are due.

        ``live_gateways`` are those that accept work, ``peers`` the processes
        with an open link. ``self_id`` is unused, as ``instance`` is set.
        """
        done = self.update_peers(at_ms, list(live_gateways), list(peers))
        done += self.read_log(at_ms)
        done += self.propagator.tick(at_ms)
        done += self.writer.tick(at_ms)
        self.advance(at_ms)
        return done

    def update_peers(
        self, at_ms: int, gateways: list[str], linked: list[str]
    ) -> Effects:
        """Update the live gateways and the linked peers if they changed."""
        if gateways == self.gateways and linked == self.linked:
            return []
        changed = gateways != self.gateways
        self.gateways = gateways
        self.linked = linked
        done: Effects = []
        for peer in set(self.propagator.peers) - set(linked):
            self.propagator.link_closed(peer)
        for peer in linked:
            if peer not in self.propagator.peers:
                role = self.role_of(peer)
                done += self.propagator.link_opened(peer, role, at_ms)
        if changed:
            self.update_is_reader()
            self.propagator.choose_targets(gateways)
            if self.role is events.Role.GATEWAY:
                self.writer.update_gateways(gateways, at_ms)
        return done

    def role_of(self, peer: str) -> events.Role:
        if self.role is events.Role.ENDPOINT or peer in self.gateways:
            return events.Role.GATEWAY
        return self.roles.get(peer, events.Role.ENDPOINT)

    # Reading the log.

    def read_log(self, at_ms: int) -> Effects:
        """Read the log if chosen to, or if no other process seems to."""
        self.reader.follow = self.is_reader
        is_urgent = self.is_reader or self.current is None
        self.reader.max_pause_ms = (
            _log_reader.MAX_RETRY_PAUSE_MS if is_urgent else IDLE_PAUSE_MS
        )
        if not self.is_reader and self.should_read_log(at_ms):
            self.reader.wanted = True
        return self.reader.tick(at_ms)

    def update_is_reader(self) -> None:
        """Update whether this gateway is a reader of its failure domain."""
        domain_gateways = [
            name
            for name in self.gateways
            if self.domains.get(name, '') == self.failure_domain
        ]
        self.is_reader = (
            self.role is events.Role.GATEWAY
            and self.instance
            in _hash_assignment.choose(
                READER_TASK,
                domain_gateways or self.gateways,
                READERS_PER_DOMAIN,
            )
        )

    def should_read_log(self, at_ms: int) -> bool:
        """Return whether to read the log without being a chosen reader.

        Guards against chosen readers that are dead or cut off while they are
        still listed, and against lists that differ so much that no process is
        chosen. Without this a process would stay on an old revision. The
        timeout differs by instance, so that in an outage, when no process
        receives news, they do not all read the log at once.
        """
        fraction = _hash_assignment.fraction_of(READER_TASK, self.instance)
        if self.role is events.Role.GATEWAY:
            since_ms = self.propagator.as_of_ms
            patience_ms = (
                GATEWAY_NEWS_TIMEOUT_MS + GATEWAY_JITTER_MS * fraction
            )
        elif self.current is None:
            since_ms = None
            patience_ms = SIDECAR_START_TIMEOUT_MS
        else:
            since_ms = max(
                self.propagator.last_message_ms, self.propagator.as_of_ms or 0
            )
            patience_ms = (
                SIDECAR_NEWS_TIMEOUT_MS + SIDECAR_JITTER_MS * fraction
            )
        since_ms = self.started_ms if since_ms is None else since_ms
        return at_ms - since_ms >= patience_ms

    # The revision served.

    def advance(self, at_ms: int) -> None:
        """Serve the newest revision once it is known to be the newest.

        Guards against a revert: after a step back to an older revision, a
        removed version would be servable again. The fold only advances, so
        this does not happen normally. It is checked here as well, so that a
        defect elsewhere can't cause a revert.
        """
        newest = self.history.state.configuration
        served_revision = 0 if self.current is None else self.current.revision
        if newest.revision <= served_revision:
            return
        if self.current is not None or self.has_newest_revision(at_ms):
            self.current = newest

    def has_newest_revision(self, at_ms: int) -> bool:
        """Return whether a process that just started may begin to serve.

        Guards against a revert by a restart: a new process that serves the
        first snapshot it finds could serve an older revision than the process
        it replaces. So it waits until it has reached the end of the log.
        Instead it may rely on its peers if they reached the end recently or
        if the log can't be read. Then it waits until all peers have had time
        to report and, for at most ``MISSING_ENTRIES_TIMEOUT_MS``, until it has
        all entries that any of them reported.
        """
        if self.reader.caught_up_ms is not None:
            return True
        first_report_ms = self.propagator.first_report_ms
        if first_report_ms is None:
            return False
        is_fresh = 0 <= self.propagator.age_ms(at_ms) <= MAX_FRESH_AGE_MS
        if not is_fresh and not self.reader.last_read_failed:
            return False
        wait_ms = (
            MISSING_ENTRIES_TIMEOUT_MS
            if self.propagator.ahead
            else PEER_REPORT_TIMEOUT_MS
        )
        return at_ms - first_report_ms >= wait_ms

    def are_keys_proven(self, at_ms: int) -> bool:
        """Return True, as a manifest declares no keys."""
        return True

    def keys_age_ms(self, at_ms: int) -> int:
        """Return 0, as a manifest declares no keys."""
        return 0

    def status(self, at_ms: int) -> following.Status:
        """Return the status that is shown to operators."""
        state = self.history.state
        return following.Status(
            0 if self.current is None else self.current.revision,
            state.next_offset,
            state.digest.hex(),
            self.propagator.age_ms(at_ms),
            self.is_reader,
            self.history.stopped,
            self.reader.gap,
            self.propagator.gateway_statuses(at_ms),
        )
