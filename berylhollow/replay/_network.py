"""Links between processes: ordered, with a latency, and breakable."""

import typing

from berylhollow import events
from berylhollow import messages
from berylhollow.replay import _actions

if typing.TYPE_CHECKING:
    from berylhollow.replay import _processes
    from berylhollow.replay import _world

Point = _actions.Point


class Link:
    """A connection between two processes, the opener first.

    What was sent arrives in order. Once it is cut nothing more arrives, in
    either direction, and both ends learn of it after the latency.
    """

    def __init__(
        self,
        ends: tuple['_processes.Process', '_processes.Process'],
        latency_ms: float,
    ):
        self.ends = ends
        self.latency_ms = latency_ms
        self.up = True
        self.last_ms = [0.0, 0.0]

    def other(self, process: '_processes.Process') -> '_processes.Process':
        """Return the process at the other end."""
        return self.ends[1] if process is self.ends[0] else self.ends[0]


class Network:
    """Every link, and which pairs of instances can't reach each other."""

    def __init__(self, world: '_world.World'):
        self.world = world
        self.links: list[Link] = []
        self.unreachable: set[frozenset[str]] = set()
        self.extra_ms: dict[frozenset[str], float] = {}

    # Opening

    def open(self, opener: '_processes.Process', address: str) -> None:
        """Ask for a link; the opener is told what came of it."""
        self.world.schedule(
            self.world.latencies.link_ms,
            Point.CONNECT,
            'link',
            address,
            self.connect,
            opener,
            address,
        )

    def connect(self, opener: '_processes.Process', address: str) -> None:
        listener = self.world.listener(address)
        pair = frozenset((opener.instance, address))
        if pair in self.unreachable:
            self.refuse(opener, address, self.world.latencies.handshake_ms)
        elif listener is None or not listener.alive:
            self.refuse(opener, address, self.world.latencies.link_ms)
        elif listener.paused:
            self.refuse(opener, address, self.world.latencies.handshake_ms)
        elif opener.alive:
            self.join(opener, listener)

    def refuse(
        self, opener: '_processes.Process', address: str, after_ms: float
    ) -> None:
        self.world.schedule(
            after_ms,
            Point.LINKED,
            'refused',
            opener.instance,
            opener.receive,
            opener.refused,
            address,
        )

    def join(
        self, opener: '_processes.Process', listener: '_processes.Process'
    ) -> None:
        link = Link((opener, listener), self.world.latencies.link_ms)
        self.links.append(link)
        listener.linked(link)
        self.world.schedule(
            link.latency_ms,
            Point.LINKED,
            'opened',
            opener.instance,
            self.arrive_opened,
            link,
        )

    def arrive_opened(self, link: Link) -> None:
        if link.up:
            link.ends[0].receive(link.ends[0].linked, link)

    # Messages

    def send(
        self,
        link: Link,
        sender: '_processes.Process',
        message: messages.Message,
    ) -> None:
        """Send a message; it is lost if the link is cut before it arrives."""
        end = 0 if sender is link.ends[0] else 1
        receiver = link.ends[1 - end]
        at_ms = self.world.now_ms + link.latency_ms
        if self.extra_ms:
            pair = frozenset((sender.instance, receiver.instance))
            at_ms += self.extra_ms.get(pair, 0)
        at_ms = max(at_ms, link.last_ms[end])
        link.last_ms[end] = at_ms
        self.world.push(
            at_ms,
            _actions.Action(
                Point.DELIVER,
                type(message).__name__,
                receiver.instance,
                self.arrive,
                (link, receiver, message),
                message,
            ),
        )

    def arrive(
        self,
        link: Link,
        receiver: '_processes.Process',
        message: messages.Message,
    ) -> None:
        if link.up and receiver.alive:
            receiver.receive(receiver.message, link, message)

    # Ends

    def cut(self, link: Link) -> None:
        """Lose the connection and all that is under way on it."""
        if not link.up:
            return
        link.up = False
        self.links.remove(link)
        for end in link.ends:
            self.tell_closed(link, end, link.latency_ms)

    def tell_closed(
        self, link: Link, end: '_processes.Process', after_ms: float
    ) -> None:
        self.world.schedule(
            after_ms,
            Point.CLOSED,
            'link',
            end.instance,
            end.receive,
            end.unlinked,
            link,
        )

    def close(self, link: Link, closer: '_processes.Process') -> None:
        """Close after what ``closer`` sent has arrived."""
        if not link.up:
            return
        end = 0 if closer is link.ends[0] else 1
        self.world.push(
            max(self.world.now_ms + link.latency_ms, link.last_ms[end]),
            _actions.Action(
                Point.CLOSED, 'link', closer.instance, self.cut, (link,)
            ),
        )

    def links_of(self, process: '_processes.Process') -> list[Link]:
        """Return the links that end at a process."""
        return [link for link in self.links if process in link.ends]

    def between(self, one: str, other: str) -> list[Link]:
        """Return the links between two instances."""
        return [
            link
            for link in self.links
            if {end.instance for end in link.ends} == {one, other}
        ]

    def separate(self, one: str, other: str) -> None:
        """Cut what there is and let no new link through."""
        self.unreachable.add(frozenset((one, other)))
        for link in self.between(one, other):
            self.cut(link)

    def reunite(self, one: str, other: str) -> None:
        """Let new links through again."""
        self.unreachable.discard(frozenset((one, other)))


def link_opened(at_ms: int, peer: '_processes.Process') -> events.LinkOpened:
    """Return the event of a link to a process."""
    return events.LinkOpened(at_ms, peer.instance, peer.role, peer.incarnation)
