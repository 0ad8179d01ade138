"""Tests of the stand-in commands."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
import urllib.request

from berylhollow import settings
from berylhollow.ui import commands
from berylhollow.util import exits
from test import standin_helper

PLATFORM_URL = 'http://127.0.0.1:1'


class StandInCommandTest(unittest.TestCase):
    def start_stand_in(self, role, **options):
        values = {
            **standin_helper.COMMON,
            'instance': f'{role}-1',
            'listen': {'port': 0},
            **options,
        }
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, 'settings.jsonc')
        path.write_text(json.dumps(values))
        words = (sys.executable, '-m', 'berylhollow', 'stand-in', role)
        process = subprocess.Popen(
            [*words, '--settings', str(path)],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_each_serves_once_it_logs_its_address_and_exits_with_0(self):
        link = {'platform': {'url': PLATFORM_URL}}
        for role, options in (
            (settings.Role.PLATFORM, {}),
            (settings.Role.ENGINE, link),
            (settings.Role.SERVICE, {}),
        ):
            with self.subTest(role):
                process = self.start_stand_in(role, **options)
                line = json.loads(process.stderr.readline())
                address = line['message'].removeprefix('listening on ')
                url = f'http://{address}/healthz'
                with urllib.request.urlopen(url) as answer:
                    self.assertEqual(answer.status, 200)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(), exits.ExitCode.OK)

    def test_invalid_settings_start_nothing(self):
        process = self.start_stand_in(settings.Role.ENGINE)
        _, errors = process.communicate()
        self.assertEqual(process.returncode, exits.ExitCode.INVALID)
        self.assertIn('platform', errors)

    def test_every_stand_in_role_has_a_command(self):
        names = {command.name for command in commands.COMMANDS}
        roles = {f'stand-in {role}' for role in settings.Role}
        # Not stand-ins: two real processes and a role without a process.
        roles -= {'stand-in gateway', 'stand-in sidecar', 'stand-in replay'}
        self.assertLessEqual(roles, names)
