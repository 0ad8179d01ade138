"""The stand-ins of the platform as processes: the store, and an endpoint."""

import asyncio
import base64
import errno
import json
import sys
import time

import aiohttp
from aiohttp import web

from berylhollow.standin import direct_endpoint
from berylhollow.standin import metadata_store
from tools.soak import _answers
from tools.soak import _proxy
from tools.soak import _streams
from tools.soak import _world

BEAT_S = 1.2
RUN_S = 0.03
PLAIN_SLOTS = 64
"""As listed; a plain endpoint runs all requests at once."""

MODEL_RUN_S = 0.12
MODEL_SLOTS = 4
MODEL_PLACES = 150
"""For requests that wait: 4.5 s when all are taken."""

PORT_WAIT_S = 0.001
"""How often a start tries a port that is not free yet."""

DOWN_S = 1.0
"""How long an endpoint is down after a request has crashed it."""

CONTROL_PREFIX = '/control/'
CRASH_BODY = b'crash'
BAD_PART = 'bad'
"""Begins the ids of the parts of prompts that crash endpoints."""

BAD_PART_S = 0.05
"""From the first event on a bad part of a prompt to the crash."""


def say(**fields) -> None:
    """Write what was seen, with the time that all processes share."""
    print(json.dumps({'at': time.monotonic(), **fields}), flush=True)


class Store(metadata_store.MetadataStore):
    """A store whose faults are switched over HTTP."""

    def __init__(self):
        super().__init__()
        self.older = self.copy()

    def add_to(self, application: web.Application) -> None:
        super().add_to(application)
        application.router.add_post('/control/{what}', self._control)

    async def _control(self, request: web.Request) -> web.Response:
        what = request.match_info['what']
        given = await request.json()
        if what == 'put':
            if self.down or self.silent:
                return web.Response(status=503)
            value = base64.b64decode(given['value'])
            await self.put(given['topic'], given['key'], value)
        elif what == 'copy':
            self.older = self.copy()
        elif what == 'come_back':
            await self.come_back(self.older)
        else:
            self.down = given.get('down', False)
            self.silent = given.get('silent', False)
        return web.json_response({'at': time.monotonic()})


class Endpoint(direct_endpoint.DirectEndpoint):
    """An endpoint that says what it runs, and lists itself in the store."""

    def __init__(
        self,
        name: str,
        address: str,
        service: str,
        store: str,
        software: str = 'v1',
    ):
        if service == _world.MODEL_SERVICE:
            super().__init__(name, MODEL_SLOTS, MODEL_PLACES)
            self.run_s = MODEL_RUN_S
        else:
            super().__init__(name)
            self.run_s = RUN_S
        self.started_ms = time.time_ns() // 1_000_000
        self.address = address
        self.service = service
        self.store = store
        self.software = software
        self.state = 'ready'
        self.sequence = 0
        self.written = asyncio.Event()
        self.is_down = False
        self.crashing: asyncio.Task | None = None
        self.server: web.Server | None = None
        self.controls: set[web.RequestHandler] = set()

    def add_to(self, application: web.Application) -> None:
        application.router.add_post('/control/leave', self._leave)
        application.router.add_post('/control/newest', self._newest)
        application.router.add_post('/control/notices', self._set_notices)
        application.middlewares.append(self._handle)
        super().add_to(application)

    @web.middleware
    async def _handle(self, request: web.Request, handler):
        """Answer nothing but the soak itself while the process is down."""
        if request.path.startswith(CONTROL_PREFIX):
            self.controls &= set(self.server.connections)
            self.controls.add(request.protocol)
        elif self.is_down:
            request.transport.abort()
            return web.Response(status=503)
        return await handler(request)

    async def _leave(self, _request: web.Request) -> web.Response:
        """Answer once the store has taken it that we leave."""
        self.state = 'draining'
        self.written.clear()
        await self.written.wait()
        return web.json_response({'at': time.monotonic()})

    async def _newest(self, request: web.Request) -> web.Response:
        self.newest.update(await request.json())
        return web.json_response({})

    async def _set_notices(self, request: web.Request) -> web.Response:
        """Say from now on what is given, in every answer."""
        for name, value in (await request.json()).items():
            kept = tuple(value) if isinstance(value, list) else value
            setattr(self.faults, name, kept)
        return web.json_response({'at': time.monotonic()})

    async def _crash(self) -> None:
        """Reset all connections, and start anew under the same name.

        Idle ones are reset, too, as those of a process that has ended. The
        port stays open: a plain close would look like that of an endpoint
        that lives.
        """
        say(crashed=self.instance)
        self.is_down = True
        for connection in self.server.connections:
            transport = connection.transport
            if transport is not None and connection not in self.controls:
                _proxy.reset_on_close(transport)
                transport.abort()
        await asyncio.sleep(DOWN_S)
        self.restart(self.instance)
        self.started_ms = time.time_ns() // 1_000_000
        self.is_down = False
        self.written.clear()

    async def _crash_while_answering(
        self, request, headers
    ) -> web.StreamResponse:
        headers['Content-Type'] = 'text/event-stream'
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(b'id: 0\ndata: a\n\n')
        await asyncio.sleep(BAD_PART_S)
        self.crashing = asyncio.create_task(self._crash())
        await asyncio.shield(self.crashing)
        return response

    async def _request(self, request) -> web.StreamResponse:
        say(
            got=request.headers.get('Request-Id', ''),
            instance=self.instance,
            started=self.started_ms,
            paused=bool(self.faults.full and self.faults.pauses),
        )
        return await super()._request(request)

    async def _answer(self, request, headers) -> web.StreamResponse:
        ran = self.ran.pop()
        say(
            ran=ran.request_id,
            instance=self.instance,
            version=ran.version,
            headers=dict(request.headers),
        )
        if ran.body == CRASH_BODY:
            self.crashing = asyncio.create_task(self._crash())
            await asyncio.shield(self.crashing)
        headers['Server-Seal'] = f'seal-of-{self.instance}'
        if BAD_PART in request.headers.get('Prompt-Prefix', ''):
            return await self._crash_while_answering(request, headers)
        if request.path.startswith(_streams.PREFIX):
            return await _streams.answer(request, headers, self.software)
        plan = _answers.decode(request.headers.get(_answers.PLAN_HEADER))
        if plan.kind == 'events':
            headers['Content-Type'] = 'text/event-stream'
        pause_s = self.run_s / 2
        if plan.cut or plan.framing == 'connection':
            given = [*headers.items(), *self._notices()]
            return await _answers.send_raw(
                request, given, plan, ran.request_id, pause_s
            )
        body = plan.body(ran.request_id)
        if plan.framing == 'chunks':
            return await _answers.send_whole(request, headers, body, pause_s)
        await asyncio.sleep(self.run_s)
        return web.Response(headers=headers, body=body)

    async def beat(self) -> None:
        """Write the own entry again and again."""
        async with aiohttp.ClientSession() as session:
            while True:
                state = self.state
                if self.is_down:
                    await asyncio.sleep(0.1)
                    continue
                if await self._write(session) and state == self.state:
                    self.written.set()
                await asyncio.sleep(BEAT_S if self.written.is_set() else 0.1)

    async def _write(self, session: aiohttp.ClientSession) -> bool:
        self.sequence += 1
        entry = {
            'Service': self.service,
            'Address': self.address,
            'Zone': 'z1',
            'Version': self.software,
            'Slots': self.model.slots or PLAIN_SLOTS,
            'State': self.state,
            'Models': self._description(),
            'Seq': self.sequence,
            'born': self.started_ms,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        record = {'topic': 'keyed.servers', 'key': self.instance}
        try:
            async with session.post(
                f'http://{self.store}/control/put',
                json=record | {'value': value},
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


async def _listen(runner: web.AppRunner, host: str, port: int) -> None:
    """Listen as soon as the port is free."""
    while True:
        try:
            await web.TCPSite(runner, host, port).start()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            await asyncio.sleep(PORT_WAIT_S)
        else:
            return


async def main(role: str, listen: str, *arguments: str) -> None:
    """Serve until killed."""
    application = web.Application()
    endpoint = None
    if role == 'store':
        Store().add_to(application)
    else:
        endpoint = Endpoint(*arguments)
        endpoint.add_to(application)
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=True
    )
    await runner.setup()
    host, _, port = listen.rpartition(':')
    say(waiting=listen)
    await _listen(runner, host, int(port))
    if endpoint is not None:
        endpoint.server = runner.server
        endpoint.started_ms = time.time_ns() // 1_000_000
        beating = asyncio.create_task(endpoint.beat())
        beating.add_done_callback(lambda _: sys.exit(1))
    say(listening=listen)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
