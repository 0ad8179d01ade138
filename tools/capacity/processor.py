"""What decisions and messages cost in processor time, by process_time."""

import collections.abc
import dataclasses
import functools
import gc
import json
import time

from berylhollow import claims
from berylhollow import configuration
from berylhollow import events
from berylhollow import gateway
from berylhollow.link import _codec
from berylhollow import log_service
from berylhollow import manifest
from berylhollow import messages
from berylhollow import sidecar
from tools.capacity import figures
from tools.capacity import fits
from tools.capacity import memory
from tools.capacity import samples

ENDPOINTS = (10, 100, 400, 1000, 2000)
ADAPTERS = (1000, 3000, 7000, 15_000)
COUNTS = (200, 400, 800, 1600)
BATCHES = (1, 8, 64, 512)
REPEATS = 5
MICROSECONDS = 1e6
CODEC = _codec.shared_codec()


def spent_us(action: collections.abc.Callable, times: int = 1) -> float:
    """Return the least processor time of one call among some repeats.

    Others use the machine as well: what they take only adds.
    """
    best = None
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        for _ in range(times):
            action()
        spent = (time.process_time() - began) / times
        best = spent if best is None else min(best, spent)
    return best * MICROSECONDS


def measure() -> list[figures.Slope]:
    """Return the slopes of the decisions of both roles."""
    found = []
    for name, per, how, sizes, cost in _COSTS:
        points = [fits.Point(size, cost(size)) for size in sizes]
        found.append(
            figures.slope(f'processor.{name}', 'us', per, how, points)
        )
    return found


def _gateway_tick(endpoints: int) -> float:
    state = samples.gateway_state()
    samples.fill(state, endpoints)
    tick = events.Ticked(100)
    return spent_us(lambda: gateway.reduce(state, tick), 20)


def _gateway_tick_requests(count: int) -> float:
    state = samples.gateway_state()
    samples.fill(state, 100)
    for number in range(count):
        arrived = events.RequestArrived(4, samples.request(number))
        gateway.reduce(state, arrived)
    tick = events.Ticked(100)
    return spent_us(lambda: gateway.reduce(state, tick), 20)


def _reports(count: int) -> float:
    """Decode and take in reports of 100 endpoints in turn."""
    state = samples.gateway_state()
    samples.fill(state, 100)
    frames = [
        _codec.encode_list([CODEC.encode(samples.report(number))])
        for number in range(100)
    ]

    def take():
        for number in range(count):
            [told] = CODEC.decode(frames[number % 100])
            received = events.MessageReceived(10, told.instance, told)
            gateway.reduce(state, received)

    return spent_us(take)


def _request(endpoints: int) -> float:
    """Reduce one request at a gateway from arrival to end."""
    state = samples.gateway_state(adapters=8)
    samples.fill(state, endpoints)
    numbers = iter(range(10_000_000))
    return spent_us(lambda: _one_request(state, next(numbers)), 200)


def _one_request(state: gateway.State, number: int) -> None:
    asked = samples.request(number)
    arrived = events.RequestArrived(20, asked, (number % 97) / 97)
    gateway.reduce(state, arrived)
    active = state.requests[asked.request_id]
    attempt_id = active.attempt_id
    peer = active.endpoint
    head = messages.Started(attempt_id, 200, (), asked.adapter)
    gateway.reduce(state, events.MessageReceived(21, peer, head))
    end = messages.End(attempt_id, 243)
    gateway.reduce(state, events.MessageReceived(22, peer, end))
    relayed = events.AnswerRelayed(23, asked.request_id, attempt_id, 200)
    gateway.reduce(state, relayed)


def _sidecar_requests(count: int) -> float:
    """Reduce requests at a sidecar from offer to end, one by one."""
    state = samples.sidecar_state()
    opened = events.LinkOpened(1, 'g-1', events.Role.GATEWAY, 'abcdef')
    sidecar.reduce(state, opened)
    numbers = iter(range(10_000_000))

    def run():
        for _ in range(count):
            offer = samples.offer(next(numbers))
            attempt_id = offer.attempt_id
            at = functools.partial(sidecar.reduce, state)
            at(events.MessageReceived(2, 'g-1', offer))
            at(events.RunStarted(3, attempt_id, '', 200, (), offer.adapter))
            at(events.RunEnded(4, attempt_id, 243))

    return spent_us(run)


def _sidecar_tick(links: int) -> float:
    """One tick that reports to every gateway, reports encoded."""
    state = samples.sidecar_state()
    for number in range(links):
        opened = events.LinkOpened(
            1, f'g-{number}', events.Role.GATEWAY, 'abcdef'
        )
        sidecar.reduce(state, opened)
    now = iter(range(1000, 10_000_000, 20_000))

    def tick():
        _, done = sidecar.reduce(state, events.Ticked(next(now)))
        for effect in done:
            if isinstance(getattr(effect, 'message', None), messages.Report):
                CODEC.encode(effect.message)

    return spent_us(tick, 10)


def _change(adapters: int) -> float:
    """Fold one change of one adapter among many."""
    whole = configuration.Change(
        0, 'operator', 'first', whole=samples.declared(adapters)
    )
    first = messages.LogEntry(0, 0, configuration.encode_change(whole))
    state, _ = configuration.fold(configuration.INITIAL, first)
    versions = (manifest.Version('8'), manifest.Version('7'))
    changed = manifest.Adapter(
        samples.adapter_name(1), samples.SERVICE, 0, versions
    )
    change = configuration.Change(
        state.configuration.revision,
        'operator',
        'second',
        (configuration.Put(changed),),
    )
    data = configuration.encode_change(change)
    entry = messages.LogEntry(1, 1, data)
    return spent_us(lambda: configuration.fold(state, entry), 50)


def _snapshot(adapters: int) -> float:
    """Write a snapshot and read it back, as a new process does."""
    whole = configuration.Change(
        0, 'operator', 'first', whole=samples.declared(adapters)
    )
    first = messages.LogEntry(0, 0, configuration.encode_change(whole))
    state, _ = configuration.fold(configuration.INITIAL, first)
    data = state.snapshot()
    return spent_us(lambda: configuration.from_snapshot(data))


def _claims(count: int) -> float:
    """Read claims and their ends from the log into a ledger."""
    batches = memory.claim_batches(0, count, None)

    def fold():
        ledger = claims.Ledger(window_ms=3_600_000)
        for offset, data in enumerate(batches):
            ledger.apply(messages.LogEntry(offset, 0, data))

    return spent_us(fold)


def _instances(count: int) -> float:
    """Parse the platform's list and take it in, nothing changed."""
    state = samples.gateway_state()
    samples.fill(state, count)
    text = list_text(count)

    def take():
        rows = json.loads(text)['instances']
        listed = [log_service.parse_instance(row) for row in rows]
        rows = tuple(samples.instance(n) for n in range(len(listed)))
        gateway.reduce(state, events.InstancesListed(50, rows))

    return spent_us(take)


def list_text(count: int) -> bytes:
    """Return the platform's list with so many endpoints."""
    rows = []
    for number in range(count):
        row = dataclasses.asdict(samples.instance(number))
        row['role'] = row['role'].value
        row['state'] = 'leaving' if row.pop('leaving') else 'live'
        rows.append(row)
    return json.dumps({'instances': rows}).encode()


def _frames(batch: int) -> float:
    """Encode and decode one frame of so many tokens of one stream."""
    payload = b'data: '.ljust(148, b'x') + b'\n\n'
    parts = [
        messages.Data('0123456789abcdef-1.1', number, payload)
        for number in range(batch)
    ]

    def carry():
        CODEC.decode(
            _codec.encode_list([CODEC.encode(part) for part in parts])
        )

    return spent_us(carry, 20)


_COSTS = (
    (
        'gateway_tick',
        'endpoint, each tick',
        'gateway.reduce of a tick, nothing due',
        ENDPOINTS,
        _gateway_tick,
    ),
    (
        'gateway_tick_request',
        'request in flight, each tick',
        'gateway.reduce of a tick, 100 endpoints',
        COUNTS,
        _gateway_tick_requests,
    ),
    (
        'report',
        'report at a gateway',
        'codec and gateway.reduce, 4 slots; without the socket',
        COUNTS,
        _reports,
    ),
    (
        'request',
        'endpoint known, each request',
        'gateway.reduce from arrival to end; the base is one request',
        ENDPOINTS,
        _request,
    ),
    (
        'sidecar_request',
        'request at a sidecar',
        'sidecar.reduce from offer to end',
        COUNTS,
        _sidecar_requests,
    ),
    (
        'sidecar_report',
        'link, each tick with a report',
        'sidecar.reduce of a tick and the codec',
        (1, 8, 32, 128),
        _sidecar_tick,
    ),
    (
        'change',
        'adapter declared, each change',
        'configuration.fold of a change of one adapter',
        ADAPTERS,
        _change,
    ),
    (
        'snapshot',
        'adapter in a snapshot',
        'configuration.from_snapshot',
        ADAPTERS,
        _snapshot,
    ),
    (
        'claim',
        'claim read',
        'claims.Ledger.apply of a claim and its end',
        COUNTS,
        _claims,
    ),
    (
        'instance',
        'row of the instance list',
        'JSON, its rows and gateway.reduce, nothing changed',
        ENDPOINTS,
        _instances,
    ),
    (
        'token',
        'token of one stream',
        'codec of Data of 150 bytes, both ways; without the socket',
        BATCHES,
        _frames,
    ),
)
