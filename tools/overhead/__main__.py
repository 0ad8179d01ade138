"""Measure what our two hops add: ``python -m tools.overhead``.

Callers in this process, an engine, and between them a gateway and a
sidecar, or two bare hops of aiohttp. All streams are the same; rounds of
each alternate, and the median of the rounds is taken.
"""

import asyncio
import json
import pathlib
import statistics
import tempfile
import time

from berylhollow.util import loop
from tools.overhead import callers
from tools.overhead import chains

FIGURES = pathlib.Path('docs/capacity/overhead.json')
ROUNDS = 3
PROMPT_BYTES = 2000
STREAMS = 200
TOKENS = 200
PACE_MS = 32
REQUEST_CALLERS = 32
REQUESTS = 100
SINGLE_REQUESTS = 400
STALLED = 1000
STALLED_TOKENS = 4000
STALL_S = 10.0
LEAST_TOKENS = 0.8
LEAST_REQUESTS = 0.5
MOST_LATENCY = 2.0


def percentile(values: list[float], share: float) -> float:
    """Return the value that ``share`` of all are not above."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


async def measured(folder: str, pace_ms: float, measure) -> dict:
    """Start the chains, answer a call on each, measure, and stop them."""
    started = chains.Chains(folder, pace_ms)
    try:
        found = await started.start()
        once = callers.post(1, PROMPT_BYTES)
        for chain in found:
            await chains.ready(
                chain, lambda one: callers.call(one.port, 1, once, 1)
            )
        return await measure(found)
    finally:
        started.stop()


async def tokens(found: list[chains.Chain]) -> dict:
    """Streams in step: tokens a CPU second, and the gaps between reads."""
    request = callers.post(TOKENS, PROMPT_BYTES)
    rounds = {chain.name: [] for chain in found}
    hops = {hop.name: [] for hop in found[-1].hops}
    gaps = {chain.name: [] for chain in found}
    for _ in range(ROUNDS):
        for chain in found:
            before = [hop.processor_s() for hop in chain.hops]
            times, _ = await callers.call(chain.port, STREAMS, request, 1)
            by_hop = [
                hop.processor_s() - was
                for hop, was in zip(chain.hops, before, strict=True)
            ]
            spent = sum(by_hop)
            if chain.name == 'ours':
                for hop, part in zip(chain.hops, by_hop, strict=True):
                    hops[hop.name].append(STREAMS * TOKENS / part)
            gaps[chain.name] += times.gaps
            if chain.hops:
                rounds[chain.name].append(STREAMS * TOKENS / spent)
    return {
        'tokens_per_cpu_s': _medians(rounds),
        'tokens_per_cpu_s_by_hop': _medians(hops),
        'gap_ms_p50': {n: percentile(g, 0.5) for n, g in gaps.items()},
        'gap_ms_p95': {n: percentile(g, 0.95) for n, g in gaps.items()},
    }


async def requests(found: list[chains.Chain]) -> dict:
    """Short answers: requests a CPU second, and the latency of one."""
    request = callers.post(1, PROMPT_BYTES)
    rounds = {chain.name: [] for chain in found}
    alone = {chain.name: [] for chain in found}
    for _ in range(ROUNDS):
        for chain in found:
            before = chain.processor_s()
            await callers.call(chain.port, REQUEST_CALLERS, request, REQUESTS)
            spent = chain.processor_s() - before
            if chain.hops:
                count = REQUEST_CALLERS * REQUESTS
                rounds[chain.name].append(count / spent)
            times, _ = await callers.call(
                chain.port, 1, request, SINGLE_REQUESTS
            )
            alone[chain.name] += times.whole
    return {
        'requests_per_cpu_s': _medians(rounds),
        'latency_ms_p50': {n: percentile(t, 0.5) for n, t in alone.items()},
        'latency_ms_p99': {n: percentile(t, 0.99) for n, t in alone.items()},
    }


async def stalls(found: list[chains.Chain]) -> dict:
    """Readers that stall: how much memory the hops hold for them."""
    ours = found[-1]
    request = callers.post(STALLED_TOKENS, PROMPT_BYTES)
    before = [hop.resident_kib() for hop in ours.hops]
    _, opened = await callers.call(ours.port, STALLED, request, 1, True)
    await asyncio.sleep(STALL_S)
    after = [hop.resident_kib('VmHWM') for hop in ours.hops]
    for transport in opened:
        transport.abort()
    return {
        'stalled_streams': STALLED,
        'gateway_kib': {'before': before[0], 'most': after[0]},
        'sidecar_kib': {'before': before[1], 'most': after[1]},
    }


def _medians(rounds: dict[str, list[float]]) -> dict[str, float]:
    return {
        name: statistics.median(values)
        for name, values in rounds.items()
        if values
    }


async def run(folder: str) -> dict:
    found = {}
    for pace_ms, measure in ((PACE_MS, tokens), (0, requests), (1, stalls)):
        found |= await measured(folder, pace_ms, measure)
        print(f'{measure.__name__}: measured', flush=True)
    return found


def result(found: dict) -> str:
    """Return the line that says how the targets are met."""
    per_token = found['tokens_per_cpu_s']
    per_request = found['requests_per_cpu_s']
    token_share = per_token['ours'] / per_token['bare']
    request_share = per_request['ours'] / per_request['bare']
    median = found['latency_ms_p50']
    added = median['ours'] - median['direct']
    bare = median['bare'] - median['direct']
    tail = found['latency_ms_p99']
    met = (
        token_share >= LEAST_TOKENS,
        request_share >= LEAST_REQUESTS,
        added <= MOST_LATENCY * bare,
    )
    return (
        f'overhead: {sum(met)} of {len(met)} targets met: tokens per CPU '
        f'second {token_share:.2f} of bare (at least {LEAST_TOKENS}), '
        f'requests {request_share:.2f} (at least {LEAST_REQUESTS}), added '
        f'median latency {added:.2f} ms against {bare:.2f} ms bare, '
        f'{added / bare:.2f} times (at most {MOST_LATENCY:g}); p99 '
        f'{tail["ours"] - tail["direct"]:.2f} against '
        f'{tail["bare"] - tail["direct"]:.2f} ms'
    )


def main() -> None:
    began = time.monotonic()
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=loop.new_event_loop) as runner,
    ):
        found = runner.run(run(folder))
    FIGURES.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(found, indent=1, sort_keys=True)
    FIGURES.write_text(text + '\n', encoding='utf-8')
    print(text)
    print(f'measured in {time.monotonic() - began:.0f} s')
    print(result(found))


if __name__ == '__main__':
    main()
