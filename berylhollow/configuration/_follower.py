"""Following the configuration: inside the reducers of both roles."""

import collections.abc

from berylhollow.configuration import _configuration
from berylhollow.configuration import _history
from berylhollow.configuration import _log_reader
from berylhollow.configuration import _ranking
from berylhollow.configuration import _snapshot_writer
from berylhollow.configuration import _spread
from berylhollow import effects
from berylhollow import events
from berylhollow import following
from berylhollow import messages

Effects = list[effects.Effect]

READERS_PER_DOMAIN = 2
READER_TASK = 'readers'
# How long a gateway that is not chosen to read the log does without news of
# its end, how long a sidecar does without a word of any peer.
GATEWAY_PATIENCE_MS = 4000
GATEWAY_JITTER_MS = 3000
SIDECAR_PATIENCE_MS = 20_000
SIDECAR_JITTER_MS = 20_000
SIDECAR_START_MS = 1500
IDLE_PAUSE_MS = 30_000
FRESH_MS = 10_000
PEERS_GRACE_MS = 1000
PEERS_WAIT_MS = 5000


class Follower:
    """Keeps ``current`` at the newest accepted revision; a pure machine.

    It never serves an older revision than any it has served, and none at
    all before it knows what the log or its peers have.
    """

    def __init__(
        self, instance: str, role: events.Role, failure_domain: str = ''
    ):
        self.instance = instance
        self.role = role
        self.failure_domain = failure_domain
        self.history = _history.History()
        self.reader = _log_reader.LogReader(self.history, instance)
        self.spread = _spread.Spread(instance, role, self.history)
        self.writer = _snapshot_writer.SnapshotWriter(instance, self.history)
        self.current: _configuration.Configuration | None = None
        self.domains: dict[str, str] = {}
        self.roles: dict[str, events.Role] = {}
        self.gateways: list[str] = []
        self.linked: list[str] = []
        self.chosen = False
        self.started_ms = 0

    def start(self, at_ms: int) -> Effects:
        """Begin to read; a sidecar first waits for a gateway's word."""
        self.started_ms = at_ms
        if self.role is events.Role.GATEWAY:
            return self.reader.read(at_ms)
        return []

    def handle(self, event: events.Event) -> Effects:
        """Take in what concerns the configuration; ignore the rest."""
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
                done = self.open(event)
            case events.LinkClosed():
                self.spread.closed(event.peer)
            case events.InstancesListed():
                self.listed(event)
            case events.AppendFailed():
                self.writer.handle(event)
            case _:
                return []
        if self.reader.caught_up_ms is not None:
            self.spread.seen_end(self.reader.caught_up_ms)
        if self.history.state.next_offset > before:
            done += self.spread.pass_on(before, source, event.at_ms)
        self.advance(event.at_ms)
        return done

    def receive(self, event: events.MessageReceived) -> Effects:
        message = event.message
        match message:
            case messages.ConfigurationAt():
                return self.spread.at(event.peer, message, event.at_ms)
            case messages.ConfigurationEntries():
                return self.receive_entries(event, message)
            case messages.ConfigurationSnapshot():
                self.spread.hear(event.at_ms)
                self.history.install(message.data)
            case messages.Offer():
                return self.receive_offer(event, message)
        return []

    def receive_entries(
        self,
        event: events.MessageReceived,
        message: messages.ConfigurationEntries,
    ) -> Effects:
        self.spread.hear(event.at_ms)
        self.history.add(message.entries)
        if message.next_offset > self.history.state.next_offset:
            # A gap: what came before was sent on a link that broke.
            return self.spread.ask(event.peer, event.at_ms)
        return []

    def receive_offer(
        self, event: events.MessageReceived, message: messages.Offer
    ) -> Effects:
        """Ask a gateway whose request is based on a newer revision."""
        if message.revision <= self.history.state.configuration.revision:
            return []
        return self.spread.ask(event.peer, event.at_ms)

    def open(self, event: events.LinkOpened) -> Effects:
        self.roles[event.peer] = event.role
        return self.spread.opened(event.peer, event.role, event.at_ms)

    def listed(self, event: events.InstancesListed) -> None:
        """Keep the failure domains of the gateways."""
        self.domains = {
            row.instance: row.failure_domain
            for row in event.instances
            if row.role is events.Role.GATEWAY and not row.leaving
        }
        self.choose_reader()

    def tick(
        self,
        at_ms: int,
        live_gateways: collections.abc.Iterable[str],
        peers: collections.abc.Iterable[str],
        self_id: str = '',
    ) -> Effects:
        """Ask for what is missing and pass on what others miss.

        ``live_gateways`` are those that take work, ``peers`` those that a
        link is open to. ``self_id`` is not used: the name is known.
        """
        done = self.meet(at_ms, list(live_gateways), list(peers))
        done += self.read_log(at_ms)
        done += self.spread.tick(at_ms)
        done += self.writer.tick(at_ms)
        self.advance(at_ms)
        return done

    def meet(
        self, at_ms: int, gateways: list[str], linked: list[str]
    ) -> Effects:
        """Take over who is live and linked, if that has changed."""
        if gateways == self.gateways and linked == self.linked:
            return []
        changed = gateways != self.gateways
        self.gateways = gateways
        self.linked = linked
        done: Effects = []
        for peer in set(self.spread.peers) - set(linked):
            self.spread.closed(peer)
        for peer in linked:
            if peer not in self.spread.peers:
                role = self.role_of(peer)
                done += self.spread.opened(peer, role, at_ms)
        if changed:
            self.choose_reader()
            self.spread.choose_targets(gateways)
            if self.role is events.Role.GATEWAY:
                self.writer.choose(gateways, at_ms)
        return done

    def role_of(self, peer: str) -> events.Role:
        if self.role is events.Role.ENDPOINT or peer in self.gateways:
            return events.Role.GATEWAY
        return self.roles.get(peer, events.Role.ENDPOINT)

    # Reading the log.

    def read_log(self, at_ms: int) -> Effects:
        """Read the log if we are chosen to, or if nobody else seems to."""
        self.reader.follow = self.chosen
        waiting = self.chosen or self.current is None
        self.reader.longest_pause_ms = (
            _log_reader.LONGEST_PAUSE_MS if waiting else IDLE_PAUSE_MS
        )
        if not self.chosen and self.left_alone(at_ms):
            self.reader.wanted = True
        return self.reader.tick(at_ms)

    def choose_reader(self) -> None:
        """Settle whether we are among the readers of our failure domain."""
        own = [
            name
            for name in self.gateways
            if self.domains.get(name, '') == self.failure_domain
        ]
        self.chosen = (
            self.role is events.Role.GATEWAY
            and self.instance
            in _ranking.chosen(
                READER_TASK, own or self.gateways, READERS_PER_DOMAIN
            )
        )

    def left_alone(self, at_ms: int) -> bool:
        """Return whether to read the log ourselves, though not chosen.

        Guards against chosen readers that are gone or cut off while the list
        still shows them, and against lists so different that nobody is
        chosen. It would show as a process that stays on an old revision.
        The times differ by name, so that an outage, in which all are left
        alone, does not end in all of them reading at once.
        """
        share = _ranking.share(READER_TASK, self.instance)
        if self.role is events.Role.GATEWAY:
            since_ms = self.spread.as_of_ms
            patience_ms = GATEWAY_PATIENCE_MS + GATEWAY_JITTER_MS * share
        elif self.current is None:
            since_ms = None
            patience_ms = SIDECAR_START_MS
        else:
            since_ms = max(self.spread.heard_ms, self.spread.as_of_ms or 0)
            patience_ms = SIDECAR_PATIENCE_MS + SIDECAR_JITTER_MS * share
        since_ms = self.started_ms if since_ms is None else since_ms
        return at_ms - since_ms >= patience_ms

    # What is served.

    def advance(self, at_ms: int) -> None:
        """Serve the newest revision, once it is known to be that.

        Guards against a revert: a process that served an older revision than
        before would show a removed version as servable again. The fold only
        goes forward, by offsets, so this never holds in practice; it is
        checked where it is served all the same, for a fault elsewhere must
        not become a revert here.
        """
        found = self.history.state.configuration
        served = 0 if self.current is None else self.current.revision
        if found.revision <= served:
            return
        if self.current is not None or self.knows_newest(at_ms):
            self.current = found

    def knows_newest(self, at_ms: int) -> bool:
        """Return whether a process that just started may begin to serve.

        Guards against a restart that reverts: a new process that serves the
        first snapshot it finds would answer by an older revision than the
        one it replaces. So it waits until it has seen the end of the log. Or
        its peers' word counts, if they saw the end lately or the log can't
        be read: it waits until all of them have had time to speak, and until
        it has what the furthest one told of.
        """
        if self.reader.caught_up_ms is not None:
            return True
        first_ms = self.spread.first_told_ms
        if first_ms is None:
            return False
        fresh = 0 <= self.spread.age_ms(at_ms) <= FRESH_MS
        if not fresh and not self.reader.failed:
            return False
        wait_ms = PEERS_WAIT_MS if self.spread.ahead else PEERS_GRACE_MS
        return at_ms - first_ms >= wait_ms

    def keys_hold(self, at_ms: int) -> bool:
        """Return True: a manifest declares no keys."""
        return True

    def keys_age_ms(self, at_ms: int) -> int:
        """Return 0: there are no keys to be proven."""
        return 0

    def status(self, at_ms: int) -> following.Status:
        """Return how far we are, for operators."""
        state = self.history.state
        return following.Status(
            0 if self.current is None else self.current.revision,
            state.next_offset,
            state.digest.hex(),
            self.spread.age_ms(at_ms),
            self.chosen,
            self.history.stopped,
            self.reader.gap,
            self.spread.gateways(at_ms),
        )
