"""Waits for admission, as gateways log them, and the queues of sidecars."""

import dataclasses
import datetime
import time

from tools.soak import _world

LATE_S = 1.0
"""How late a gateway may end a wait: it checks each 100 ms, and the machine
may be loaded."""

SETTLED_S = 1.0
"""After the callers have left; by then gateways have ended their waits."""

BEGIN = 'request waits for admission'
ENDS = frozenset(
    {
        'answered',
        'attempt offered',
        'request given up',
        'request is sent without admission',
    }
)
WAITING = 'berylhollow_admissions_waiting'
DECISIONS = 'berylhollow_admissions_total'


@dataclasses.dataclass
class Wait:
    """A request's wait at one gateway; times are monotonic.

    ``shown_id`` is the caller's id of the request, '' if its gateway did not
    log the answer. ``until`` is when it was read if the wait had not ended.
    """

    request_id: str
    gateway: str
    since: float
    until: float
    shown_id: str = ''


@dataclasses.dataclass(frozen=True)
class Seen:
    """The waits that reached the time after the faults, and what is left.

    ``queues`` has the number of requests that wait at each sidecar which has
    decided about any, None if the sidecar does not tell it.
    """

    faults_ended: float = 0.0
    waits: tuple[Wait, ...] = ()
    queues: dict[str, float | None] = dataclasses.field(default_factory=dict)


NOTHING = Seen()


async def see(world: _world.World, faults_ended: float) -> Seen:
    """Read the logs of the gateways that run, and ask the sidecars."""
    offset_s = time.time() - time.monotonic()
    waits = []
    for name in world.gateways:
        lines = world.processes[name].lines
        waits += read_waits(name, lines, offset_s, time.monotonic())
    queues = {}
    for name in world.models:
        page = await world.metrics(name)
        if not page or DECISIONS in page:
            queues[f's{name}'] = read_metric(page, WAITING)
    return Seen(
        faults_ended,
        tuple(wait for wait in waits if wait.until >= faults_ended),
        queues,
    )


def read_waits(
    gateway: str, lines: list[dict], offset_s: float, now: float
) -> list[Wait]:
    """Return the waits of one process by its log, in their order.

    A wait whose end is missing is left out if the process dropped lines
    later: the end may be among these. ``offset_s`` is the wall clock less the
    monotonic clock.
    """
    waits: list[Wait] = []
    open_waits: dict[str, Wait] = {}
    shown_ids: dict[str, str] = {}
    for line in lines:
        if line.get('lines_left_out'):
            unknown = open_waits.values()
            waits = [wait for wait in waits if wait not in unknown]
            open_waits = {}
        request_id, message = line.get('request_id'), line.get('message')
        if message == BEGIN and request_id not in open_waits:
            at = _seconds(line) - offset_s
            open_waits[request_id] = Wait(request_id, gateway, at, now)
            waits.append(open_waits[request_id])
        elif message in ENDS and request_id in open_waits:
            open_waits.pop(request_id).until = _seconds(line) - offset_s
        if 'shown_id' in line:
            shown_ids[request_id] = line['shown_id']
    for wait in waits:
        wait.shown_id = shown_ids.get(wait.request_id, '')
    return waits


def read_metric(page: str, name: str) -> float | None:
    """Return the sum of a metric's values, None if the page lacks it."""
    values = [
        float(line.rsplit(' ', 1)[1])
        for line in page.splitlines()
        if line.startswith((f'{name}{{', f'{name} '))
    ]
    return sum(values) if values else None


def _seconds(line: dict) -> float:
    return datetime.datetime.fromisoformat(line['time']).timestamp()
