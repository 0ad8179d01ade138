"""Measure what a token costs a sidecar: ``python -m tools.bench_sidecar``.

A plain endpoint answers every request with a stream that grows by one event
a step, as an engine's batch does; a sidecar of its own process relays it to
a gateway's link here, which acknowledges what it gets. The result is tokens
for each second of the sidecar's processor time, and its resident memory.
"""

import argparse
import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from berylhollow import link as links
from berylhollow import messages
from berylhollow import stream
from berylhollow.util import loop

KEY = 'the key that all instances share'
SERVICE = 'bench'
NOWHERE = 'http://127.0.0.1:9'
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
EVENT = (
    b'data: {"id":"cmpl-0123456789abcdef","object":"text_completion",'
    b'"created":1700000000,"model":"adapter-1234@7","choices":[{"index":0,'
    b'"text":"%b","logprobs":null,"finish_reason":null}]}\n\n'
)
BACKLOG_BYTES = 64 * 1024
LAST_CHUNK = b'0\r\n\r\n'


class Endpoint:
    """Streams ``tokens`` events on each connection, one a step."""

    def __init__(self, tokens: int, step_ms: float, event: bytes):
        self.tokens = tokens
        self.chunk = b'%x\r\n%b\r\n' % (len(event), event)
        self.step_s = step_ms / 1000
        self.left: dict[asyncio.StreamWriter, int] = {}

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            writer.close()
            return
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.split(b':')[1]))
        writer.write(HEAD)
        self.left[writer] = self.tokens

    async def step(self):
        while True:
            await asyncio.sleep(self.step_s)
            for writer in list(self.left):
                if writer.transport.get_write_buffer_size() > BACKLOG_BYTES:
                    continue
                self.left[writer] -= 1
                writer.write(self.chunk)
                if not self.left[writer]:
                    writer.write(LAST_CHUNK)
                    del self.left[writer]


class Gateway:
    """Offers requests and acknowledges what comes back."""

    def __init__(self, stalls: bool):
        self.stalls = stalls
        self.receivers: dict[str, stream.StreamReceiver] = {}
        self.bytes = 0
        self.ended = 0
        self.failed = 0
        self.ready = asyncio.Event()

    def link_up(self, link):
        self.link = link

    def link_down(self, link, reason):
        print(f'link down: {reason.name}', file=sys.stderr)

    def message(self, link, message):
        if isinstance(message, messages.Report) and message.ready:
            self.ready.set()
        elif isinstance(message, messages.Failed):
            self.failed += 1
        elif isinstance(message, (messages.Data, messages.End)):
            self._frame(link, message)

    def _frame(self, link, frame):
        receiver = self.receivers[frame.attempt_id]
        payload = receiver.accept(frame)
        if payload is not None:
            self.bytes += len(payload)
            if not self.stalls:
                receiver.mark_consumed()
        self.ended += receiver.complete
        acknowledge = receiver.due_acknowledgement()
        if acknowledge is not None:
            link.send(acknowledge)

    def offer(self, number):
        attempt_id = f'request-{number:08}.1'
        self.receivers[attempt_id] = stream.StreamReceiver(attempt_id)
        self.link.send(
            messages.Offer(
                attempt_id=attempt_id,
                request_id=f'request-{number:08}',
                caller='bench',
                service=SERVICE,
                adapter=None,
                idempotent=True,
                priority=0,
                remaining_ms=3_600_000,
                fingerprint=str(number),
                method='POST',
                path='/v1/completions',
                headers=(),
                body=b'{}',
            )
        )


def start_sidecar(endpoint_port, streams, folder):
    values = {
        'instance': 'bench',
        'failure_domain': 'bench',
        'link_key': KEY,
        'platform': {'url': NOWHERE},
        'service': SERVICE,
        'endpoint': {
            'url': f'http://127.0.0.1:{endpoint_port}',
            'kind': 'plain',
            'concurrency': streams,
        },
        'queue_limit': streams,
        'listen': {'port': 0},
        'status': {'port': 0},
    }
    path = pathlib.Path(folder, 'settings.json')
    path.write_text(json.dumps(values), encoding='utf-8')
    command = (sys.executable, '-m', 'berylhollow', 'sidecar')
    return subprocess.Popen(
        [*command, '--settings', str(path)], stderr=subprocess.PIPE, text=True
    )


def read_port(process):
    lines = (json.loads(line) for line in process.stderr)
    return next(x['port'] for x in lines if x['message'] == 'listening')


def cpu_s(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def resident_kib(pid, name='VmRSS'):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith(name):
            return int(line.split()[1])
    return 0


async def drain_stderr(process):
    """Keep the sidecar's log from filling its pipe."""
    await asyncio.to_thread(process.stderr.read)


async def run(arguments):
    event = EVENT % (b'x' * arguments.text_bytes)
    endpoint = Endpoint(arguments.tokens, arguments.step_ms, event)
    server = await asyncio.start_server(
        endpoint.serve, '127.0.0.1', 0, backlog=4096
    )
    stepping = asyncio.create_task(endpoint.step())
    port = server.sockets[0].getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        process = start_sidecar(port, arguments.streams, folder)
        try:
            await measure(arguments, process, len(event))
        finally:
            process.kill()
            process.wait()
            stepping.cancel()


async def measure(arguments, process, event_bytes):
    port = read_port(process)
    draining = asyncio.create_task(drain_stderr(process))
    gateway = Gateway(arguments.stall)
    identity = links.Identity('g1', 'gateway', 'i1')
    links.LinkClient(
        '127.0.0.1', port, KEY.encode(), identity, gateway
    ).start()
    await gateway.ready.wait()
    idle_kib = resident_kib(process.pid)
    began_cpu = cpu_s(process.pid)
    began = time.monotonic()
    for number in range(arguments.streams):
        gateway.offer(number)
    limit = began + arguments.seconds
    while gateway.ended + gateway.failed < arguments.streams:
        await asyncio.sleep(0.05)
        if time.monotonic() > limit:
            break
    spent = cpu_s(process.pid) - began_cpu
    took = time.monotonic() - began
    tokens = gateway.bytes // event_bytes
    print(
        f'{arguments.streams} streams, {gateway.ended} whole, '
        f'{gateway.failed} failed, {tokens} tokens in {took:.1f} s, '
        f'{spent:.2f} CPU s: {tokens / max(spent, 0.01):.0f} tokens/CPU s; '
        f'resident {idle_kib} KiB idle, {resident_kib(process.pid)} KiB '
        f'at the end, {resident_kib(process.pid, "VmHWM")} KiB at most'
    )
    draining.cancel()


def main():
    parser = argparse.ArgumentParser(prog='python -m tools.bench_sidecar')
    parser.add_argument('--streams', type=int, default=200)
    parser.add_argument('--tokens', type=int, default=200)
    parser.add_argument('--step-ms', type=float, default=32)
    parser.add_argument('--text-bytes', type=int, default=6)
    parser.add_argument('--seconds', type=float, default=120)
    parser.add_argument(
        '--stall', action='store_true', help='never acknowledge anything'
    )
    with asyncio.Runner(loop_factory=loop.new_event_loop) as runner:
        runner.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
