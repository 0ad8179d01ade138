"""Tests of the quarantine commands against the stand-in platform."""

import contextlib
import io
import unittest
from unittest import mock

from berylhollow import quarantine
from berylhollow.standin import log as log_model
from berylhollow.ui import _program
from berylhollow.util import exits


class FakeLogClient:
    """A log client that calls the log model directly, without a server."""

    def __init__(self, model):
        self.model = model

    async def append(self, stream, data):
        return self.model.append(stream, data, 0)

    async def read(self, stream, from_offset):
        return self.model.read(stream, from_offset, 2, 0)

    async def close(self):
        pass


class QuarantineCommandTest(unittest.TestCase):
    def setUp(self):
        self.model = log_model.LogModel()
        client = mock.patch(
            'berylhollow.log_service.LogClient',
            lambda url: FakeLogClient(self.model),
        )
        client.start()
        self.addCleanup(client.stop)

    def append_record(self, record):
        data = quarantine.encode(record)
        self.model.append(quarantine.STREAM, data, 0)

    def run_command(self, *words):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = _program.main(
                ['quarantine', *words, '--platform', 'http://127.0.0.1:1']
            )
        self.assertEqual(exits.ExitCode.OK, code)
        return out.getvalue()

    def test_list_shows_crashes_and_lift_removes_them(self):
        self.append_record(quarantine.Crash('e1/1', 'modelos', ('f1', 'f2')))
        self.append_record(quarantine.Crash('e2/1', 'modelos', ('f1',)))
        self.model.append(quarantine.STREAM, b'\xff', 0)
        listed = self.run_command('list')
        self.assertIn('f1  service modelos  crashes 2  alone 1', listed)
        self.assertIn('f2  service modelos  crashes 1  alone 0', listed)
        self.run_command('lift', 'f1', '--operator', 'anna')
        self.assertNotIn('f1', self.run_command('list'))
