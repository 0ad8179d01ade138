"""What the system is doing when a fault strikes."""

import collections.abc
import dataclasses

from tools.matrix import _scene


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """A script over a scene that has settled.

    ``endpoint`` is where a fault strikes whose step names no endpoint.
    ``planned`` says that no request may fail without a fault. ``fenced``
    tells whether engines refuse orders with an old fencing number.
    """

    name: str
    begin: collections.abc.Callable[[_scene.Scene], None]
    endpoint: str = 'e1'
    planned: bool = False
    fenced: bool = True


def traffic(scene: _scene.Scene, every_ms: int = 250, until_ms=2000) -> None:
    """Let requests of both kinds come in at both gateways meanwhile."""
    for number, after_ms in enumerate(range(100, until_ms, every_ms)):
        adapter = f'a{1 + number % 2}'
        scene.later(after_ms, scene.model, adapter, number % 2)
        scene.later(after_ms + 60, scene.plain, (number + 1) % 2)


def rotate(scene: _scene.Scene, count: int) -> None:
    """Ask for six adapters in turn, more than there are slots."""
    for number in range(count):
        name = f'a{1 + number % 6}'
        after_ms = 600 + 200 * number
        scene.later(
            after_ms, lambda name=name: scene.model(name, 1, tokens=20)
        )


def request(scene: _scene.Scene) -> None:
    """Two requests stream at once, more follow."""
    scene.later(10, lambda: scene.model('a1', 0, tokens=20))
    scene.later(12, lambda: scene.model('a1', 1, tokens=20))
    scene.later(14, lambda: scene.model('a2', 0, tokens=20))
    traffic(scene)


def keyed_request(scene: _scene.Scene) -> None:
    """A key is sent to both gateways at once, and later once more."""
    for after_ms, gateway in ((10, 0), (11, 1), (700, 1), (2500, 0)):
        scene.later(after_ms, scene.plain, gateway, 'port-number-5')
    scene.later(12, lambda: scene.model('a1', 0, key='booking-7', tokens=20))
    scene.later(13, scene.plain, 0, 'port-number-6')
    traffic(scene)


def load(scene: _scene.Scene) -> None:
    """Cold adapters are asked for while others run."""
    scene.later(10, lambda: scene.model('a1', 0, tokens=60))
    scene.later(12, lambda: scene.model('a3', 0, tokens=20))
    scene.later(13, lambda: scene.model('a3', 1, tokens=20))
    scene.later(14, lambda: scene.model('a4', 1, tokens=20))
    traffic(scene)


def evict(scene: _scene.Scene) -> None:
    """More adapters are wanted than all slots hold, with runs in each."""
    for number in range(1, 7):
        scene.later(
            10 + number,
            lambda name=f'a{number}': scene.model(name, 0, tokens=40),
        )
    rotate(scene, 16)


def drain(scene: _scene.Scene) -> None:
    """An endpoint leaves with runs in flight; requests go on coming."""
    scene.later(10, lambda: scene.model('a1', 0, tokens=80))
    scene.later(11, lambda: scene.model('a2', 1, tokens=80))
    scene.later(12, lambda: scene.model('a3', 1, tokens=20))
    scene.later(60, scene.world.leave, 'e1')
    scene.later(90, scene.world.leave, 'p1')
    traffic(scene, every_ms=100)


def stop(scene: _scene.Scene) -> None:
    """A gateway is stopped with requests in flight."""
    scene.later(10, lambda: scene.model('a1', 0, tokens=80))
    scene.later(11, lambda: scene.model('a3', 0, tokens=20))
    scene.later(12, scene.plain, 0, 'port-number-5')
    scene.later(60, scene.world.stop, 'g1')
    traffic(scene, every_ms=150)


def takeover(scene: _scene.Scene) -> None:
    """A sidecar is killed with a load and runs under way."""
    scene.later(10, lambda: scene.model('a1', 0, tokens=60))
    scene.later(11, lambda: scene.model('a2', 1, tokens=60))
    scene.later(12, lambda: scene.model('a3', 1, tokens=20))
    scene.later(80, scene.world.kill, 'e1')
    scene.later(90, lambda: scene.model('a4', 1, tokens=20))
    rotate(scene, 12)


def publish(scene: _scene.Scene) -> None:
    """Operators race; adapters come, go and are asked for at once."""
    scene.later(10, scene.add_adapter, 'n1')
    scene.later(11, scene.add_adapter, 'n2')
    scene.later(300, scene.remove_adapter, 'b8')
    scene.later(600, scene.add_adapter, 'n3')
    for after_ms, name in ((150, 'n1'), (400, 'n1'), (450, 'b8'), (900, 'n3')):
        scene.later(after_ms, scene.model, name, 0)
        scene.later(after_ms + 5, scene.model, name, 1)
    traffic(scene)


def snapshot(scene: _scene.Scene) -> None:
    """The log cuts off old changes; processes start and need a snapshot."""
    for number in range(10):
        scene.later(10 + 170 * number, scene.add_adapter, f'n{number}')
    scene.later(1000, scene.cut_log)
    scene.later(1050, scene.world.kill, 'g2')
    scene.later(1100, scene.world.kill, 'e1')
    traffic(scene)


def replace_all(scene: _scene.Scene) -> None:
    """Every process is killed at once, just after a change."""
    scene.later(10, lambda: scene.model('a1', 0, tokens=60))
    scene.later(10, scene.plain, 0, 'port-number-5')
    for number in range(5):
        scene.later(20 + 110 * number, scene.add_adapter, f'n{number}')
    for name in scene.world.seats:
        scene.later(620, scene.world.kill, name)
    scene.later(800, scene.plain, 1, 'port-number-5')
    traffic(scene)


def rolling(scene: _scene.Scene) -> None:
    """Every process is stopped and replaced, one after the other."""
    scene.later(10, lambda: scene.model('a1', 0, tokens=60))
    for number, name in enumerate(scene.world.seats):
        scene.later(50 + 400 * number, scene.world.stop, name)
    traffic(scene, every_ms=150)


FLOWS = {
    flow.name: flow
    for flow in (
        Flow('request', request, planned=True),
        Flow('keyed request', keyed_request, 'p1', planned=True),
        Flow('load', load, planned=True),
        Flow('evict', evict, planned=True),
        Flow('evict unfenced', evict, planned=True, fenced=False),
        Flow('drain', drain, planned=True),
        Flow('stop', stop, planned=True),
        Flow('takeover', takeover),
        Flow('replace all', replace_all),
        Flow('rolling', rolling, planned=True),
        Flow('publish', publish, planned=True),
        Flow('snapshot', snapshot),
    )
}
