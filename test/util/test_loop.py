"""Tests of running services: signals, graceful stop, file descriptors."""

import json
import os
import signal
import subprocess
import sys
import unittest

# A process with one service, which prints READY when started. Its stop waits
# for a line on standard input, then prints the file descriptors, the child
# processes and the number of frozen objects of the process.
PROGRAM = """
import asyncio, gc, json, os, pathlib, sys
import aiomisc
from berylhollow.util import loop


class Service(aiomisc.Service):
    async def start(self):
        loop_ = asyncio.get_running_loop()
        self.server = await loop_.create_server(
            asyncio.Protocol, '127.0.0.1', 0)
        await loop_.run_in_executor(None, pathlib.Path('/dev/null').read_text)
        print('READY', flush=True)

    async def stop(self, exception=None):
        print('STOPPING', flush=True)
        line = asyncio.Event()
        asyncio.get_running_loop().add_reader(0, line.set)
        await line.wait()
        folder = '/proc/self/fd'
        links = []
        for name in os.listdir(folder):
            try:
                links.append(os.readlink(f'{folder}/{name}'))
            except FileNotFoundError:
                pass
        task = f'/proc/self/task/{os.getpid()}/children'
        children = pathlib.Path(task).read_text().split()
        facts = {'links': links, 'children': children}
        facts['frozen'] = gc.get_freeze_count()
        print(json.dumps(facts), flush=True)


def services(lifetime):
    if 'FAIL' in sys.argv:
        lifetime.stop(4)
    return [Service()]


sys.exit(loop.run(services, stop_grace_ms=int(sys.argv[1])))
"""
LONG_MS = '600000'


class RunTest(unittest.TestCase):
    def start(self, *argv):
        environment = dict(os.environ)
        environment.pop('UV_USE_IO_URING', None)
        process = subprocess.Popen(
            [sys.executable, '-c', PROGRAM, *argv],
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.stdin.close)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.kill)
        self.expect(process, 'READY')
        return process

    def expect(self, process, line):
        self.assertEqual(process.stdout.readline().strip(), line)

    def finish(self, process):
        print(file=process.stdin, flush=True)
        return json.loads(process.stdout.readline())

    def test_no_io_uring_and_no_child(self):
        process = self.start(LONG_MS)
        process.send_signal(signal.SIGTERM)
        self.expect(process, 'STOPPING')
        facts = self.finish(process)
        self.assertTrue(any('eventpoll' in link for link in facts['links']))
        self.assertFalse(any('io_uring' in link for link in facts['links']))
        self.assertEqual(facts['children'], [])
        self.assertEqual(process.wait(), 0)

    def test_startup_objects_are_excluded_from_garbage_collection(self):
        # Guards against streams that stall for a tenth of a second during a
        # full collection, which traverses the objects of all libraries.
        process = self.start(LONG_MS)
        process.send_signal(signal.SIGTERM)
        self.expect(process, 'STOPPING')
        self.assertGreater(self.finish(process)['frozen'], 0)
        self.assertEqual(process.wait(), 0)

    def test_second_sigterm_does_not_abort_the_stop(self):
        # Guards against a long response that is cut off during a planned
        # stop: if the first SIGTERM restored the default handler, a second
        # one from the platform would end the process while it drains.
        process = self.start(LONG_MS)
        process.send_signal(signal.SIGTERM)
        self.expect(process, 'STOPPING')
        process.send_signal(signal.SIGTERM)
        self.finish(process)
        self.assertEqual(process.wait(), 0)

    def test_stop_beyond_its_grace_period_is_aborted(self):
        process = self.start('1')
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(), 70)

    def test_second_interrupt_aborts_the_stop(self):
        process = self.start(LONG_MS)
        process.send_signal(signal.SIGINT)
        self.expect(process, 'STOPPING')
        process.send_signal(signal.SIGINT)
        self.assertEqual(process.wait(), 70)

    def test_service_ends_the_process_with_its_code(self):
        process = self.start(LONG_MS, 'FAIL')
        self.expect(process, 'STOPPING')
        self.finish(process)
        self.assertEqual(process.wait(), 4)
