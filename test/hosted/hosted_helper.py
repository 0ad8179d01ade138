"""Runs the hosted programs as processes, with stand-ins of the platform."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

import aiohttp
from aiohttp import web

from berylhollow import platform
from berylhollow.standin import _http
from berylhollow.standin import direct_endpoint
from berylhollow.standin import metadata_store
from test import platform_builders as builders
from tools.capacity import processes

ROOT = pathlib.Path(__file__).parent.parent.parent
HANG_S = 60
"""Timeout of every wait, far above what any takes, so that a fault fails the
test instead of hanging it."""

NODE_FILE = """
Node = "{node}"
Zone = "sal-kista"
Region = "svealand"
Ip = "127.0.0.1"
PortRange = [{link_port}, {metrics_port}]
app = "127.0.0.1:{endpoint_port}"
Service = "huvo11a"
[Listen]
Front = "127.0.0.1:{callers_port}"
Ready = "127.0.0.1:{ready_port}"
[Bounds]
GraceS = 8
DrainMs = 2000
RetryRatio = 0.2
RetrySlack = 54
BudgetWindowS = 10
[Platform]
Address = "127.0.0.1:{store_port}"
"""


class Process:
    """One program as a process; its log lines are kept."""

    def __init__(self, role, node_path):
        self.role = role
        self.node_path = node_path
        self.lines = []
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'berylhollow',
            self.role,
            '--on-platform',
            cwd=ROOT,
            env=os.environ | {platform.NODE_FILE_VARIABLE: self.node_path},
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader = asyncio.create_task(self.read())

    async def read(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def logged(self, message):
        return [line for line in self.lines if line['message'] == message]

    async def stop(self, number=signal.SIGTERM):
        """Signal the process and return its exit code."""
        self.process.send_signal(number)
        async with asyncio.timeout(HANG_S):
            code = await self.process.wait()
            await self.reader
        return code

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reader


class HostedTestCase(unittest.IsolatedAsyncioTestCase):
    """A gateway, a sidecar, a store, a model endpoint and a plain endpoint.

    ``node_changes`` are lines of the node file and what replaces them.
    """

    node_changes: dict[str, str] = {}

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.ports = sorted(processes.free_ports(5))
        self.store = metadata_store.MetadataStore()
        self.store_port = await self.serve(self.store)
        self.model = direct_endpoint.DirectEndpoint('i-model')
        self.model_port = await self.serve(self.model)
        self.plain = direct_endpoint.DirectEndpoint('i-plain')
        self.plain_port = await self.serve(self.plain)
        self.session = aiohttp.ClientSession()
        self.stack.push_async_callback(self.session.close)
        await self.publish()

    async def serve(self, standin):
        application = web.Application()
        standin.add_to(application)
        listening = _http.listening(application, '127.0.0.1', 0)
        return await self.stack.enter_async_context(listening)

    async def publish(self, version=7, **changes):
        value = builders.configuration(version, **changes)
        stream = platform.CONFIGURATION_STREAM
        await self.store.put(stream, 'config', json.dumps(value).encode())

    async def register(self, endpoint, port, service, **changes):
        value = builders.entry(
            f'127.0.0.1:{port}', service, Models=[], **changes
        )
        stream = platform.INSTANCE_STREAM
        data = json.dumps(value).encode()
        await self.store.put(stream, endpoint.instance, data)

    async def add_raw_endpoint(self, endpoint, service):
        """Start and register an endpoint; return a route to its service."""
        endpoint.instance = f'i-{service}'
        server = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
        self.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        await self.register(endpoint, port, service)
        return builders.plain_route(
            service, f'/{service}/', Service=service, TimeoutMs=20_000
        )

    async def register_all(self):
        await self.register(
            self.model, self.model_port, builders.MODEL_SERVICE
        )
        await self.register(
            self.plain, self.plain_port, builders.PLAIN_SERVICE
        )

    async def begin(self, role):
        """Start the program of a role and return its process."""
        node = NODE_FILE.format(
            node=f'{role}-1',
            link_port=self.ports[0],
            metrics_port=self.ports[4] if role == 'gateway' else self.ports[1],
            callers_port=self.ports[2],
            ready_port=self.ports[3],
            endpoint_port=self.model_port,
            store_port=self.store_port,
        )
        if role == 'gateway':
            # Both processes run on one machine here, so that the gateway needs
            # another address for its link port.
            node = node.replace(
                f'Ip = "127.0.0.1"\nPortRange = [{self.ports[0]}',
                f'Ip = "127.0.0.2"\nPortRange = [{self.ports[0]}',
            )
        for line, changed in self.node_changes.items():
            node = node.replace(line, changed)
        path = pathlib.Path(self.folder, f'{role}.toml')
        path.write_text(node)
        process = Process(role, str(path))
        await process.start()
        self.stack.push_async_callback(process.end)
        return process

    @property
    def callers_url(self):
        return f'http://127.0.0.1:{self.ports[2]}'

    async def ready(self):
        url = f'http://127.0.0.1:{self.ports[3]}{platform.READINESS_PATH}'
        try:
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return None

    async def wait_until(self, condition):
        async with asyncio.timeout(HANG_S):
            while not await condition():
                await asyncio.sleep(0.01)

    async def wait_until_ready(self):
        async def is_ready():
            return await self.ready() == 200

        await self.wait_until(is_ready)

    def open_request(self, path, request_id='id-1', method='POST', **headers):
        given = {
            'Host': builders.HOST,
            'Request-Id': request_id,
            'Deadline-Ms': '5000',
        }
        given |= {name.replace('_', '-'): v for name, v in headers.items()}
        return self.session.request(
            method, f'{self.callers_url}{path}', headers=given, data=b'body'
        )
