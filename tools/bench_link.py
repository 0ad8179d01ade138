"""Measure what a token costs on one hop between two of our processes.

A child process plays the sidecar and sends tokens of many streams; this
process plays the gateway and takes them. Printed are the tokens per second
of processor time on each side, from the moment when all streams are open.

``--way link`` carries all streams over ``--links`` links, ``--way http``
each over an HTTP/1.1 chunked answer of its own. ``--pace`` is the time
between two tokens of a stream, with all streams in step as an engine's
batch gives them; 0 sends as fast as the other side takes it.

    python tools/bench_link.py --way link --streams 200 --links 1
"""

import argparse
import asyncio
import json
import os
import subprocess
import sys
import time

os.environ['UV_USE_IO_URING'] = '0'

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402
import uvloop  # noqa: E402

from berylhollow import link as links  # noqa: E402
from berylhollow import messages  # noqa: E402
from berylhollow import stream  # noqa: E402

KEY = b'benchmark'
GATEWAY = links.Identity('gateway-1', 'gateway', 'a')
SIDECAR = links.Identity('sidecar-1', 'sidecar', 'b')
LIMIT_BYTES = 256 * 1024


class Counter:
    """Tokens and the processor time that they took in this process."""

    def __init__(self, streams):
        self.streams = streams
        self.tokens = 0
        self.opened = 0
        self.ended = 0
        self.started_at = 0.0
        self.cpu = 0.0
        self.all_open = asyncio.Event()
        self.all_ended = asyncio.Event()

    def open(self):
        self.opened += 1
        if self.opened == self.streams:
            self.started_at = time.process_time()
            self.all_open.set()

    def end(self):
        self.ended += 1
        if self.ended == self.streams:
            self.cpu = time.process_time() - self.started_at
            self.all_ended.set()


class Pace:
    """Wake all streams in step, or let each just yield if ``ms`` is 0."""

    def __init__(self, ms):
        self.ms = ms

    async def wait(self, index):
        if not self.ms:
            await asyncio.sleep(0)
            return
        loop = asyncio.get_running_loop()
        step = self.ms / 1000
        await asyncio.sleep((index + 1) * step - loop.time() % step)


class SidecarHandler:
    """Send the tokens of each stream that the gateway asks for."""

    def __init__(self, arguments, counter):
        self.arguments = arguments
        self.counter = counter
        self.senders = {}

    def link_up(self, link):
        pass

    def link_down(self, link, reason):
        pass

    def message(self, link, message):
        if isinstance(message, messages.Resume):
            sender = stream.StreamSender(message.attempt_id, LIMIT_BYTES)
            self.senders[message.attempt_id] = (sender, link)
            self.counter.open()
        else:
            sender, _ = self.senders[message.attempt_id]
            sender.acknowledge(message.next_sequence)

    async def produce(self):
        """Push one token of every stream a step, as an engine does."""
        pace = self.arguments.pace / 1000
        token = bytes(self.arguments.size)
        loop = asyncio.get_running_loop()
        at = loop.time()
        sent = 0
        while sent < self.arguments.tokens:
            sent += 1
            for sender, link in self.senders.values():
                while sender.is_paused or link.is_congested:
                    await asyncio.sleep(0.001)
                link.send(sender.push(token))
            at += pace
            await asyncio.sleep(max(at - loop.time(), 0) if pace else 0)
        for sender, link in self.senders.values():
            link.send(sender.finish())
            self.counter.end()


class GatewayHandler:
    """Put the streams together again and acknowledge."""

    def __init__(self, counter):
        self.counter = counter
        self.receivers = {}
        self.up = 0
        self.all_up = asyncio.Event()
        self.expected = 0

    def link_up(self, link):
        self.up += 1
        if self.up == self.expected:
            self.all_up.set()

    def link_down(self, link, reason):
        if self.counter.ended < self.counter.streams:
            raise RuntimeError(f'link down: {reason.name}')

    def message(self, link, message):
        receiver = self.receivers[message.attempt_id]
        payload = receiver.accept(message)
        if payload is not None:
            self.counter.tokens += 1
            receiver.mark_consumed()
        due = receiver.due_acknowledgement()
        if due is not None:
            link.send(due)
        if receiver.complete:
            self.counter.end()


async def serve_link(arguments, counter):
    handler = SidecarHandler(arguments, counter)
    options = links.Options(flush_delay_ms=arguments.flush)
    server = links.LinkServer('127.0.0.1', 0, KEY, SIDECAR, handler, options)
    await server.start()
    print(server.port, flush=True)
    await counter.all_open.wait()
    await handler.produce()
    await asyncio.to_thread(sys.stdin.readline)
    await server.stop()


async def call_link(arguments, counter, port):
    handler = GatewayHandler(counter)
    handler.expected = arguments.links
    options = links.Options(flush_delay_ms=arguments.flush)
    opened = []
    for _ in range(arguments.links):
        client = links.LinkClient(
            '127.0.0.1', port, KEY, GATEWAY, handler, options
        )
        opened.append(client.start())
    await handler.all_up.wait()
    for index in range(arguments.streams):
        attempt_id = f'gw1-7f3a-{index:08x}'
        handler.receivers[attempt_id] = stream.StreamReceiver(attempt_id)
        counter.open()
        link = opened[index % arguments.links]
        link.send(messages.Resume(attempt_id, 0))
    await counter.all_ended.wait()
    return sum(link.received_frames for link in opened)


async def serve_http(arguments, counter):
    token = bytes(arguments.size)
    pace = arguments.pace / 1000

    async def answer(request):
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        counter.open()
        await counter.all_open.wait()
        loop = asyncio.get_running_loop()
        at = loop.time()
        for _ in range(arguments.tokens):
            await response.write(token)
            at += pace
            await asyncio.sleep(max(at - loop.time(), 0) if pace else 0)
        await response.write_eof()
        counter.end()
        return response

    app = web.Application()
    app.router.add_get('/', answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    await runner.cleanup()


async def call_http(arguments, counter, port):
    reads = 0

    async def read(session):
        nonlocal reads
        async with session.get(f'http://127.0.0.1:{port}/') as response:
            counter.open()
            received = 0
            async for data in response.content.iter_any():
                received += len(data)
                reads += 1
            counter.tokens += received // arguments.size
            counter.end()

    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        await asyncio.gather(
            *[read(session) for _ in range(arguments.streams)]
        )
    return reads


async def serve(arguments):
    counter = Counter(arguments.streams)
    ways = {'link': serve_link, 'http': serve_http}
    await ways[arguments.way](arguments, counter)
    print(json.dumps(counter.cpu), flush=True)


async def call(arguments, child):
    counter = Counter(arguments.streams)
    port = int(await asyncio.to_thread(child.stdout.readline))
    ways = {'link': call_link, 'http': call_http}
    frames = await ways[arguments.way](arguments, counter, port)
    child.stdin.write('stop\n')
    child.stdin.flush()
    sent_cpu = json.loads(await asyncio.to_thread(child.stdout.readline))
    expected = arguments.streams * arguments.tokens
    if counter.tokens != expected:
        raise RuntimeError(f'{counter.tokens} of {expected} tokens came')
    return report(arguments, counter, frames, sent_cpu)


def report(arguments, counter, frames, sent_cpu):
    tokens = counter.tokens
    both = sent_cpu + counter.cpu
    return (
        f'{arguments.way:4} streams {arguments.streams:4} '
        f'links {arguments.links:4} pace {arguments.pace:3} ms: '
        f'{tokens / sent_cpu:9.0f} sent, {tokens / counter.cpu:9.0f} '
        f'received, {tokens / both:9.0f} both, per CPU second; '
        f'{tokens / frames:6.1f} tokens a read'
    )


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--way', choices=('link', 'http'), default='link')
    parser.add_argument('--streams', type=int, default=50)
    parser.add_argument('--links', type=int, default=1)
    parser.add_argument('--tokens', type=int, default=200)
    parser.add_argument('--size', type=int, default=150, help='bytes')
    parser.add_argument('--pace', type=int, default=32, help='ms')
    parser.add_argument('--flush', type=float, default=2, help='ms')
    parser.add_argument('--serve', action='store_true', help='as the child')
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    if arguments.serve:
        uvloop.run(serve(arguments))
        return
    command = [sys.executable, __file__, *sys.argv[1:], '--serve']
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        print(uvloop.run(call(arguments, child)))


if __name__ == '__main__':
    main()
