"""A few followers, their links and a log, each step chosen by the test."""

import collections

from berylhollow import configuration
from berylhollow import effects
from berylhollow import events
from berylhollow.standin import failures
from test import model_log

TICK_MS = 50
GATEWAY = events.Role.GATEWAY
ENDPOINT = events.Role.ENDPOINT


class Fleet:
    """Followers by name; those that begin with ``g`` are gateways.

    Messages wait in ``queues`` by sender and receiver, reads and appends in
    ``calls`` by process, until the test lets them go on. Every step checks
    that no process serves an older revision than before, or forgets what it
    has read.
    """

    def __init__(self, *names, retention_ms=3_600_000):
        self.log = model_log.ModelLog(retention_ms)
        self.clock = self.log.clock
        self.followers = {}
        self.served = {}
        self.read_to = {}
        self.links = set()
        self.queues = collections.defaultdict(collections.deque)
        self.calls = collections.defaultdict(collections.deque)
        self.sent = collections.Counter()
        self.reads = collections.Counter()
        self.read_fails = set()
        self.paused = set()
        self.live = None
        for name in names:
            self.begin(name)

    # Processes and links.

    def begin(self, name):
        """Start a process, or replace it by a new one without its links."""
        for other in list(self.followers):
            self.cut(name, other)
        role = GATEWAY if name.startswith('g') else ENDPOINT
        self.followers[name] = configuration.Follower(name, role)
        self.served[name] = 0
        self.read_to[name] = 0
        self.calls[name].clear()
        self.perform(name, self.followers[name].start(self.clock.now_ms()))

    def role(self, name):
        return self.followers[name].role

    def link(self, one, other):
        self.links.add(frozenset((one, other)))
        for here, there in ((one, other), (other, one)):
            event = events.LinkOpened(
                self.clock.now_ms(), there, self.role(there), 'i'
            )
            self.feed(here, event)

    def link_all(self):
        names = list(self.followers)
        for index, one in enumerate(names):
            for other in names[index + 1 :]:
                if GATEWAY in (self.role(one), self.role(other)):
                    self.link(one, other)

    def cut(self, one, other):
        """Break a link; what is under way on it is lost."""
        if frozenset((one, other)) not in self.links:
            return
        self.links.remove(frozenset((one, other)))
        for here, there in ((one, other), (other, one)):
            self.queues[here, there].clear()
            self.feed(here, events.LinkClosed(self.clock.now_ms(), there))

    def peers(self, name):
        return [
            other
            for other in self.followers
            if frozenset((name, other)) in self.links
        ]

    # Steps.

    def feed(self, name, event):
        done = self.followers[name].handle(event)
        self.check(name)
        self.perform(name, done)

    def perform(self, name, done):
        for effect in done:
            if isinstance(effect, effects.Send):
                self.send(name, effect)
            else:
                self.calls[name].append(effect)

    def send(self, name, effect):
        self.sent[type(effect.message)] += 1
        if frozenset((name, effect.peer)) in self.links:
            self.queues[name, effect.peer].append(effect.message)

    def tick(self, name):
        live = self.live
        if live is None:
            live = [x for x in self.followers if self.role(x) is GATEWAY]
        done = self.followers[name].tick(
            self.clock.now_ms(), live, self.peers(name), name
        )
        self.check(name)
        self.perform(name, done)

    def deliver(self, sender, receiver, keep=False):
        """Deliver the next message of a link; ``keep`` for a doubled one."""
        queue = self.queues[sender, receiver]
        if queue:
            message = queue[0] if keep else queue.popleft()
            now_ms = self.clock.now_ms()
            self.feed(
                receiver, events.MessageReceived(now_ms, sender, message)
            )

    def answer(self, name):
        """Answer the oldest call of a process to the log."""
        if self.calls[name]:
            self.feed(name, self.event_of(name, self.calls[name].popleft()))

    def event_of(self, name, call):
        now_ms = self.clock.now_ms()
        if isinstance(call, effects.Append):
            try:
                offset = self.log.model.append(call.stream, call.data, now_ms)
            except failures.StandInError:
                return events.AppendFailed(
                    now_ms,
                    call.stream,
                    call.append_id,
                    events.Certainty.NOT_DONE,
                )
            return events.Appended(now_ms, call.stream, call.append_id, offset)
        self.reads[name] += 1
        return self.read(name, call)

    def read(self, name, call):
        now_ms = self.clock.now_ms()
        if name in self.read_fails:
            return events.LogReadFailed(now_ms, call.stream)
        try:
            result = self.log.model.read(
                call.stream, call.from_offset, 1000, now_ms
            )
        except failures.OffsetGone as error:
            return events.LogReadFailed(
                now_ms, call.stream, error.first_offset
            )
        except failures.StandInError:
            return events.LogReadFailed(now_ms, call.stream)
        entries = result.records
        return events.LogRead(
            now_ms,
            call.stream,
            entries,
            result.first_offset,
            result.next_offset,
        )

    def check(self, name):
        revision = self.revision(name)
        if revision < self.served[name]:
            raise AssertionError(
                f'{name} went back from {self.served[name]} to {revision}'
            )
        self.served[name] = revision
        offset = self.followers[name].history.state.next_offset
        if offset < self.read_to[name]:
            raise AssertionError(f'{name} took back what it had read')
        self.read_to[name] = offset

    # Many steps.

    def run(self, duration_ms):
        """Let everything go on in order for a time, in steps of a tick."""
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            for name in self.running():
                self.tick(name)
                for _ in range(len(self.calls[name])):
                    self.answer(name)
            self.deliver_all()

    def deliver_all(self):
        while True:
            due = [
                ends
                for ends, queue in self.queues.items()
                if queue and ends[1] not in self.paused
            ]
            if not due:
                return
            for ends in due:
                self.deliver(*ends)

    def running(self):
        return [name for name in self.followers if name not in self.paused]

    def publish(self, *records):
        self.log.put(configuration.STREAM, *records)

    def revision(self, name):
        current = self.followers[name].current
        return 0 if current is None else current.revision

    def revisions(self):
        return {name: self.revision(name) for name in self.followers}
