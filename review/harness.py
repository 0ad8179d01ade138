"""Runs the system's programs beside stand-ins of store, runners and clients.

Everything listens on loopback addresses. The programs are started with the
commands of deploy/system.toml; the stand-ins live in this process.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
MODEL = 'daka510000'
MODEL_SERVICE = 'huvo11a'
PLAIN_SERVICE = 'wuno96b'
HOST = 'ficu95.example'

NODE_FILE = """
Node = "{node}"
Role = "{role}"
MachineClass = "{machine_class}"
Serves = ["{machine_class}"]
Ip = "{ip}"
Zone = "sul-a"
Region = "sul"
PortRange = [{first_port}, {last_port}]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
{place}
[Zones]
sul-a = "sul"
[Listen]
{listen}
[Limits]
CpuShare = 0.817
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
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
[Platform]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
MinTtlMs = 1000
"""


class NotRunnable(Exception):
    """The case could not be played."""


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.begun = time.monotonic()

    def add(self, text):
        elapsed = time.monotonic() - self.begun
        self.file.write(f'{elapsed:8.3f} s  {text}\n')
        self.file.flush()


# HTTP on plain sockets, so that each byte is under the test's control.


async def read_head(reader):
    """Return the start line and the headers; None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('the head ended early') from error
        return None
    lines = data.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Return the next chunk of a chunked body, b'' at its end."""
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while part := await read_chunk(reader):
            body += part
        return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def head(status, headers):
    lines = [f'HTTP/1.1 {status}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def whole(status, body=b'', **headers):
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    return head(status, {**named, 'Content-Length': len(body)}) + body


def whole_json(value, status='200 OK'):
    body = json.dumps(value).encode()
    return whole(status, body, Content_Type='application/json')


class Server:
    """A server that hands each request to ``answer``."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.listener = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def open(self):
        self.listener = await asyncio.start_server(
            self.serve, self.host, self.port, limit=2**22
        )

    async def crash(self):
        """End as a killed process does: all sockets close at once."""
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (parsed := await read_head(reader)) is not None:
                line, headers = parsed
                method, target, _ = line.split(' ', 2)
                body = await read_body(reader, headers)
                await self.answer(writer, method, target, headers, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: the two keyed topics, read only."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.topics = {'keyed.op': [], 'keyed.servers': [], 'keyed.status': []}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        data = b'' if value is None else json.dumps(value).encode()
        async with self.changed:
            self.topics[topic].append((key, data))
            self.changed.notify_all()

    async def answer(self, writer, method, target, headers, body):
        path, _, query = target.partition('?')
        wanted = dict(part.split('=', 1) for part in query.split('&') if part)
        records = self.topics.setdefault(wanted.get('Topic', ''), [])
        if path == '/v1/log-newest':
            newest = {}
            for offset, (key, data) in enumerate(records):
                newest[key] = (offset, data)
            items = [
                {
                    'Key': key,
                    'Value': base64.b64encode(data).decode(),
                    'Offset': offset,
                }
                for key, (offset, data) in sorted(newest.items())
                if data
            ]
            writer.write(
                whole_json(
                    {'items': items, 'HasMore': False, 'End': len(records)}
                )
            )
        elif path == '/v1/log-read':
            first = int(wanted['From'])
            wait_s = int(wanted.get('WaitMs', 0)) / 1000
            await self.wait_for_records(records, first, wait_s)
            answer = struct.pack('>QQ', len(records), 0)
            for key, data in records[first:]:
                record = bytes([len(key)]) + key.encode() + data
                answer += struct.pack('>I', len(record)) + record
            writer.write(whole('200 OK', answer))
        else:
            writer.write(whole('404 Not Found'))

    async def wait_for_records(self, records, first, wait_s):
        if not wait_s:
            return
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: len(records) > first)
        except TimeoutError:
            pass


class Runner(Server):
    """A runner; ``work`` answers the requests that it runs."""

    def __init__(self, test, name, host, port, service, **options):
        super().__init__(host, port)
        self.test = test
        self.name = name
        self.service = service
        self.software = options.get('software', 'v1')
        self.slots = options.get('slots', 64)
        self.adapter_slots = options.get('adapter_slots', 6)
        self.work = options['work']
        self.is_model = service == MODEL_SERVICE
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.adapters = {}
        self.pending = {}
        self.active = 0
        self.state = 'ready'
        self.beating = None

    def models(self):
        if not self.is_model:
            return []
        return [
            {
                'Name': MODEL,
                'Version': 1,
                'Adapters': [f'{a}@{v}' for a, v in self.adapters.items()],
            }
        ]

    def entry(self):
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': 'sul-a',
            'Version': self.software,
            'Slots': self.slots,
            'State': self.state,
            'ColdRemainingMs': 0,
            'Stage': 'both',
            'Models': self.models(),
            'Seq': self.seq,
            'born': self.born,
        }

    async def start(self):
        await self.open()
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.test.store.put('keyed.servers', self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        self.test.record.add(f'runner {self.name} crashes')
        self.beating.cancel()
        await super().crash()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S,
            lambda: asyncio.ensure_future(
                self.test.store.put('keyed.servers', self.name, None)
            ),
        )

    async def answer(self, writer, method, target, headers, body):
        if target == '/v1/report':
            writer.write(whole_json(self.report()))
            return
        if target == '/healthz':
            writer.write(whole('200 OK', Instance_Id=self.name))
            return
        expected = headers.get('expect-instance', self.name)
        if expected != self.name:
            writer.write(
                whole('421 Misdirected Request', Instance_Id=self.name)
            )
            return
        if target == '/v1/order':
            writer.write(self.take_order(json.loads(body)))
            return
        await self.take_request(writer, method, target, headers, body)

    async def take_request(self, writer, method, target, headers, body):
        request_id = headers.get('request-id', '')
        model, _, adapter = headers.get('model', '').partition('/')
        if adapter and adapter not in self.adapters:
            writer.write(
                whole(
                    '421 Misdirected Request',
                    Request_Id=request_id,
                    Instance_Id=self.name,
                )
            )
            return
        if self.active >= self.slots:
            writer.write(
                whole(
                    '503 Service Unavailable',
                    Not_Executed='1',
                    Request_Id=request_id,
                )
            )
            return
        self.active += 1
        self.test.record.add(
            f'{self.name} runs {request_id} {method} {target} '
            f'deadline {headers.get("deadline-ms")}'
        )
        try:
            await self.work(self, writer, method, target, headers, body)
        finally:
            self.active -= 1

    def report(self):
        return {
            'Stage': 'both',
            'Models': self.models(),
            'Busy': False,
            'Seq': self.seq,
            'Queued': 0,
            'Active': self.active,
            'KvUsed': 0,
            'KvTotal': 128298,
            'Handles': 0,
            'Pending': [f'{MODEL}/{a}@{v}' for a, v in self.pending.items()],
            'born': self.born,
        }

    def take_order(self, order):
        self.test.record.add(f'{self.name} is ordered {json.dumps(order)}')
        if order.get('Precondition', self.seq) != self.seq:
            return whole('409 Conflict')
        adapter = order.get('Adapter')
        if order['Opcode'] == 'load':
            if not adapter or adapter in self.adapters:
                return whole('200 OK')
            self.seq += 1
            self.pending[adapter] = 1
            self.test.adapter_ordered(self)
            asyncio.get_running_loop().call_later(
                0.25, self.finish_load, adapter
            )
            return whole('202 Accepted')
        self.seq += 1
        self.adapters.pop(adapter, None)
        return whole('200 OK')

    def finish_load(self, adapter):
        if self.pending.pop(adapter, None):
            self.adapters[adapter] = 1

    def seal(self, headers):
        return {
            'Request-Id': headers.get('request-id', ''),
            'Server-Seal': f'seal.{self.name}',
            'Server-Load': f'{self.active},0,{self.slots}',
        }


class Program:
    """One of the system's programs as a process."""

    def __init__(self, test, role, node, settings):
        self.test = test
        self.role = role
        self.node = node
        self.settings = settings
        self.process = None
        self.log = None

    def start(self):
        run = shlex.split(self.test.commands[self.role])
        self.log = open(self.test.folder / f'{self.node}.log', 'ab')
        self.process = subprocess.Popen(
            run,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'BERYLHOLLOW_NODE_FILE': str(self.settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def signal(self, number):
        self.test.record.add(f'{self.node} gets {number.name}')
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()


class Test:
    """A small deployment: a store, runners, gateways and sidecars."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self.temporary.name)
        self.network = f'127.{random.randint(64, 191)}.{random.randint(1, 250)}'
        self.first_port = self.free_port_range(24)
        self.programs = []
        self.runners = []
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self.commands = {name: role['run'] for name, role in roles.items()}
        self.store = Store(self.ip(1), self.first_port + 20)

    def ip(self, last):
        return f'{self.network}.{last}'

    def free_port_range(self, count):
        for _ in range(50):
            first = random.randint(20000, 30000)
            try:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.bind((self.ip(1), port))
            except OSError:
                continue
            return first
        raise NotRunnable('no free ports')

    def adapter_ordered(self, runner):
        """Called after an accepted load of an adapter."""

    async def add_runner(self, name, last, service, **options):
        runner = Runner(
            self, name, self.ip(last), self.first_port + 21, service, **options
        )
        self.runners.append(runner)
        await runner.start()
        return runner

    def add_gateway(self, number):
        ip = self.ip(100 + number)
        front = f'{ip}:{self.first_port + 22}'
        ready = f'{ip}:{self.first_port + 23}'
        listen = f'Front = "{front}"\nReady = "{ready}"'
        return self.add_program('gateway', f'front-{number}', ip, '', listen)

    def add_sidecar(self, runner):
        place = f'app = "{runner.address}"\nService = "{runner.service}"'
        return self.add_program(
            'sidecar', f'side-{runner.name}', runner.host, place, ''
        )

    def add_program(self, role, node, ip, place, listen):
        settings = self.folder / f'{node}.toml'
        settings.write_text(
            NODE_FILE.format(
                node=node,
                role=role,
                machine_class='front' if role == 'gateway' else 'side',
                ip=ip,
                first_port=self.first_port,
                last_port=self.first_port + 15,
                place=place,
                listen=listen,
                store=self.store.address,
            )
        )
        program = Program(self, role, node, settings)
        program.ip = ip
        self.programs.append(program)
        program.start()
        return program

    def front(self, gateway):
        return gateway.ip, self.first_port + 22

    async def is_ready(self, gateway):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    gateway.ip, self.first_port + 23
                )
                writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line, _ = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, TypeError):
            return False
        return ' 200' in line

    async def wait_until_ready(self):
        for _ in range(200):
            gateways = [p for p in self.programs if p.role == 'gateway']
            ready = [await self.is_ready(gateway) for gateway in gateways]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise NotRunnable('a gateway does not become ready')

    def check_alive(self):
        for program in self.programs:
            if program.process.poll() is not None:
                raise NotRunnable(f'{program.node} has ended')

    def close(self):
        for program in self.programs:
            program.end()
        self.temporary.cleanup()


def route(name, prefix, service, kind, **more):
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutMs': 15000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 1,
        **more,
    }


def services(**engine):
    return [
        {
            'Name': MODEL_SERVICE,
            'HealthPath': '/healthz',
            'MaxConns': 360,
            'Protocol': 'h1',
            'Tls': False,
            'Engine': {
                'Slots': 64,
                'KvCapacity': 128298,
                'KvTokenBytes': 163840,
                'LinkMbps': 550000.0,
                'Moves': True,
                'Backups': True,
                'Stride': 2,
                'MaxCount': 12,
                'HostMb': 140000.0,
                'DiskMb': 410000.0,
                'PinMs': 4000.0,
                'HoldMs': 2000.0,
                'handle_s': 5.0,
                'Models': [
                    {
                        'Name': MODEL,
                        'WeightsMb': 72700.0,
                        'LoadTimeS': 4.3,
                        'Adapters': 3000,
                        'AdapterMb': 66.0,
                        'WarmS': 1.3,
                        'DiskS': 1.7,
                    }
                ],
                'WeightsMb': 74600.0,
                'AdapterSlots': 6,
                'LoadsPerS': 2.1,
                **engine,
            },
        },
        {
            'Name': PLAIN_SERVICE,
            'HealthPath': '/healthz',
            'MaxConns': 100,
            'Protocol': 'h1',
            'Tls': False,
        },
    ]


def config(version, routes, **engine):
    return {
        'Version': version,
        'Routes': routes,
        'Services': services(**engine),
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def request_bytes(method, target, headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def play(folder, case):
    """Run a case; return 1 if the rule was broken, 0 if not, 2 if neither."""
    test = None
    # Ended from outside, the case still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        test = Test(folder)
        trouble = os.environ.get('TROUBLE', '1') != '0'
        test.record.add(f'disturbance: {"yes" if trouble else "no"}')
        with asyncio.Runner() as runner:
            broken = runner.run(_play(test, case, trouble))
        test.record.add(f'rule broken: {"yes" if broken else "no"}')
        print('broken' if broken else 'held')
        return int(broken)
    except Exception as error:
        text = f'could not run: {type(error).__name__}: {error}'
        print(text)
        if test is not None:
            test.record.add(text)
        return 2
    finally:
        if test is not None:
            test.close()


async def _play(test, case, trouble):
    await test.store.open()
    async with asyncio.timeout(110):
        return await case(test, trouble)
