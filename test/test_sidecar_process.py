"""Tests of the sidecar process: its port and its memory use."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from berylhollow.util import exits

MEMORY_LIMIT_KIB = 64 * 1024
UNREACHABLE_URL = 'http://127.0.0.1:9'


class ProcessTest(unittest.TestCase):
    def start(self, port=0):
        values = {
            'instance': 'e1',
            'failure_domain': 'sul-a',
            'link_key': 'the key that all instances share',
            'platform': {'url': UNREACHABLE_URL},
            'service': 'modelos',
            'endpoint': {'url': UNREACHABLE_URL},
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

    def link_port(self, process):
        """Return the link port that a process logs."""
        entries = (json.loads(line) for line in process.stderr)
        return next(
            entry['port']
            for entry in entries
            if entry['message'] == 'listening'
        )

    def test_paused_sidecar_keeps_its_replacement_from_starting(self):
        """Two sidecars load over each other's adapters.

        The first is paused for so long that a replacement is started, and
        then resumes. Cause: mutual exclusion by a lease or pid file, which
        can expire or be removed while its holder is paused. A bound port is
        kept by the kernel.
        """
        first = self.start()
        port = self.link_port(first)
        first.send_signal(signal.SIGSTOP)
        second = self.start(port)
        self.assertEqual(exits.ExitCode.ADDRESS_IN_USE, second.wait())
        self.assertIn(f'127.0.0.1:{port} is taken', second.stderr.read())
        first.send_signal(signal.SIGCONT)
        first.send_signal(signal.SIGTERM)
        self.assertEqual(exits.ExitCode.OK, first.wait())
        self.assertGreater(self.link_port(self.start(port)), 0)

    def test_idle_sidecar_stays_below_its_memory_limit(self):
        process = self.start()
        self.link_port(process)
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        (rss,) = (x for x in status.splitlines() if x.startswith('VmRSS'))
        self.assertLess(int(rss.split()[1]), MEMORY_LIMIT_KIB)
