"""Many sidecars in one process: real reducers and links, no engines.

``python -m tools.capacity.sidecars BUSY PORT ...`` serves one on each port.
``BUSY`` other than 0 changes what they report all the time.
"""

import asyncio
import random
import sys

from berylhollow import clock
from berylhollow import configuration
from berylhollow import effects
from berylhollow import events
from berylhollow import link
from berylhollow import sidecar
from berylhollow.util import loop
from tools.capacity import processes
from tools.capacity import samples

TICK_S = 0.05
STATUS_TICKS = 10


class Sidecar:
    """One reducer with links, whose engine is a status that it is fed."""

    def __init__(self, number: int, port: int, time: clock.Clock):
        self.name = samples.instance(number).instance
        self.time = time
        self.links: dict[str, link.Link] = {}
        options = sidecar.Options(
            instance=self.name,
            service=samples.SERVICE,
            failure_domain='sul-a',
            region='sul',
        )
        follower = configuration.Follower(
            self.name, events.Role.ENDPOINT, 'sul-a'
        )
        self.state = sidecar.State(options, follower)
        self.server = link.LinkServer(
            processes.HOST,
            port,
            processes.KEY.encode(),
            link.Identity(self.name, 'endpoint', 'incarnation'),
            self,
        )

    def feed(self, event: events.Event) -> None:
        _, done = sidecar.reduce(self.state, event)
        for effect in done:
            if isinstance(effect, effects.Send) and effect.peer in self.links:
                self.links[effect.peer].send(effect.message)
            elif isinstance(effect, effects.Append):
                self.feed(
                    events.Appended(
                        self.time.now_ms(),
                        effect.stream,
                        effect.append_id,
                        1,
                    )
                )

    def status(self) -> None:
        slots = tuple(
            events.SlotState(number, None, False)
            for number in range(samples.SLOTS)
        )
        self.feed(
            events.EngineStatus(
                self.time.now_ms(), 'epoch', 'base', slots, 64, 0, 0, 0
            )
        )

    def link_up(self, opened: link.Link) -> None:
        name = opened.peer.instance_id
        self.links[name] = opened
        self.feed(
            events.LinkOpened(
                self.time.now_ms(),
                name,
                events.Role.GATEWAY,
                opened.peer.incarnation,
            )
        )

    def link_down(self, closed: link.Link, reason: link.Reason) -> None:
        name = closed.peer.instance_id if closed.peer else None
        if self.links.get(name) is closed:
            del self.links[name]
            self.feed(events.LinkClosed(self.time.now_ms(), name))

    def message(self, opened: link.Link, message) -> None:
        name = opened.peer.instance_id
        self.feed(events.MessageReceived(self.time.now_ms(), name, message))


async def serve(ports: list[int], busy: bool) -> None:
    time = clock.MonotonicClock()
    sidecars = [
        Sidecar(number, port, time) for number, port in enumerate(ports)
    ]
    for each in sidecars:
        await each.server.start()
        each.feed(events.Started(time.now_ms(), 'incarnation'))
    for turn in range(sys.maxsize):
        await asyncio.sleep(TICK_S)
        for number, each in enumerate(sidecars):
            if (turn + number) % STATUS_TICKS == 0:
                each.status()
            if busy:
                each.state.run_ms = random.uniform(500, 1500)
            each.feed(events.Ticked(time.now_ms(), random.random()))


def main() -> None:
    busy = sys.argv[1] != '0'
    ports = [int(port) for port in sys.argv[2:]]
    with asyncio.Runner(loop_factory=loop.new_event_loop) as runner:
        runner.run(serve(ports, busy))


if __name__ == '__main__':
    main()
