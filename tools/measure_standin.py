"""Measure what the HTTP stand-ins carry, each as a process of its own.

Prints appends a second, streams that an engine keeps at its nominal pace,
and resident memory of each stand-in before any call.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
import time

from berylhollow import endpoint
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow.standin import engine_types

HOST = '127.0.0.1'
PLATFORM_PORT = 18001
ENGINE_PORT = 18200
SERVICE_PORT = 18300
NO_LIMIT_PER_S = 1_000_000
APPENDERS = 32
APPEND_BYTES = 200
TOKEN_MS = 20
TOKENS = 250
STREAM_COUNTS = (8, 64, 128, 256, 512, 1024)
# A stand-in that takes a tenth longer than its settings say is full.
TOLERANCE = 1.1
START_TIMEOUT_S = 20


@dataclasses.dataclass(frozen=True)
class StandIn:
    """A running stand-in."""

    name: str
    url: str
    process: asyncio.subprocess.Process

    def resident_mb(self) -> float:
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(x for x in status.splitlines() if x.startswith('VmRSS'))
        return int(line.split()[1]) / 1024

    def cpu_s(self) -> float:
        fields = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        user, system = fields.rsplit(')', 1)[1].split()[11:13]
        return (int(user) + int(system)) / 100


def common(name: str) -> dict:
    return {
        'instance': name,
        'failure_domain': 'measured',
        'link_key': 'not-a-secret-local-only',
    }


@contextlib.asynccontextmanager
async def running(kind: str, port: int, folder: str, **options):
    """Run a stand-in while inside."""
    path = pathlib.Path(folder, f'{kind}.jsonc')
    settings = {**common(kind), 'listen': {'port': port}, **options}
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'berylhollow',
        'stand-in',
        kind,
        '--settings',
        str(path),
    )
    stand_in = StandIn(kind, f'http://{HOST}:{port}', process)
    try:
        await wait_ready(stand_in)
        yield stand_in
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await process.wait()


async def wait_ready(stand_in: StandIn) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        async with outgoing.open_session() as session:
            while True:
                with contextlib.suppress(outgoing.CallError):
                    await outgoing.call(
                        session, 'GET', f'{stand_in.url}/healthz'
                    )
                    return
                await asyncio.sleep(0.05)


async def measure_appends(stand_in: StandIn, duration_s: float) -> None:
    log = log_service.LogClient(stand_in.url)
    end_s = time.monotonic() + duration_s
    data = bytes(APPEND_BYTES)

    async def append_all() -> int:
        count = 0
        while time.monotonic() < end_s:
            await log.append('measured', data)
            count += 1
        return count

    begin_cpu_s = stand_in.cpu_s()
    counts = await asyncio.gather(*(append_all() for _ in range(APPENDERS)))
    cpu_s = stand_in.cpu_s() - begin_cpu_s
    await log.close()
    print(
        f'appends: {sum(counts) / duration_s:.0f}/s over {duration_s:.0f} s, '
        f'{APPENDERS} at once, {APPEND_BYTES} bytes each, '
        f'stand-in at {cpu_s / duration_s:.0%} of a core'
    )


async def read_stream(client: endpoint.EndpointClient, number: int) -> int:
    body = {
        'model': 'a@1',
        'stream': True,
        'max_tokens': TOKENS,
        'messages': [{'role': 'user', 'content': f'stream {number}'}],
    }
    request = endpoint.EndpointRequest(
        'POST',
        '/v1/chat/completions',
        (messages.Header('X-Request-Id', str(number)),),
        json.dumps(body).encode(),
    )
    answer = await client.open(request)
    return sum([chunk.count(b'data:') async for chunk in answer.chunks()])


async def measure_streams(stand_in: StandIn, count: int) -> bool:
    """Run streams at once; return whether they kept their pace."""
    client = endpoint.EndpointClient(stand_in.url, engine=True)
    begin_cpu_s = stand_in.cpu_s()
    begin_s = time.monotonic()
    events = await asyncio.gather(
        *(read_stream(client, number) for number in range(count))
    )
    took_s = time.monotonic() - begin_s
    cpu_s = stand_in.cpu_s() - begin_cpu_s
    await client.close()
    limits = engine_types.EngineLimits()
    step_ms = TOKEN_MS + limits.request_ms * count + limits.adapter_ms
    nominal_s = TOKENS * step_ms / 1000
    print(
        f'streams: {count} of {TOKENS} tokens in {took_s:.2f} s, nominal '
        f'{nominal_s:.2f} s, {sum(events) / took_s:.0f} events/s, stand-in '
        f'at {cpu_s / took_s:.0%} of a core'
    )
    return took_s <= nominal_s * TOLERANCE


async def load(stand_in: StandIn) -> None:
    client = endpoint.EngineClient(stand_in.url)
    epoch = (await client.status()).epoch
    adapter = messages.AdapterVersion('a', '1')
    await client.load(endpoint.SlotOrder('load', 0, 1, epoch, adapter))
    await client.close()


async def measure(duration_s: float, folder: str) -> None:
    link = {'url': f'http://{HOST}:{PLATFORM_PORT}'}
    log = {'appends_per_s': NO_LIMIT_PER_S}
    engine = {'platform': link, 'token_ms': TOKEN_MS, 'batch_limit': 1024}
    async with contextlib.AsyncExitStack() as stack:
        stand_ins = [
            await stack.enter_async_context(
                running(kind, port, folder, **options)
            )
            for kind, port, options in (
                ('platform', PLATFORM_PORT, {'log': log}),
                ('engine', ENGINE_PORT, engine),
                ('service', SERVICE_PORT, {}),
            )
        ]
        for stand_in in stand_ins:
            print(f'idle: {stand_in.name} {stand_in.resident_mb():.1f} MB')
        await measure_appends(stand_ins[0], duration_s)
        await load(stand_ins[1])
        for count in STREAM_COUNTS:
            if not await measure_streams(stand_ins[1], count):
                break


def main() -> None:
    parser = argparse.ArgumentParser(prog='python -m tools.measure_standin')
    parser.add_argument('--seconds', type=float, default=5.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(arguments.seconds, folder))


if __name__ == '__main__':
    main()
