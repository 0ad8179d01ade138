"""Measure what a request and a token cost a gateway in processor time.

Three processes: this one plays the callers, a child the sidecar, another one
is the gateway with its real reducer. Each caller has a connection of its own
and sends ``--requests`` one after another; the answer to each is a stream of
``--tokens`` events of ``--size`` bytes, all streams in step ``--pace`` ms
apart as an engine's batch gives them. Printed is the processor time of the
gateway alone, from the first request to the last byte.

    python -m tools.bench_gateway --callers 200 --tokens 200
    python -m tools.bench_gateway --callers 32 --requests 500 --tokens 1 \
        --pace 0
"""

import argparse
import asyncio
import cProfile
import json
import os
import pathlib
import signal
import subprocess
import sys

os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402

from berylhollow import configuration  # noqa: E402
from berylhollow import events  # noqa: E402
from berylhollow import gateway  # noqa: E402
from berylhollow.gateway import _shell  # noqa: E402
from berylhollow import link as links  # noqa: E402
from berylhollow import logs  # noqa: E402
from berylhollow import manifest  # noqa: E402
from berylhollow import messages  # noqa: E402
from berylhollow import metrics  # noqa: E402
from berylhollow.replay import _deployment  # noqa: E402
from berylhollow import settings  # noqa: E402
from berylhollow import stream  # noqa: E402

HOST = '127.0.0.1'
KEY = 'the key of a measurement'
SERVICE = 'models'
ADAPTER = messages.AdapterVersion('a1', '1')
LIMIT_BYTES = 256 * 1024
LAST_CHUNK = b'0\r\n\r\n'
SSE = (messages.Header('Content-Type', 'text/event-stream'),)
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class Sidecar:
    """Answers each offer with a stream, all streams in step."""

    def __init__(self, arguments):
        self.arguments = arguments
        self.token = b'data: '.ljust(arguments.size - 2, b'x') + b'\n\n'
        self.senders = {}
        identity = links.Identity('e1', 'endpoint', 'a')
        self.server = links.LinkServer(HOST, 0, KEY.encode(), identity, self)

    def link_up(self, link):
        self.link = link

    def link_down(self, link, reason):
        pass

    def message(self, link, message):
        if isinstance(message, messages.Offer):
            attempt_id = message.attempt_id
            link.send(messages.Started(attempt_id, 200, SSE, ADAPTER))
            sender = stream.StreamSender(attempt_id, LIMIT_BYTES)
            self.senders[attempt_id] = sender
            if not self.arguments.pace:
                for _ in range(self.arguments.tokens):
                    link.send(sender.push(self.token))
                self.finish(sender)
        elif isinstance(message, messages.Acknowledge):
            sender = self.senders.get(message.attempt_id)
            if sender is not None:
                sender.acknowledge(message.next_sequence)

    def finish(self, sender):
        self.link.send(sender.finish())
        del self.senders[sender.attempt_id]

    async def produce(self):
        """Push one token of every stream a step, as an engine does."""
        while True:
            await asyncio.sleep(self.arguments.pace / 1000)
            for sender in tuple(self.senders.values()):
                self.link.send(sender.push(self.token))
                if sender.next_sequence == self.arguments.tokens:
                    self.finish(sender)


async def serve_sidecar(arguments):
    sidecar = Sidecar(arguments)
    await sidecar.server.start()
    print(sidecar.server.port, flush=True)
    if arguments.pace:
        await sidecar.produce()
    await asyncio.Event().wait()


async def serve_gateway(arguments):
    declared = manifest.Manifest(
        services=(manifest.Service(SERVICE, base_model='base'),),
        adapters=(
            manifest.Adapter(
                ADAPTER.adapter,
                SERVICE,
                versions=(manifest.Version(ADAPTER.version),),
            ),
        ),
    )
    follower = _deployment.FixedFollower(
        configuration.from_manifest(declared, revision=1)
    )
    options = gateway.Options(
        instance='g1',
        caller_in_flight=100_000,
        caller_rate_per_s=1e9,
        caller_burst=1e9,
        adapter_in_flight=100_000,
    )
    meters = metrics.Meters('gateway', 'g1', 'local')
    devnull = pathlib.Path(os.devnull).open('w')  # noqa: SIM115
    logs.configure('info', 'gateway', 'g1', devnull)
    shell = _shell.Shell(
        make_settings(),
        gateway.reduce,
        gateway.State(options, follower),
        meters.add,
        meters.render,
    )
    await shell.start()
    shell.feed(events.InstancesListed(0, (endpoint(arguments.port),)))
    while not shell.links.open_links:
        await asyncio.sleep(0.01)
    print(shell.front_end.port, flush=True)
    await until_terminated()


async def until_terminated():
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    await terminated.wait()


def endpoint(port):
    return events.Instance(
        instance='e1',
        role=events.Role.ENDPOINT,
        service=SERVICE,
        failure_domain='local',
        region='local',
        address=f'{HOST}:{port}',
        leaving=False,
    )


def make_settings():
    return settings.parse(
        {
            'instance': 'g1',
            'failure_domain': 'local',
            'link_key': KEY,
            'platform': {'url': f'http://{HOST}:9'},
            'listen': {'port': 0},
            'peers': {'port': 0},
        },
        settings.Role.GATEWAY,
    )


class Caller(asyncio.Protocol):
    """Send requests one after another and count what comes back."""

    def __init__(self, arguments, done):
        body = json.dumps(
            {
                'model': str(ADAPTER),
                'stream': True,
                'max_tokens': arguments.tokens,
                'messages': [
                    {'role': 'user', 'content': 'x' * arguments.prompt}
                ],
            }
        )
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: gateway\r\n'
            'Content-Type: application/json\r\nX-Caller: firm-1\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.request = (head + body).encode()
        self.left = arguments.requests
        self.done = done
        self.received = 0
        self.reads = 0
        self.tail = b''

    def connection_made(self, transport):
        self.transport = transport
        transport.write(self.request)

    def data_received(self, data):
        self.received += len(data)
        self.reads += 1
        self.tail = (self.tail + data)[-len(LAST_CHUNK) :]
        if self.tail == LAST_CHUNK:
            self.left -= 1
            self.tail = b''
            if self.left:
                self.transport.write(self.request)
            else:
                self.transport.close()

    def connection_lost(self, exc):
        if self.left:
            exc = exc or ConnectionError('cut')
            self.done.set_exception(exc)
        else:
            self.done.set_result(self)


async def call(arguments, port):
    loop = asyncio.get_running_loop()
    ends = []
    for _ in range(arguments.callers):
        done = loop.create_future()
        ends.append(done)
        await loop.create_connection(
            lambda done=done: Caller(arguments, done), HOST, port
        )
    return await asyncio.gather(*ends)


def processor_time(pid):
    """Return the seconds of processor time of a process."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(') ')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0


def start(role, *more):
    command = [
        *(sys.executable, '-m', 'tools.bench_gateway'),
        *sys.argv[1:],
        *('--role', role),
        *more,
    ]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return child, child.stdout.readline().strip()


def measure(arguments):
    sidecar, sidecar_port = start('sidecar')
    served, port = start('gateway', '--port', sidecar_port)
    try:
        before = processor_time(served.pid)
        idle_mb = resident_mb(served.pid)
        callers = uvloop.run(call(arguments, int(port)))
        spent = processor_time(served.pid) - before
        requests = arguments.callers * arguments.requests
        tokens = requests * arguments.tokens
        reads = sum(caller.reads for caller in callers)
        print(
            f'callers {arguments.callers} requests {requests} tokens '
            f'{tokens} pace {arguments.pace} ms: gateway {spent:.2f} CPU s, '
            f'{requests / spent:.0f} requests and {tokens / spent:.0f} '
            f'tokens per CPU second, {tokens / reads:.1f} tokens a read, '
            f'resident {idle_mb:.1f} MB idle, '
            f'{resident_mb(served.pid):.1f} MB after'
        )
    finally:
        for child in (served, sidecar):
            child.terminate()
            child.wait()


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--callers', type=int, default=200)
    parser.add_argument('--requests', type=int, default=1)
    parser.add_argument('--tokens', type=int, default=200)
    parser.add_argument('--size', type=int, default=150, help='bytes')
    parser.add_argument('--prompt', type=int, default=2000, help='bytes')
    parser.add_argument('--pace', type=int, default=32, help='ms')
    parser.add_argument('--port', type=int, help=argparse.SUPPRESS)
    parser.add_argument('--profile', help='file for a profile of the gateway')
    parser.add_argument(
        '--role', choices=('sidecar', 'gateway'), help=argparse.SUPPRESS
    )
    return parser.parse_args()


def run_gateway(arguments):
    if arguments.profile is None:
        uvloop.run(serve_gateway(arguments))
        return
    profile = cProfile.Profile()
    try:
        profile.runcall(uvloop.run, serve_gateway(arguments))
    finally:
        profile.dump_stats(arguments.profile)


def main():
    arguments = parse_arguments()
    if arguments.role == 'sidecar':
        uvloop.run(serve_sidecar(arguments))
    elif arguments.role == 'gateway':
        run_gateway(arguments)
    else:
        measure(arguments)


if __name__ == '__main__':
    main()
