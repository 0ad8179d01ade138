"""Count the links that gateways ask for when a rack is lost and comes back.

python -m tools.herd

Real reducers of gateways and sidecars in the virtual world: all endpoints of
a rack die, stay away for a while, and come back; or they leave and drain.
"""

import collections
import dataclasses

from berylhollow import configuration
from berylhollow import gateway
from berylhollow import manifest
from berylhollow import replay
from berylhollow.replay import _deployment
from berylhollow import sidecar

GATEWAYS = 200
ENDPOINTS = 40
SERVICE = 'balcao'
SETTLED_MS = 10_000
AWAY_MS = 30_000
AFTER_MS = 30_000
WINDOW_MS = 100
MS_PER_SECOND = 1000


@dataclasses.dataclass
class Asked:
    """How many links were asked for, by window, and at each endpoint."""

    windows: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    at_one: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def __call__(self, world: replay.World, action: replay.Action) -> None:
        if action.point is replay.Point.CONNECT:
            window = int(world.now_ms // WINDOW_MS)
            self.windows[window] += 1
            self.at_one[window, action.target] += 1

    def report(self, name: str, start_ms: float, end_ms: float) -> None:
        """Print the figures of a span of time."""
        span = range(int(start_ms // WINDOW_MS), int(end_ms // WINDOW_MS))
        total = sum(self.windows[window] for window in span)
        peak = max(self.windows[window] for window in span)
        at_one = max(
            (
                count
                for (window, _), count in self.at_one.items()
                if window in span
            ),
            default=0,
        )
        a_second = total * MS_PER_SECOND / (end_ms - start_ms)
        print(
            f'{name}: {total} links asked for, {a_second:.0f}/s, at most '
            f'{peak} in {WINDOW_MS} ms, {at_one} at one process'
        )


def world(asked: Asked) -> replay.World:
    """Return a world of many gateways before one rack of endpoints."""
    view = configuration.from_manifest(
        manifest.Manifest(
            (manifest.Service(SERVICE, manifest.ServiceKind.PLAIN),)
        ),
        revision=1,
    )
    made = replay.World(lean=True, intercept=asked)
    for number in range(ENDPOINTS):
        name = f'plain-{number}'
        made.add_service(name)
        options = sidecar.Options(name, SERVICE, plain=True)
        made.add_sidecar(
            name, SERVICE, sidecar.reduce, _maker(sidecar, options, view)
        )
    for number in range(GATEWAYS):
        name = f'gateway-{number}'
        options = gateway.Options(name)
        made.add_gateway(name, gateway.reduce, _maker(gateway, options, view))
    return made


def main() -> None:
    asked = Asked()
    made = world(asked)
    made.run_until(SETTLED_MS)
    asked.report('all start at once', 0, SETTLED_MS)
    for number in range(ENDPOINTS):
        made.kill(f'plain-{number}')
    back_ms = SETTLED_MS + AWAY_MS
    made.run_until(back_ms)
    asked.report('rack is away', SETTLED_MS, back_ms)
    for number in range(ENDPOINTS):
        made.start(f'plain-{number}')
    made.run_until(back_ms + AFTER_MS)
    asked.report('rack is back', back_ms, back_ms + AFTER_MS)
    print(f'last link open after {healed_ms(asked, back_ms):.0f} ms')
    links = GATEWAYS * ENDPOINTS
    opened = sum(
        name in process.links
        for process in made.processes
        if process.alive and process.role is gateway_role(made)
        for name in (f'plain-{number}' for number in range(ENDPOINTS))
    )
    print(f'herd: {opened} of {links} links are open again')


def gateway_role(made: replay.World):
    return made.listener('gateway-0').role


def healed_ms(asked: Asked, back_ms: float) -> float:
    """Return how long after the return the last link was asked for."""
    last = max(asked.windows, default=0)
    return (last + 1) * WINDOW_MS - back_ms


def _maker(role, options, view):
    return lambda: role.State(options, _deployment.FixedFollower(view))


if __name__ == '__main__':
    main()
