"""A process of either role: a real reducer and the shell around it."""

import collections
import collections.abc
import typing

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.replay import _actions
from berylhollow.replay import _facts
from berylhollow.replay import _network

if typing.TYPE_CHECKING:
    from berylhollow.replay import _world

Point = _actions.Point
SHOWS_REVISION = frozenset(
    {messages.ConfigurationAt, messages.Offer, messages.Report}
)
Reduce = collections.abc.Callable[
    [typing.Any, events.Event], tuple[typing.Any, list[effects.Effect]]
]


class Process:
    """One process; killed, it is gone, paused, everything waits for it.

    ``inbox`` holds what reached a paused process, ``outbox`` the effects
    that its shell has not carried out yet.
    """

    role: events.Role

    def __init__(
        self,
        world: '_world.World',
        instance: str,
        incarnation: str,
        reduce: Reduce,
        state: typing.Any,
    ):
        self.world = world
        self.instance = instance
        self.incarnation = incarnation
        self.reduce = reduce
        self.state = state
        self.alive = True
        self.paused = False
        self.busy = False
        self.stopping = False
        self.began_ms = world.now_ms
        self.pauses = 0
        self.events = 0
        self.pending: collections.deque = collections.deque()
        self.outbox: collections.deque = collections.deque()
        self.inbox: collections.deque = collections.deque()
        self.links: dict[str, _network.Link] = {}
        self.counts: collections.Counter = collections.Counter()
        self.handlers = {
            effects.Send: self.send,
            effects.OpenLink: self.open_link,
            effects.CloseLink: self.close_link,
            effects.ReadInstances: self.read_instances,
            effects.ReadLog: self.read_log,
            effects.Append: self.append,
            effects.Count: self.count,
            effects.Log: self.log,
            effects.Exit: self.exit,
        }

    # Life

    def begin(self) -> None:
        """Tell the reducer that it starts, and let it tick from now on."""
        self.world.record.note(
            _facts.ProcessStarted(
                self.world.now_ms, self.instance, self.incarnation
            )
        )
        self.feed(events.Started(self.world.at_ms, self.incarnation))
        phase = self.world.random.random()
        self.next_tick(phase * self.world.latencies.tick_ms)

    def next_tick(self, after_ms: float) -> None:
        self.world.schedule(
            after_ms, Point.TICK, self.role.value, self.instance, self.tick
        )

    def tick(self) -> None:
        if not self.alive:
            return
        self.next_tick(self.world.latencies.tick_ms)
        if not self.paused:
            self.ticked()

    def ticked(self) -> None:
        seed = self.world.random.random()
        self.feed(events.Ticked(self.world.at_ms, seed))

    def pause(self) -> None:
        """Let everything wait; peers notice after a long silence."""
        if not self.alive or self.paused:
            return
        self.paused = True
        self.pauses += 1
        self.world.schedule(
            self.world.latencies.silence_ms,
            Point.OTHER,
            'silence',
            self.instance,
            self.silent,
            self.pauses,
        )

    def silent(self, pauses: int) -> None:
        if self.alive and self.paused and self.pauses == pauses:
            for link in self.world.network.links_of(self):
                self.world.network.cut(link)

    def resume(self) -> None:
        """Go on: first with what was begun, then with what has come."""
        if not self.alive or not self.paused:
            return
        self.paused = False
        if self.world.random.random() < 0.5:
            self.inbox.appendleft((self.ticked, ()))
        else:
            self.inbox.append((self.ticked, ()))
        self.work()
        while self.inbox and self.alive and not self.paused:
            carry_out, arguments = self.inbox.popleft()
            carry_out(*arguments)

    def end(self, code: int | None) -> None:
        """End the process; ``code`` is None if it was killed."""
        if not self.alive:
            return
        self.alive = False
        self.world.record.note(
            _facts.ProcessEnded(
                self.world.now_ms,
                self.instance,
                self.incarnation,
                code,
                self.waiting(),
                self.running(),
            )
        )
        for link in self.world.network.links_of(self):
            self.world.network.close(link, self)
        self.cut_off()
        self.world.schedule(
            0,
            Point.OTHER,
            'port',
            self.instance,
            self.world.ended,
            self.instance,
        )

    def waiting(self) -> tuple[str, ...]:
        """Return the requests whose callers wait for this process."""
        return ()

    def running(self) -> tuple[str, ...]:
        """Return the attempts that its endpoint runs for this process."""
        return ()

    def cut_off(self) -> None:
        """Break what depends on the process."""

    def stop(self) -> None:
        """Ask the reducer to shut down gracefully."""
        self.stopping = True
        self.world.record.note(
            _facts.StopAsked(
                self.world.now_ms, self.instance, self.incarnation
            )
        )
        self.feed(events.StopRequested(self.world.at_ms))

    # The shell

    def receive(
        self, carry_out: collections.abc.Callable[..., None], *arguments
    ) -> None:
        """Do something in this process, once it is not paused."""
        if not self.alive:
            return
        if self.paused:
            self.inbox.append((carry_out, arguments))
        else:
            carry_out(*arguments)

    def told(self, kind: type, *values: object) -> None:
        """Feed an event that happens now."""
        self.feed(kind(self.world.at_ms, *values))

    def feed(self, event: events.Event) -> None:
        """Reduce an event now, or after the one under way."""
        self.pending.append(event)
        self.work()

    def work(self) -> None:
        if self.busy:
            return
        self.busy = True
        while self.alive and not self.paused:
            if self.outbox:
                self.carry_out(self.outbox.popleft())
            elif self.pending:
                self.events += 1
                self.state, done = self.reduce(
                    self.state, self.pending.popleft()
                )
                self.outbox.extend(done)
            else:
                break
        self.busy = False

    def carry_out(self, effect: effects.Effect) -> None:
        handler = self.handlers[type(effect)]
        if self.world.intercept is None:
            handler(effect)
            return
        action = _actions.Action(
            Point.EMIT,
            describe(effect),
            self.instance,
            handler,
            (effect,),
            effect,
        )
        lets = self.world.lets(action)
        if self.paused:
            self.outbox.appendleft(effect)
        elif lets and self.alive:
            handler(effect)

    # Effects of both roles

    def send(self, effect: effects.Send) -> None:
        self.send_message(effect.peer, effect.message)

    def send_message(self, peer: str, message: messages.Message) -> None:
        """Send a message if a link to the peer is open."""
        link = self.links.get(peer)
        if link is None or not link.up:
            return
        if not self.world.lean and type(message) in SHOWS_REVISION:
            self.world.record.note(
                _facts.Said(
                    self.world.now_ms,
                    self.instance,
                    self.incarnation,
                    type(message).__name__,
                    message.revision,
                )
            )
        self.world.network.send(link, self, message)

    def open_link(self, effect: effects.OpenLink) -> None:
        self.world.network.open(self, effect.address)

    def close_link(self, effect: effects.CloseLink) -> None:
        link = self.links.get(effect.peer)
        if link is not None:
            self.world.network.close(link, self)

    def read_instances(self, effect: effects.ReadInstances) -> None:
        self.world.instances.read(self)

    def read_log(self, effect: effects.ReadLog) -> None:
        self.world.log.read(self, effect)

    def append(self, effect: effects.Append) -> None:
        self.world.log.append(self, effect)

    def count(self, effect: effects.Count) -> None:
        self.counts[effect.name] += effect.value

    def log(self, effect: effects.Log) -> None:
        self.counts[effect.text] += 1

    def exit(self, effect: effects.Exit) -> None:
        self.end(effect.code)

    # Links

    def linked(self, link: _network.Link) -> None:
        """Use a new link to its peer from now on."""
        peer = link.other(self)
        self.links[peer.instance] = link
        self.feed(_network.link_opened(self.world.at_ms, peer))

    def unlinked(self, link: _network.Link) -> None:
        """Tell the reducer of a closed link that no newer one replaced."""
        peer = link.other(self).instance
        if self.links.get(peer) is link:
            del self.links[peer]
            self.told(events.LinkClosed, peer)

    def refused(self, peer: str) -> None:
        self.told(events.LinkRefused, peer)

    def message(self, link: _network.Link, message: messages.Message) -> None:
        """Take a message of a peer."""
        self.told(events.MessageReceived, link.other(self).instance, message)


def describe(effect: effects.Effect) -> str:
    """Return the name of an effect, with the message that it sends."""
    if type(effect) is effects.Send:
        return f'Send {type(effect.message).__name__}'
    if type(effect) in (effects.Append, effects.ReadLog):
        return f'{type(effect).__name__} {effect.stream}'
    return type(effect).__name__
