"""Shapes of demand over time, one function a trace.

Each takes a ``Maker`` and yields its requests and faults in any order. All
moments are shares of the trace's length, so that a short trace has the same
shape as a long one.
"""

import bisect
import itertools
import random

from berylhollow.replay import _trace
from tools import trace_users

MS_PER_SECOND = 1000
VERSION = '1'
FLASH_SHARE = 0.8
DRIFT_SHARE = 0.16
PING_PONG_ADAPTERS = 60
PING_PONG_PHASES = 6
SCAN_RATE_PER_S = 1.0
RESTARTS = 5
RESEND_SHARE = 0.1
ORDER_SHARE = 0.3
PLAIN_RATE_PER_S = 8.0
LOW_PRIORITY = 1
HIGH_PRIORITY = 5
HIGH_PRIORITY_SHARE = 0.2


class Popularity:
    """A Zipf law over ranks, and which adapter has which rank."""

    def __init__(self, count: int, exponent: float, rng: random.Random):
        self.rng = rng
        weights = [(rank + 1) ** -exponent for rank in range(count)]
        self.cumulated = list(itertools.accumulate(weights))
        self.by_rank = list(range(count))
        rng.shuffle(self.by_rank)

    def pick(self) -> int:
        """Return an adapter's number by its popularity."""
        point = self.rng.random() * self.cumulated[-1]
        return self.by_rank[bisect.bisect(self.cumulated, point)]

    def turn(self) -> None:
        """Give every adapter another rank."""
        self.rng.shuffle(self.by_rank)

    def swap(self) -> None:
        """Let one popular adapter fall asleep and an idle one wake up."""
        awake = self.rng.randrange(len(self.by_rank) // 10)
        idle = self.rng.randrange(len(self.by_rank) // 10, len(self.by_rank))
        ranks = self.by_rank
        ranks[awake], ranks[idle] = ranks[idle], ranks[awake]


class Maker:
    """Makes the requests of one user over ``length_ms``."""

    def __init__(self, user: trace_users.User, length_ms: int, seed: int):
        self.user = user
        self.length_ms = length_ms
        self.rng = random.Random(seed)
        self.popularity = Popularity(user.adapters, user.exponent, self.rng)
        self.keys = itertools.count()

    def arrivals(self, rate_per_s: float, start=0.0, end=1.0):
        """Yield the moments of a Poisson process within shares of time."""
        at_ms = start * self.length_ms
        while True:
            at_ms += self.rng.expovariate(rate_per_s) * MS_PER_SECOND
            if at_ms >= end * self.length_ms:
                return
            yield int(at_ms)

    def request(self, at_ms: int, number: int) -> _trace.TraceRequest:
        """Return a request for the adapter of a number."""
        user = self.user
        high = self.rng.random() < HIGH_PRIORITY_SHARE
        return _trace.TraceRequest(
            at_ms=at_ms,
            caller=f'firm-{number % user.callers:03d}',
            service=user.service,
            adapter=user.adapter_name(number),
            version=VERSION,
            prompt_tokens=user.prompt_tokens.pick(self.rng),
            output_tokens=user.output_tokens.pick(self.rng),
            priority=HIGH_PRIORITY if high else LOW_PRIORITY,
            deadline_ms=user.deadline_ms.pick(self.rng),
        )

    def steady(self, start=0.0, end=1.0, share=1.0):
        """Yield requests by the present popularity."""
        rate_per_s = self.user.rate_per_s * share
        for at_ms in self.arrivals(rate_per_s, start, end):
            yield self.request(at_ms, self.popularity.pick())

    def plain(self, at_ms: int, key: str | None) -> _trace.TraceRequest:
        """Return a call of the plain service, with a key or without."""
        caller = self.rng.randrange(self.user.callers)
        return _trace.TraceRequest(
            at_ms=at_ms,
            caller=f'firm-{caller:03d}',
            service=self.user.plain_service,
            idempotent=key is None,
            key=key,
            priority=LOW_PRIORITY,
            deadline_ms=self.user.plain_deadline_ms,
        )

    def at(self, share: float) -> int:
        """Return the moment at a share of the length."""
        return int(share * self.length_ms)


def steady_zipf(maker: Maker):
    """The same popularity from begin to end."""
    yield from maker.steady()


def popularity_flip(maker: Maker):
    """Half way, all popularity turns: yesterday's cold is today's hot."""
    yield from maker.steady(0.0, 0.5)
    maker.popularity.turn()
    yield from maker.steady(0.5, 1.0)


def flash_crowd(maker: Maker):
    """For a while most requests are for one adapter that was cold."""
    yield from maker.steady()
    crowd = maker.popularity.by_rank[-1]
    rate_per_s = maker.user.rate_per_s * FLASH_SHARE
    for at_ms in maker.arrivals(rate_per_s, 0.4, 0.7):
        yield maker.request(at_ms, crowd)


def slow_drift(maker: Maker):
    """One in six of the adapters wakes up or falls idle on the way."""
    swaps = int(maker.user.adapters * DRIFT_SHARE / 2)
    done = 0
    for at_ms in maker.arrivals(maker.user.rate_per_s):
        while done < swaps * at_ms / maker.length_ms:
            maker.popularity.swap()
            done += 1
        yield maker.request(at_ms, maker.popularity.pick())


def ping_pong(maker: Maker):
    """Two sets, each larger than all slots, are asked for by turns."""
    ranks = maker.popularity.by_rank
    sets = (
        ranks[:PING_PONG_ADAPTERS],
        ranks[PING_PONG_ADAPTERS : 2 * PING_PONG_ADAPTERS],
    )
    for phase in range(PING_PONG_PHASES):
        start = phase / PING_PONG_PHASES
        end = (phase + 1) / PING_PONG_PHASES
        for at_ms in maker.arrivals(maker.user.rate_per_s, start, end):
            chosen = maker.rng.choice(sets[phase % 2])
            yield maker.request(at_ms, chosen)


def scan(maker: Maker):
    """Beside steady demand, somebody asks every adapter once in turn."""
    yield from maker.steady(share=0.8)
    numbers = itertools.cycle(range(maker.user.adapters))
    for at_ms in maker.arrivals(SCAN_RATE_PER_S):
        yield maker.request(at_ms, next(numbers))


def engine_restarts(maker: Maker):
    """Engines crash under load, one after another, and come back cold."""
    yield from maker.steady()
    order = maker.rng.sample(range(1, RESTARTS + 1), RESTARTS)
    for number, engine in enumerate(order):
        at_ms = maker.at((number + 1) / (RESTARTS + 2))
        yield _trace.TraceFault(at_ms, 'crash', f'engine-{engine}')


def weights_fail(maker: Maker):
    """The weight store is slow for a while, then down for a while."""
    yield from maker.steady()
    span_ms = maker.at(0.2)
    yield _trace.TraceFault(maker.at(0.2), 'weights_slow', 'weights', span_ms)
    yield _trace.TraceFault(maker.at(0.6), 'weights_down', 'weights', span_ms)


def mixed(maker: Maker):
    """Model requests, look-ups, and orders with keys, some sent again."""
    yield from maker.steady(share=0.8)
    for at_ms in maker.arrivals(PLAIN_RATE_PER_S):
        key = None
        if maker.rng.random() < ORDER_SHARE:
            key = f'order-{next(maker.keys)}'
        call = maker.plain(at_ms, key)
        yield call
        if key is not None and maker.rng.random() < RESEND_SHARE:
            later_ms = at_ms + maker.rng.randint(200, 4000)
            if later_ms < maker.length_ms:
                yield _trace.TraceRequest(
                    at_ms=later_ms,
                    caller=call.caller,
                    service=call.service,
                    idempotent=False,
                    key=key,
                    priority=call.priority,
                    deadline_ms=call.deadline_ms,
                )


def mixed_faults(maker: Maker):
    """Mixed demand; an engine restarts, then the weight store is slow."""
    yield from mixed(maker)
    yield _trace.TraceFault(maker.at(0.3), 'crash', 'engine-1')
    span_ms = maker.at(0.2)
    yield _trace.TraceFault(maker.at(0.6), 'weights_slow', 'weights', span_ms)


SHAPES = {
    'steady-zipf': steady_zipf,
    'popularity-flip': popularity_flip,
    'flash-crowd': flash_crowd,
    'slow-drift': slow_drift,
    'ping-pong': ping_pong,
    'scan': scan,
    'engine-restarts': engine_restarts,
    'weights-fail': weights_fail,
    'mixed': mixed,
}
LOCAL_SHAPES = {
    'steady-zipf': steady_zipf,
    'flash-crowd': flash_crowd,
    'mixed-faults': mixed_faults,
}
"""For the deployment of ``make run``, whose adapters are few."""


def make(
    shape: str, user: trace_users.User, length_ms: int, seed: int
) -> list[_trace.TraceItem]:
    """Return the items of a trace by time."""
    shapes = {**SHAPES, **LOCAL_SHAPES}
    items = shapes[shape](Maker(user, length_ms, seed))
    return sorted(items, key=lambda item: item.at_ms)
