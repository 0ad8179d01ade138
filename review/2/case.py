"""Streams that clients take up again beside two software versions."""

import asyncio
import pathlib
import random
import socket
import struct
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

EVENTS = 40
EVENT_S = 0.05
STREAMS = 100
RESET_AFTER_S = 1.2
RESET_SHARE = 0.7
TIME_LIMIT_MS = 15000
ALLOWED_MIXED = 2


CHANNELS = {}
"""The channel to the runner of each request, by the request's id."""


def reset_channels(test, clients):
    """Reset a share of the first gateway's channels to runners."""
    at_gateway = [client for client in clients if client.number % 2 == 0]
    count = round(RESET_SHARE * len(at_gateway))
    for client in random.Random(7).sample(at_gateway, count):
        writer = CHANNELS.get(client.first_id)
        if writer is None or client.is_complete:
            continue
        test.record.add(f'the channel of {client.first_id} is reset')
        opened = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


def event(number, runner):
    data = f'id: {number}\ndata: {runner.software} {runner.name} tok\n\n'
    return data.encode()


async def stream(runner, writer, method, target, headers, body):
    """Run a stream, from the event after Last-Event-Id on."""
    CHANNELS[headers['request-id']] = writer
    writer.write(
        harness.head(
            '200 OK',
            {
                **runner.seal(headers),
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
            },
        )
    )
    begun = int(headers.get('last-event-id', 0))
    for number in range(begun + 1, EVENTS + 1):
        data = event(number, runner)
        writer.write(b'%x\r\n%b\r\n' % (len(data), data))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b'0\r\n\r\n')


class Client:
    """One stream of a client, over its two tries."""

    def __init__(self, test, number):
        self.test = test
        self.number = number
        self.received = []
        self.first_id = None
        self.is_complete = False
        self.tries = 0

    async def run(self, gateways):
        for attempt in range(2):
            request_id = f'{self.number:08x}{attempt:08x}'
            gateway = gateways[(self.number + attempt) % len(gateways)]
            try:
                status = await self.attempt(gateway, request_id)
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                status = type(error).__name__
            self.test.record.add(
                f'client {self.number} try {request_id} at {gateway.node}: '
                f'{status}, events so far {len(self.received)}, '
                f'complete {self.is_complete}'
            )
            if self.is_complete:
                return

    async def attempt(self, gateway, request_id):
        headers = {
            'Request-Id': request_id,
            'Model': harness.MODEL,
            'Token-Count': '800,80',
            'Prompt-Prefix': f'5c1e07a2:700,{self.number:08x}:100',
            'Deadline-Ms': TIME_LIMIT_MS,
        }
        if self.received:
            headers['Last-Event-Id'] = self.received[-1][0]
            headers['Resumes'] = self.first_id
        reader, writer = await asyncio.open_connection(
            *self.test.front(gateway)
        )
        try:
            writer.write(
                harness.request_bytes('POST', '/pufi791/2f', headers, b'{}')
            )
            line, answered = await harness.read_head(reader)
            if ' 200' not in line:
                await harness.read_body(reader, answered)
                return line
            await self.read_events(reader, request_id)
            self.is_complete = self.received[-1][0] == EVENTS
            return line
        finally:
            writer.transport.abort()

    async def read_events(self, reader, request_id):
        pending = b''
        while part := await harness.read_chunk(reader):
            pending += part
            while b'\n\n' in pending:
                text, _, pending = pending.partition(b'\n\n')
                self.add(text.decode(), request_id)

    def add(self, text, request_id):
        lines = text.split('\n')
        number = int(lines[0].removeprefix('id: '))
        software = lines[1].split()[1]
        runner = lines[1].split()[2]
        if self.first_id is None:
            self.first_id = request_id
        self.received.append((number, software, runner))

    @property
    def versions(self):
        return sorted({software for _, software, _ in self.received})


async def case(test, trouble):
    for number in range(6):
        await test.add_runner(
            f'i-{number}',
            10 + number,
            harness.MODEL_SERVICE,
            software='v1' if number < 3 else 'v2',
            work=stream,
        )
    table = harness.config(
        7,
        [
            harness.route(
                'r-stream',
                '/pufi791/',
                harness.MODEL_SERVICE,
                'stream',
                MaxAttempts=2,
                StickySessions=True,
                Resumable=True,
                GapTargetMs=400,
            )
        ],
    )
    await test.store.put('keyed.op', 'config', table)
    for runner in test.runners:
        test.add_sidecar(runner)
    gateways = [test.add_gateway(number) for number in range(2)]
    await test.wait_until_ready()
    await asyncio.sleep(4)

    clients = [Client(test, number) for number in range(STREAMS)]
    running = []
    for client in clients:
        running.append(asyncio.create_task(client.run(gateways)))
        await asyncio.sleep(0.005)
    if trouble:
        await asyncio.sleep(RESET_AFTER_S - STREAMS * 0.005)
        reset_channels(test, clients)
    await asyncio.gather(*running)
    test.check_alive()

    mixed = [client for client in clients if len(client.versions) > 1]
    for client in mixed:
        changes = [
            f'event {later[0]} by {later[1]} {later[2]}'
            for earlier, later in zip(client.received, client.received[1:])
            if earlier[1] != later[1]
        ]
        first = client.received[0]
        test.record.add(
            f'client {client.number}: event 1 by {first[1]} {first[2]}, '
            f'then {", ".join(changes)}'
        )
    complete = sum(client.is_complete for client in clients)
    test.record.add(
        f'{STREAMS} streams, {complete} complete, '
        f'{len(mixed)} with events of two software versions '
        f'({ALLOWED_MIXED} are allowed)'
    )
    if complete < STREAMS // 2:
        raise harness.NotRunnable('most streams were not served')
    return len(mixed) > ALLOWED_MIXED


if __name__ == '__main__':
    sys.exit(harness.play(FOLDER, case))
