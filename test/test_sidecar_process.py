"""Tests of the sidecar as a process: its port, its pages, its memory."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from berylhollow.util import exits

KIB_LIMIT = 64 * 1024
NOWHERE = 'http://127.0.0.1:9'


class ProcessTest(unittest.TestCase):
    def start(self, port=0):
        values = {
            'instance': 'e1',
            'failure_domain': 'sul-a',
            'link_key': 'the key that all instances share',
            'platform': {'url': NOWHERE},
            'service': 'modelos',
            'endpoint': {'url': NOWHERE},
            'listen': {'port': port},
            'status': {'port': 0},
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, 'settings.json')
        path.write_text(json.dumps(values), encoding='utf-8')
        process = subprocess.Popen(
            [
                *(sys.executable, '-m', 'berylhollow'),
                *('sidecar', '--settings', str(path)),
            ],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def port(self, process):
        """Return the link port of a process, from its log."""
        lines = (json.loads(line) for line in process.stderr)
        return next(x['port'] for x in lines if x['message'] == 'listening')

    def test_paused_sidecar_keeps_its_replacement_out(self):
        """Two sidecars load over each other's adapters.

        The first is paused for so long that a replacement is started; then
        it wakes up and goes on. Cause: a lease or a pid file, which lapse
        or go while their holder is paused; the kernel's port does not.
        """
        first = self.start()
        port = self.port(first)
        first.send_signal(signal.SIGSTOP)
        second = self.start(port)
        self.assertEqual(exits.ExitCode.ADDRESS_IN_USE, second.wait())
        self.assertIn(f'127.0.0.1:{port} is taken', second.stderr.read())
        first.send_signal(signal.SIGCONT)
        first.send_signal(signal.SIGTERM)
        self.assertEqual(exits.ExitCode.OK, first.wait())
        self.assertGreater(self.port(self.start(port)), 0)

    def test_idle_sidecar_fits_its_node(self):
        process = self.start()
        self.port(process)
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        (line,) = (x for x in status.splitlines() if x.startswith('VmRSS'))
        self.assertLess(int(line.split()[1]), KIB_LIMIT)
