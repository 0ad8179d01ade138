"""What one more of each thing holds in memory, by tracemalloc."""

import collections.abc
import dataclasses
import gc
import tracemalloc

from berylhollow import claims
from berylhollow import configuration
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from berylhollow import sidecar
from tools.capacity import figures
from tools.capacity import fits
from tools.capacity import samples

SIZES = (250, 500, 1000, 2000, 4000)
CLAIM_BATCH = 100
ANSWER = claims.StoredAnswer(200, (), b'y' * 512)


def measure() -> list[figures.Slope]:
    """Return the slopes; the process may not be at other work."""
    found = []
    for name, per, how, make in _MAKERS:
        points = [fits.Point(size, held(make, size)) for size in SIZES]
        found.append(
            figures.slope(f'memory.{name}', 'bytes', per, how, points)
        )
    return found


def held(make: collections.abc.Callable, size: int) -> int:
    """Return the bytes that what ``make(size)`` returns holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make(size)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def _adapters(size: int):
    """Return the state that a record on the log leads to."""
    change = configuration.Change(
        0, 'operator', 'first', whole=samples.declared(size)
    )
    entry = messages.LogEntry(0, 0, configuration.encode_change(change))
    state, _ = configuration.fold(configuration.INITIAL, entry)
    return state


def _endpoints(size: int):
    state = samples.gateway_state()
    samples.fill(state, size)
    return state


def _callers(size: int):
    state = samples.gateway_state()
    samples.fill(state, 1)
    for number in range(size):
        named = dataclasses.replace(
            samples.request(number), caller=f'caller-{number:06}'
        )
        gateway.reduce(state, events.RequestArrived(4, named))
        gone = events.CallerGone(5, named.request_id)
        gateway.reduce(state, gone)
    return state


def _requests(size: int):
    state = samples.gateway_state()
    samples.fill(state, 8)
    for number in range(size):
        arrived = events.RequestArrived(4, samples.request(number))
        gateway.reduce(state, arrived)
    return state


def _attempts(size: int):
    state = samples.sidecar_state()
    opened = events.LinkOpened(1, 'g-1', events.Role.GATEWAY, 'abcdef')
    sidecar.reduce(state, opened)
    for number in range(size):
        offer = samples.offer(number)
        received = events.MessageReceived(2, 'g-1', offer)
        sidecar.reduce(state, received)
    return state


def _ledger(size: int, answer: claims.StoredAnswer | None):
    ledger = claims.Ledger(window_ms=3_600_000)
    for first in range(0, size, CLAIM_BATCH):
        last = min(first + CLAIM_BATCH, size)
        for data in claim_batches(first, last, answer):
            entry = messages.LogEntry(ledger.next_offset, first, data)
            ledger.apply(entry)
    return ledger


def claim_batches(
    first: int, last: int, answer: claims.StoredAnswer | None
) -> list[bytes]:
    """Return a batch of claims, and the batch that settles them."""
    claimed = []
    settled = []
    for number in range(first, last):
        key = claims.digest_key('firm-1', 'balcao', str(number))
        claim_id = f'0123456789abcdef/0123456789abcdef-{number}'
        claimed.append(claims.Claim(key, claim_id, b'f' * 16, 30_000))
        settled.append(
            claims.Settled(key, claim_id, claims.Outcome.RAN, answer)
        )
    return [claims.encode(claimed), claims.encode(settled)]


def _claims(size: int):
    return _ledger(size, None)


def _claims_answered(size: int):
    return _ledger(size, ANSWER)


_MAKERS = (
    (
        'adapter',
        'adapter declared',
        'configuration.fold of a whole manifest, two versions each',
        _adapters,
    ),
    (
        'endpoint',
        'endpoint known',
        'gateway.reduce: listed, link open, report of 4 slots; '
        'without the link',
        _endpoints,
    ),
    (
        'caller',
        'caller of the last minute',
        'gateway.reduce: a request of each, ended',
        _callers,
    ),
    (
        'request',
        'request in flight',
        'gateway.reduce: arrived and offered, body of 2,000 bytes',
        _requests,
    ),
    (
        'attempt',
        'attempt at a sidecar',
        'sidecar.reduce: offered and running, body of 2,000 bytes',
        _attempts,
    ),
    (
        'claim',
        'claim held',
        'claims.Ledger.apply: claimed and settled, no answer kept',
        _claims,
    ),
    (
        'claim_answered',
        'claim held with its answer',
        'claims.Ledger.apply: settled with an answer of 512 bytes',
        _claims_answered,
    ),
)
