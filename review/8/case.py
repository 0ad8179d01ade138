"""Broken streams can't be taken up again while some answers are lost.

Two software versions serve side by side. For four seconds the runners of one
of them lose the rest of two answers in five: they reset the channel and go on
serving. Runners close idle channels after a second, as their answers state.
Clients take their streams up again at once, and all but a few are refused,
though three runners of their version serve and new streams begin there.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

VERSIONS = ('1', '1', '1', '2', '2')
LOSSY = 3
"""Runners that lose answers: 0.6 of the five, all of version 1."""

LOST_SHARE = 0.4
LOST_S = 4.0
IDLE_S = 1
EVENTS = 15
EVENT_S = 0.1
CLIENTS = 60
DEADLINE_MS = 15000
LEAST = 12
"""Streams that must be taken up again for the rule to judge."""


class Streamer(rig.Runner):
    """Streams events, and closes a channel that rests for a second."""

    loses = False

    async def _channel(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                try:
                    async with asyncio.timeout(IDLE_S):
                        request = await rig.read_head(reader)
                except TimeoutError:
                    return
                if request is None:
                    return
                if not await self.serve(request, reader, writer):
                    return
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def seal(self, number):
        return [*super().seal(number), ('Keep-Alive', f'timeout={IDLE_S}')]

    async def stream(self, request, reader, writer):
        number = await self.accept(request, reader, writer)
        if number is None:
            return True
        last = int(request.field('Last-Event-Id') or 0)
        lost_at = None
        if self.loses and self.chance.random() < LOST_SHARE:
            lost_at = self.chance.randint(min(last + 2, EVENTS), EVENTS)
        fields = [
            *self.seal(number),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        writer.write(rig.head(200, fields))
        for event in range(last + 1, EVENTS + 1):
            if event == lost_at:
                self.record.note(f'{self.name} loses the rest of {number}')
                rig.reset(writer)
                return False
            text = f'id: {event}\ndata: {self.name} {self.software}\n\n'
            data = text.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Account:
    """What the clients saw; a stream is taken up again once at most."""

    def __init__(self):
        self.begun = self.asked = 0
        self.resumed = self.went_on = 0
        self.mixed = 0


async def ask(deployment, gateway, number, fields):
    channel = await rig.Channel(gateway.ip, deployment.front).open()
    await channel.send(
        rig.request_bytes(
            'POST', '/t/x', number, fields, number.encode(), DEADLINE_MS
        )
    )
    answer = await channel.answer()
    channel.close()
    events = []
    for text in answer.body.decode().split('\n\n')[:-1]:
        lines = text.split('\n')
        events.append((lines[0].removeprefix('id: '), lines[1].split()[-1]))
    end = 'whole' if answer.is_whole else 'broken off'
    deployment.record.note(
        f'{number} at {gateway.name}: {answer.status} {end}, '
        f'{len(events)} events'
    )
    return answer, events


async def client(deployment, gateways, name, account, chance, until):
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        number += 1
        first = f'{name}-{number}'
        at, other = chance.sample(gateways, 2)
        answer, events = await ask(deployment, at, first, [])
        account.asked += 1
        account.begun += bool(events)
        if events and not answer.is_whole:
            account.resumed += 1
            fields = [('Last-Event-Id', events[-1][0]), ('Resumes', first)]
            _, more = await ask(deployment, other, f'{first}-again', fields)
            account.went_on += bool(more)
            account.mixed += len({x for _, x in events + more}) > 1
        await asyncio.sleep(chance.random() / 2)


async def play(deployment):
    chance = random.Random(7)
    store = deployment.store
    await store.start()
    streamers = []
    for number, software in enumerate(VERSIONS):
        host = f'{deployment.network}.1.{number + 1}'
        runner = Streamer(
            store, deployment.record, f'i-{number}', 'talk', host, slots=64
        )
        runner.answer = runner.stream
        runner.software = software
        runner.chance = chance
        deployment.runners.append(runner)
        streamers.append(runner)
        await runner.start()
    engine = {
        'Slots': 64,
        'AdapterSlots': 6,
        'WeightsMb': 44000,
        'Models': [
            {'Name': 'm0', 'WeightsMb': 42700, 'Adapters': 9, 'AdapterMb': 66}
        ],
    }
    sidecars = []
    for number in range(2):
        runner = deployment.runner(f'j-{number}', 'model', models='m0')
        await runner.start()
        sidecars.append(deployment.sidecar(runner))
    await deployment.configure(
        [
            rig.route(
                '/t/', 'stream', 'talk', DEADLINE_MS, 2,
                Resumable=True, GapTargetMs=400,
            ),
            rig.route('/m/', 'stream', 'model', DEADLINE_MS),
        ],
        [
            {'Name': 'talk', 'HealthPath': '/healthz', 'MaxConns': 360},
            {
                'Name': 'model', 'HealthPath': '/healthz', 'MaxConns': 360,
                'Engine': engine,
            },
        ],
    )
    for sidecar in sidecars:
        await sidecar.start()
    gateways = [deployment.gateway(1), deployment.gateway(2)]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await deployment.until_ready(gateway)
        await deployment.until_serving(gateway, '/t/x', method='POST')
    await asyncio.sleep(4)
    account = Account()
    until = asyncio.get_running_loop().time() + LOST_S + 6
    clients = [
        asyncio.create_task(
            client(deployment, gateways, f'c{k}', account, chance, until)
        )
        for k in range(CLIENTS)
    ]
    await asyncio.sleep(2)
    if rig.TROUBLE:
        deployment.record.note(f'{LOSSY} runners begin to lose answers')
        for runner in streamers[:LOSSY]:
            runner.loses = True
        await asyncio.sleep(LOST_S)
        for runner in streamers[:LOSSY]:
            runner.loses = False
        deployment.record.note('no more answers are lost')
    await asyncio.gather(*clients)
    begin = account.begun / max(1, account.asked)
    go_on = account.went_on / max(1, account.resumed)
    text = (
        f'{account.resumed} streams taken up again, {account.went_on} went '
        f'on ({go_on:.2f}); {account.begun} of {account.asked} new streams '
        f'began ({begin:.2f}); {account.mixed} mixed'
    )
    deployment.record.note(text)
    print(text)
    if rig.TROUBLE and account.resumed < LEAST:
        raise rig.CannotRun('too few streams were broken')
    is_broken = account.resumed >= LEAST and go_on < begin / 2
    return 1 if is_broken else 0


if __name__ == '__main__':
    rig.main(FOLDER, play)
