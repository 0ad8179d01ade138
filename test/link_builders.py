"""Builders of links, messages and peers for the tests of links."""

import asyncio
import dataclasses
import enum

from berylhollow import link as links

KEY = b'the key that all instances share'
GATEWAY = links.Identity('gateway-1', 'gateway', 'a')
SIDECAR = links.Identity('sidecar-1', 'sidecar', 'b')


class Colour(enum.Enum):
    RED = 'red'
    BLUE = 'blue'


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    x: int
    y: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    name: str
    number: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Drawing:
    colour: Colour
    points: tuple[Point, ...]
    origin: Point | None = None
    names: frozenset[str] = frozenset()
    sizes: tuple[int, str] = (0, '')
    labels: dict[str, Point] = dataclasses.field(default_factory=dict)
    visible: bool = True


TAGS = {10: Note, 11: Drawing}


class RecordingHandler:
    """A handler that records its calls and wakes waiting tests."""

    def __init__(self):
        self.ups = []
        self.messages = []
        self.downs = []
        self.changed = asyncio.Event()

    def link_up(self, link):
        self.ups.append(link)
        self.changed.set()

    def message(self, link, message):
        self.messages.append(message)
        self.changed.set()

    def link_down(self, link, reason):
        self.downs.append(reason)
        self.changed.set()

    async def until(self, condition):
        """Wait until ``condition()`` is true."""
        while not condition():
            self.changed.clear()
            await self.changed.wait()


def server(handler, key=KEY, **options):
    return links.LinkServer(
        '127.0.0.1',
        0,
        key,
        SIDECAR,
        handler,
        links.Options(**options),
        links.Codec(TAGS),
    )


def client(port, handler, key=KEY, **options):
    return links.LinkClient(
        '127.0.0.1',
        port,
        key,
        GATEWAY,
        handler,
        links.Options(**options),
        links.Codec(TAGS),
    )


def note(number, payload=b''):
    return Note('note', number, payload)
