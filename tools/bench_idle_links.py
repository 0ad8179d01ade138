"""Measure what an idle link costs each end.

A child process listens, this process opens ``--links`` links to it and
waits. Printed are the processor time to open a link, the resident memory of
one and the processor time of its keepalive.

    python tools/bench_idle_links.py --links 1000
"""

import argparse
import asyncio
import gc
import os
import subprocess
import sys
import time

os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402

from berylhollow import link as links  # noqa: E402

KEY = b'benchmark'
GATEWAY = links.Identity('gateway-1', 'gateway', 'a')
SIDECAR = links.Identity('sidecar-1', 'sidecar', 'b')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
OPENING_AT_ONCE = 20
MICROSECONDS = 1_000_000


class Handler:
    """Count the links that are up."""

    def __init__(self):
        self.up = 0

    def link_up(self, link):
        self.up += 1

    def link_down(self, link, reason):
        pass

    def message(self, link, message):
        pass

    async def until(self, count):
        while self.up < count:
            await asyncio.sleep(0.001)


def resident_bytes():
    gc.collect()
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * PAGE_BYTES


async def idle(arguments, who, before):
    """Wait with all links open, then print what one costs this process."""
    memory = (resident_bytes() - before) / arguments.links
    started_at = time.process_time()
    await asyncio.sleep(arguments.seconds)
    cpu = (time.process_time() - started_at) * MICROSECONDS
    cpu /= arguments.seconds * arguments.links
    print(
        f'{who}: {memory:.0f} bytes and {cpu:.1f} us a second for each of '
        f'{arguments.links} idle links, pinged each {arguments.ping} ms',
        flush=True,
    )


async def serve(arguments, options):
    handler = Handler()
    server = links.LinkServer('127.0.0.1', 0, KEY, SIDECAR, handler, options)
    await server.start()
    before = resident_bytes()
    print(server.port, flush=True)
    await handler.until(arguments.links)
    await idle(arguments, 'server', before)
    await asyncio.to_thread(sys.stdin.readline)


async def call(arguments, options, child):
    port = int(await asyncio.to_thread(child.stdout.readline))
    handler = Handler()
    before = resident_bytes()
    started_at = time.process_time()
    clients = []
    for index in range(arguments.links):
        await handler.until(index - OPENING_AT_ONCE)
        client = links.LinkClient(
            '127.0.0.1', port, KEY, GATEWAY, handler, options
        )
        client.start()
        clients.append(client)
    await handler.until(arguments.links)
    cpu = (time.process_time() - started_at) * MICROSECONDS
    print(f'client: {cpu / arguments.links:.0f} us to open a link')
    await idle(arguments, 'client', before)
    print(await asyncio.to_thread(child.stdout.readline), end='')
    child.stdin.write('stop\n')
    child.stdin.flush()


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--links', type=int, default=1000)
    parser.add_argument('--ping', type=int, default=5000, help='ms')
    parser.add_argument('--seconds', type=int, default=20)
    parser.add_argument('--serve', action='store_true', help='as the child')
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    options = links.Options(ping_interval_ms=arguments.ping)
    if arguments.serve:
        uvloop.run(serve(arguments, options))
        return
    command = [sys.executable, __file__, *sys.argv[1:], '--serve']
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        uvloop.run(call(arguments, options, child))


if __name__ == '__main__':
    main()
