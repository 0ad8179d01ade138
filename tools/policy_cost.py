"""Measure what a decision about an adapter costs a gateway and a loader.

``python -m tools.policy_cost`` prints microseconds a decision, the median of
several rounds, for deployments of several sizes: the gateway's choice of an
endpoint for a request, and the loader's choice of the next order. Processor
time is counted, so other work on the machine matters little.
"""

import argparse
import collections.abc
import dataclasses
import random
import statistics
import time

from berylhollow import events
from berylhollow.gateway import _routing
from berylhollow import loader
from berylhollow.loader import _plan
from berylhollow import messages
from test.hosted import crowd
from test import platform_builders as builders

ROUNDS = 7
DECISIONS = 2000
SLOTS = 6
WAITING = 12
"""Adapters that requests wait for at one endpoint, in a crowd."""

AT_MS = 1000


@dataclasses.dataclass(frozen=True)
class Size:
    """How many endpoints a gateway knows, and how many adapters there are."""

    name: str
    endpoints: int
    adapters: int


SIZES = (
    Size('a base deployment', 5, 3000),
    Size('a grown deployment', 27, 10_000),
    Size('the size to design for', 10_000, 15_000),
)


def main() -> int:
    argparse.ArgumentParser(prog='python -m tools.policy_cost').parse_args()
    for size in SIZES:
        chosen_us = cost_us(choice_of_endpoint(size))
        print(
            f'{size.name}: {size.endpoints} endpoints, {size.adapters} '
            f'adapters: {chosen_us:.1f} us a choice of an endpoint'
        )
    print(
        f'one endpoint with {SLOTS} slots, {WAITING} adapters waited for: '
        f'{cost_us(choice_of_order()):.1f} us a choice of an order'
    )
    return 0


def cost_us(decide: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of one decision."""
    rounds = []
    for _ in range(ROUNDS):
        before = time.process_time()
        for _ in range(DECISIONS):
            decide()
        rounds.append((time.process_time() - before) / DECISIONS)
    return statistics.median(rounds) * 1_000_000


def choice_of_endpoint(size: Size) -> collections.abc.Callable[[], object]:
    """Return what decides for one request after the other."""
    chance = random.Random(1)
    world = crowd.Crowd(crowd.Load(endpoints=size.endpoints, gateways=1))
    state = world.gateways['g0']
    for name, endpoint in state.endpoints.items():
        held = [_adapter(chance, size) for _ in range(SLOTS)]
        report = _report(name, held)
        state.placement.replace(name, endpoint.report, report)
        endpoint.report = report
    requests = [
        crowd.waiting_request(
            f'r{number}', _adapter(chance, size).adapter, chance.random()
        )
        for number in range(500)
    ]
    return lambda: _routing.choose_endpoint(
        state, chance.choice(requests), AT_MS
    )


def choice_of_order() -> collections.abc.Callable[[], object]:
    """Return what plans the next order of a crowded endpoint."""
    options = loader.Options(instance='side', service=builders.MODEL_SERVICE)
    state = loader.State(options)
    names = [builders.adapter_name(f'a{n}') for n in range(SLOTS + WAITING)]
    adapters = [messages.AdapterVersion(name, '1') for name in names]
    entries = [
        messages.AdapterDemand(adapter, int(n >= SLOTS), int(n < SLOTS), 0.5)
        for n, adapter in enumerate(adapters)
    ]
    demands = messages.AdapterDemands(
        'i-1', options.service, SLOTS, (builders.MODEL,), tuple(entries)
    )
    for gateway in ('g0', 'g1', 'g2', 'g3'):
        loader.reduce(state, events.MessageReceived(0, gateway, demands))
    held = tuple(adapters[:SLOTS])
    loader.reduce(
        state,
        events.AdaptersReported(
            0, 1, 0, (builders.MODEL,), False, held, (), 0, SLOTS
        ),
    )
    return lambda: _plan.next_step(state, AT_MS)


def _adapter(chance: random.Random, size: Size) -> messages.AdapterVersion:
    number = min(size.adapters, int(chance.paretovariate(0.2)))
    name = builders.adapter_name(f'a{number}')
    return messages.AdapterVersion(name, '1')


def _report(name: str, held: list[messages.AdapterVersion]) -> messages.Report:
    slots = tuple(
        messages.SlotReport(number, adapter, True, 0)
        for number, adapter in enumerate(held)
    )
    return messages.Report(
        instance=name,
        service=builders.MODEL_SERVICE,
        failure_domain='',
        epoch=name,
        ready=True,
        leaving=False,
        slots=slots,
        wanted=(),
        running=4,
        queued=0,
        capacity=64,
        revision=0,
        evictable=True,
    )


if __name__ == '__main__':
    raise SystemExit(main())
