"""A small deployment for the cases 4 to 8: our programs, with stand-ins.

The gateways and sidecars are the project's own programs, started as separate
processes with the commands of the deploy file. The platform's store, the
runners and the clients are small stand-ins in this process that speak what
PROTOCOL.md says. Everything is on loopback addresses and free ports.
"""

import asyncio
import base64
import copy
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / 'target' / 'deps'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'calls.example'
NODE = '''
Node = "{name}"
Role = "{role}"
MachineClass = "{machine}"
Serves = ["{machine}"]
Ip = "{ip}"
Zone = "z1"
Region = "r1"
PortRange = [{low}, {high}]
Seeds = []
Bootstrap = {bootstrap}
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
app = "{app}"
Service = "{service}"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RetryRatio = 0.2
BudgetWindowS = 10
RetrySlack = 54
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
RequireFencing = false
LeaseMs = 3000
ThawSlackMs = 300
CeilingWindowS = 5
BurstFactor = 1.1
version_ms = 5000
{bounds}
[Platform]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 12
keep_s = 300
'''
HEARTBEAT_S = 1.2
KEYED = {'op': 'keyed.op', 'servers': 'keyed.servers'}


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self.begun = time.monotonic()

    def note(self, text):
        line = f'{time.monotonic() - self.begun:8.3f}  {text}'
        print(line, file=self.file, flush=True)


def free_port(host='127.0.0.1'):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Request:
    """A request as it arrived: its head, and its body once it is read."""

    def __init__(self, line, fields):
        self.line = line
        self.method, self.target, self.version = line.split(' ', 2)
        self.fields = fields
        self.body = b''

    def field(self, name, default=''):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Return the next request's head, None at the end of the channel."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('iso-8859-1').split('\r\n')
    fields = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(':')
            fields.append((key, value.strip()))
    return Request(lines[0], fields)


async def read_body(reader, request):
    if 'chunked' in request.field('Transfer-Encoding').lower():
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        length = int(request.field('Content-Length', '0') or 0)
        body = await reader.readexactly(length)
    request.body = body
    return body


def head(status, fields, reason='X'):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{key}: {value}' for key, value in fields]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def whole(status, fields, body):
    return head(status, [*fields, ('Content-Length', len(body))]) + body


class Server:
    """A stand-in that serves HTTP on one loopback address."""

    def __init__(self, host):
        self.host = host
        self.port = free_port(host)
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self):
        self.server = await asyncio.start_server(
            self._channel, self.host, self.port, limit=2 ** 22
        )

    async def _channel(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
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

    async def serve(self, request, reader, writer):
        """Answer one request; return whether the channel is kept."""
        raise NotImplementedError

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def close(self):
        if self.server is not None:
            self.server.close()
            self.reset_all()


def reset(writer):
    sock = writer.get_extra_info('socket')
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    except (AttributeError, OSError):
        return
    writer.transport.abort()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.first = 0

    @property
    def end(self):
        return self.first + len(self.records)


class Store(Server):
    """The platform's store: logs, and the newest record of each key."""

    def __init__(self, host='127.0.0.1'):
        super().__init__(host)
        self.topics = {}
        self.changed = asyncio.Condition()
        self.is_away = False
        self.era = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, topic, key, value):
        """Write a record of a key, as the operator and the runners do."""
        if self.is_away:
            return
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            kept = self.topic(topic)
            kept.records.append(bytes([len(key)]) + key.encode() + data)
            if data:
                kept.newest[key] = (kept.end - 1, data)
            else:
                kept.newest.pop(key, None)
            self.changed.notify_all()

    def copy(self):
        """Return what the store holds now, for a drill."""
        return copy.deepcopy(self.topics)

    def go_away(self):
        """Answer nothing, and accept no writes of others."""
        self.is_away = True
        self.reset_all()

    async def come_back(self, older):
        """Come back from an older copy; the era rises by one."""
        async with self.changed:
            self.topics = copy.deepcopy(older)
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    async def serve(self, request, reader, writer):
        body = await read_body(reader, request)
        path, _, query = request.target.partition('?')
        given = dict(x.partition('=')[::2] for x in query.split('&') if x)
        if self.is_away:
            reset(writer)
            return False
        era = [('Store-Era', self.era)]
        topic = self.topic(given.get('Topic', ''))
        if path == '/v1/log-newest':
            after = given.get('after', '')
            keys = sorted(k for k in topic.newest if k > after)
            items = [
                {
                    'Key': key,
                    'Value': base64.b64encode(topic.newest[key][1]).decode(),
                    'Offset': topic.newest[key][0],
                }
                for key in keys[:500]
            ]
            value = {
                'items': items,
                'HasMore': len(keys) > 500,
                'End': topic.end,
            }
            answer = json.dumps(value).encode()
            kind = 'application/json'
        elif path == '/v1/log-read':
            since = int(given['From'])
            if not topic.first <= since <= topic.end:
                answer = json.dumps({'First': topic.first}).encode()
                writer.write(whole(410, era, answer))
                await writer.drain()
                return True
            if int(given.get('WaitMs', 0)):
                await self._wait(topic, since, int(given['WaitMs']) / 1000)
            if self.is_away or era[0][1] != self.era:
                reset(writer)
                return False
            answer = struct.pack('>QQ', topic.end, topic.first)
            for record in topic.records[since - topic.first:]:
                answer += struct.pack('>I', len(record)) + record
            kind = 'application/octet-stream'
        elif path == '/v1/log-append':
            offset = topic.end
            topic.records.append(body[4:])
            answer = json.dumps({'Offset': offset, 'End': topic.end}).encode()
            kind = 'application/json'
        else:
            writer.write(whole(404, era, b''))
            await writer.drain()
            return True
        writer.write(whole(200, [*era, ('Content-Type', kind)], answer))
        await writer.drain()
        return True

    async def _wait(self, topic, since, seconds):
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(lambda: topic.end > since)
        except TimeoutError:
            pass


class Runner(Server):
    """A runner of a service; ``answer`` may be replaced by a case."""

    def __init__(self, store, record, name, service, host='127.0.0.1',
                 slots=6, models=None, adapters=6):
        super().__init__(host)
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.state = 'ready'
        self.models = models
        self.adapters = adapters
        self.held = {}
        self.orders = 0
        self.beats = 0
        self.ran = []
        self.got = []
        self.work_s = 0.03
        self.answer = self.plain_answer
        self.beating = None
        self.versions = {}
        self.software = '1'
        self.born = 0

    async def start(self, entry_after_s=0.0):
        """Listen; write the entry after a while, then every HeartbeatMs."""
        await super().start()
        self.born = time.time_ns() // 1_000_000
        self.beats = self.orders = 0
        self.held = {}
        if not entry_after_s:
            await self.write_entry()
            entry_after_s = HEARTBEAT_S
        self.beating = asyncio.create_task(self.beat(entry_after_s))

    async def crash(self):
        """End at once: every channel is reset, and nothing is told."""
        self.beating.cancel()
        self.server.close()
        self.reset_all()
        self.record.note(f'{self.name} crashes')

    async def beat(self, first_after_s):
        await asyncio.sleep(first_after_s)
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self):
        self.beats += 1
        entry = {
            'Service': self.service,
            'Address': self.address,
            'Zone': 'z1',
            'Version': self.software,
            'Slots': self.slots,
            'State': self.state,
            'ColdRemainingMs': 0,
            'Seq': self.beats,
            'born': self.born,
        }
        if self.models:
            entry['Models'] = self.description()
        await self.store.put(KEYED['servers'], self.name, entry)

    def description(self):
        return [
            {
                'Name': self.models,
                'Version': 1,
                'Adapters': [f'{a}@{v}' for a, v in self.held.items()],
            }
        ]

    async def serve(self, request, reader, writer):
        if request.target == '/v1/report' or request.target == '/healthz':
            return await self.report(request, writer)
        if request.target == '/v1/order':
            return await self.order(request, reader, writer)
        return await self.answer(request, reader, writer)

    async def report(self, request, writer):
        status = 200 if self.state == 'ready' else 503
        fields = [('Instance-Id', self.name)]
        if request.field('Expect-Instance', self.name) != self.name:
            writer.write(whole(421, fields, b''))
        elif request.target == '/healthz':
            writer.write(whole(status, fields, b''))
        else:
            value = {
                'Stage': 'both',
                'Models': self.description() if self.models else [],
                'Busy': False,
                'Seq': self.orders,
                'Queued': 0,
                'Active': 0,
                'KvUsed': 0,
                'KvTotal': 90000,
                'Handles': 0,
                'Pending': [],
                'born': self.born,
            }
            writer.write(whole(200, fields, json.dumps(value).encode()))
        await writer.drain()
        return True

    async def order(self, request, reader, writer):
        order = json.loads(await read_body(reader, request))
        self.record.note(f'{self.name} gets order {json.dumps(order)}')
        if request.field('Expect-Instance', self.name) != self.name:
            status = 421
        elif order.get('Precondition', self.orders) != self.orders:
            status = 409
        elif order['Opcode'] == 'load':
            self.orders += 1
            name = order.get('Adapter')
            if name:
                key = f'{self.models}/{name}'
                self.held[name] = self.versions.get(key, 1)
            status = 202
        else:
            self.orders += 1
            self.held.pop(order.get('Adapter'), None)
            status = 200
        writer.write(whole(status, [], b'{}'))
        await writer.drain()
        return True

    async def accept(self, request, reader, writer):
        """Read a request; return it if it is to be run here."""
        await read_body(reader, request)
        number = request.field('Request-Id')
        self.got.append(number)
        if request.field('Expect-Instance', self.name) != self.name:
            fields = [('Request-Id', number), ('Instance-Id', self.name)]
            writer.write(whole(421, fields, b''))
            await writer.drain()
            return None
        model, _, adapter = request.field('Model').partition('/')
        if adapter and adapter not in self.held:
            fields = [('Request-Id', number), ('Not-Executed', '1')]
            writer.write(whole(421, fields, b''))
            await writer.drain()
            return None
        self.ran.append(number)
        self.record.note(f'{self.name} runs {number} {request.line}')
        return number

    def seal(self, number):
        return [
            ('Request-Id', number),
            ('Server-Seal', f'seal-{self.name}-{number}'),
        ]

    def body(self, number):
        return f'answer of {self.name} to {number}'.encode()

    async def plain_answer(self, request, reader, writer):
        number = await self.accept(request, reader, writer)
        if number is None:
            return True
        await asyncio.sleep(self.work_s)
        writer.write(whole(200, self.seal(number), self.body(number)))
        await writer.drain()
        return True

    async def close(self):
        if self.beating is not None:
            self.beating.cancel()
        await super().close()


class Answer:
    def __init__(self, status, fields, body, is_whole, why=''):
        self.status = status
        self.fields = fields
        self.body = body
        self.is_whole = is_whole
        self.why = why

    def field(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None

    def __str__(self):
        end = 'whole' if self.is_whole else f'cut ({self.why})'
        seal = self.field('Server-Seal')
        return f'{self.status} seal={seal} {end} {self.body[:80]!r}'


class Channel:
    """A client's channel; one request at a time."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.port, limit=2 ** 22
        )
        return self

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, method='GET', on_part=None):
        """Read one answer as a sound HTTP client does."""
        try:
            data = await self.reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return Answer(0, [], b'', False, type(error).__name__)
        lines = data.decode('iso-8859-1').split('\r\n')
        status = int(lines[0].split(' ')[1])
        fields = []
        for line in lines[1:]:
            if line:
                key, _, value = line.partition(':')
                fields.append((key, value.strip()))
        answer = Answer(status, fields, b'', False)
        if 100 <= status < 200:
            return await self.answer(method, on_part)
        try:
            if method == 'HEAD' or status in (204, 304):
                pass
            elif 'chunked' in (answer.field('Transfer-Encoding') or ''):
                while True:
                    size = int(await self.reader.readline(), 16)
                    if not size:
                        await self.reader.readline()
                        break
                    part = await self.reader.readexactly(size)
                    answer.body += part
                    if on_part is not None:
                        on_part(part)
                    await self.reader.readexactly(2)
            elif answer.field('Content-Length') is not None:
                length = int(answer.field('Content-Length'))
                answer.body = await self.reader.readexactly(length)
            else:
                answer.body = await self.reader.read()
            answer.is_whole = True
        except asyncio.IncompleteReadError as error:
            answer.body += error.partial
            answer.why = 'end of channel'
        except (ConnectionError, ValueError) as error:
            answer.why = type(error).__name__
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()


def request_bytes(method, path, number, fields=(), body=b'', deadline_ms=5000):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {number}',
        f'Deadline-Ms: {deadline_ms}',
    ]
    lines += [f'{key}: {value}' for key, value in fields]
    if body or method in ('POST', 'PUT'):
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Program:
    """One of our programs in a process of its own."""

    def __init__(self, rig, role, name, ip, **values):
        self.rig, self.role, self.name, self.ip = rig, role, name, ip
        self.values = values
        self.process = None
        self.log = rig.folder / f'{name}.log'

    async def start(self):
        path = self.rig.folder / f'{self.name}.toml'
        path.write_text(
            NODE.format(
                name=self.name,
                role=self.role,
                machine='front' if self.role == 'gateway' else 'side',
                ip=self.ip,
                low=self.rig.low,
                high=self.rig.high,
                front=self.rig.front,
                ready=self.rig.ready,
                bootstrap='true' if self.process is None else 'false',
                **{
                    'app': '',
                    'service': '',
                    'bounds': self.rig.bounds,
                    'store': self.rig.store.address,
                    **self.values,
                },
            )
        )
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment['PYTHONPATH'] = str(DEPS)
        environment['BERYLHOLLOW_NODE_FILE'] = str(path)
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', '-P', '-m', 'berylhollow', self.role,
                '--on-platform',
                cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        self.rig.record.note(f'{self.name} started')

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.rig.record.note(
                f'{self.name} gets {signal.Signals(number).name}'
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def end(self):
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Rig:
    """The store, the programs and the runners of one case."""

    def __init__(self, folder, bounds):
        if not (DEPS / 'berylhollow').is_dir():
            raise CannotRun('target/deps is not built')
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.bounds = bounds
        ports = set()
        while len(ports) < 4:
            ports.add(free_port())
        self.low, self.high = sorted(ports)[0], sorted(ports)[-1]
        self.front, self.ready = sorted(ports)[1:3]
        self.network = f'127.{20 + os.getpid() % 200}'
        self.store = Store(f'{self.network}.0.1')
        self.runners = []
        self.programs = []
        self.version = 0

    def runner(self, name, service, **options):
        host = f'{self.network}.1.{len(self.runners) + 1}'
        runner = Runner(
            self.store, self.record, name, service, host, **options
        )
        self.runners.append(runner)
        return runner

    def gateway(self, number, **values):
        program = Program(
            self, 'gateway', f'gateway-{number}',
            f'{self.network}.2.{number}', **values
        )
        self.programs.append(program)
        return program

    def sidecar(self, runner, **values):
        program = Program(
            self, 'sidecar', f'sidecar-{runner.name}', runner.host,
            app=runner.address, service=runner.service, **values
        )
        self.programs.append(program)
        return program

    async def configure(self, routes, services, **more):
        """Write a config, as the operator does."""
        self.version += 3
        value = {
            'Version': self.version,
            'Routes': routes,
            'Services': services,
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 4194304,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
            **more,
        }
        await self.store.put(KEYED['op'], 'config', value)
        self.record.note(f'config {self.version} is confirmed')

    async def until_serving(self, gateway, path, timeout_s=20, method='GET',
                            fields=()):
        """Wait until a gateway serves a request on a path."""
        until = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < until:
            number += 1
            try:
                channel = await Channel(gateway.ip, self.front).open()
                await channel.send(
                    request_bytes(method, path, f'warm-{gateway.name}-{number}',
                                  fields)
                )
                answer = await asyncio.wait_for(channel.answer(), 6)
                channel.close()
                if answer.status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.2)
        raise CannotRun(f'{gateway.name} does not serve {path}')

    async def until_ready(self, gateway, timeout_s=20):
        """Wait until a gateway says that it is ready."""
        until = time.monotonic() + timeout_s
        while not await self.is_ready(gateway):
            if time.monotonic() > until:
                raise CannotRun(f'{gateway.name} is not ready')
            await asyncio.sleep(0.1)

    async def is_ready(self, gateway):
        try:
            channel = await Channel(gateway.ip, self.ready).open()
            await channel.send(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await asyncio.wait_for(channel.answer(), 1)
            channel.close()
            return answer.status == 200
        except (OSError, TimeoutError):
            return False

    async def close(self):
        for program in self.programs:
            await program.end()
        for server in (*self.runners, self.store):
            await server.close()
        if os.environ.get('KEEP'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, kind, service, timeout_ms=5000, attempts=1, **more):
    return {
        'Name': prefix.strip('/'),
        'Host': HOST,
        'PathPrefix': prefix,
        'Service': service,
        'Kind': kind,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'MaxAttempts': attempts,
        **more,
    }


def main(folder, play, bounds='', limit_s=110):
    """Play a case; exit with 1 if it broke the rule, 0 if not, else 2."""

    async def run():
        rig = None
        try:
            rig = Rig(folder, bounds)
            rig.record.note(f'TROUBLE={int(TROUBLE)}')
            async with asyncio.timeout(limit_s):
                return await play(rig)
        except (CannotRun, TimeoutError, OSError) as error:
            if rig is not None:
                rig.record.note(f'could not run: {error!r}')
            print(f'could not run: {error!r}', file=sys.stderr)
            return 2
        finally:
            if rig is not None:
                await rig.close()

    sys.exit(asyncio.run(run()))
