"""Tests of the built program; ``make binary`` runs them after the build."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import unittest

PROGRAM = pathlib.Path(__file__).parent.parent / 'dist' / 'berylhollow'
SYSTEM_FOLDERS = ('/lib/', '/lib64/', '/usr/lib/')
POLL_S = 0.01
LISTEN_STATE = '0A'
SETTINGS = {
    'instance': 'one',
    'failure_domain': 'sul-a',
    'link_key': '0123456789abcdef',
    'listen': {'port': 0},
}
PLATFORM = {'platform': {'url': 'http://127.0.0.1:1'}}
SIDECAR = {
    'service': 'balcao',
    'endpoint': {'url': 'http://127.0.0.1:1', 'kind': 'plain'},
    'status': {'port': 0},
}
# Every command that stays, with settings that it starts on.
SERVERS = (
    (('gateway',), SETTINGS | PLATFORM | {'peers': {'port': 0}}),
    (('sidecar',), SETTINGS | PLATFORM | SIDECAR),
    (('stand-in', 'platform'), SETTINGS),
    (('stand-in', 'engine'), SETTINGS | PLATFORM),
    (('stand-in', 'service'), SETTINGS),
)


class Process:
    """What /proc tells of a running process."""

    def __init__(self, number):
        self.folder = pathlib.Path('/proc', str(number))

    def children(self):
        return [
            child
            for task in self.folder.joinpath('task').iterdir()
            for child in task.joinpath('children').read_text().split()
        ]

    def descriptors(self):
        found = []
        for entry in self.folder.joinpath('fd').iterdir():
            # One may be closed between the listing and this look.
            with contextlib.suppress(FileNotFoundError):
                found.append(os.readlink(entry))
        return found

    def listens(self):
        sockets = {
            name.removeprefix('socket:[').removesuffix(']')
            for name in self.descriptors()
        }
        lines = self.folder.joinpath('net/tcp').read_text().splitlines()[1:]
        return any(
            fields[3] == LISTEN_STATE and fields[9] in sockets
            for fields in map(str.split, lines)
        )

    def mapped_files(self):
        lines = self.folder.joinpath('maps').read_text().splitlines()
        paths = {line.split(maxsplit=5)[-1] for line in lines}
        return {path for path in paths if path.startswith('/')}


class BinaryTest(unittest.TestCase):
    def run_program(self, *argv):
        # No environment and no folder of ours: nothing but the file itself.
        return subprocess.run(
            [PROGRAM, *argv], env={}, cwd='/', capture_output=True, text=True
        )

    def test_version(self):
        done = self.run_program('--version')
        self.assertEqual((done.returncode, done.stderr), (0, ''))
        self.assertRegex(done.stdout, r'^berylhollow \d+\.\d+\.\d+\n$')

    def test_errors_have_their_exit_code(self):
        done = self.run_program('settings', 'engine', '--check', '/nowhere')
        self.assertEqual(done.returncode, 2)
        self.assertEqual(done.stderr.count('\n'), 1)

    def test_shipped_defaults_are_in_the_program(self):
        done = self.run_program('settings', '--format', 'defaults')
        shipped = PROGRAM.parent.parent / 'berylhollow' / 'defaults.jsonc'
        self.assertEqual(done.stdout, shipped.read_text(encoding='utf-8'))

    def start(self, *argv):
        process = subprocess.Popen(
            [PROGRAM, *argv],
            env={},
            cwd='/',
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.stdin.close)
        self.addCleanup(process.kill)
        return process

    def check_alone(self, process):
        """Assert one process, no io_uring, and no file but system ones."""
        facts = Process(process.pid)
        self.assertEqual(facts.children(), [])
        descriptors = facts.descriptors()
        self.assertFalse([name for name in descriptors if 'uring' in name])
        for path in facts.mapped_files():
            expected = (
                path == str(PROGRAM)
                or path.startswith(SYSTEM_FOLDERS)
                or path.startswith('/memfd:')
            )
            self.assertTrue(expected, path)

    def test_running_program_is_one_process_without_files(self):
        process = self.start('settings', 'service', '--check', '/dev/stdin')
        self.wait_for_read(process)
        self.check_alone(process)
        process.stdin.write(json.dumps(SETTINGS))
        process.stdin.close()
        self.assertEqual(process.wait(), 0, process.stderr.read())

    def wait_for_read(self, process):
        """Wait until the program has opened its standard input to read."""
        facts = Process(process.pid)
        stdin = os.readlink(facts.folder / 'fd' / '0')
        self.wait_for(process, lambda: facts.descriptors().count(stdin) > 1)

    def wait_for(self, process, condition):
        while process.poll() is None:
            if condition():
                return
            time.sleep(POLL_S)
        self.fail(process.stderr.read())

    def test_servers_are_one_process_and_stop_gracefully(self):
        for words, settings in SERVERS:
            with self.subTest(words), tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder, 'settings.jsonc')
                path.write_text(json.dumps(settings), encoding='utf-8')
                process = self.start(*words, '--settings', str(path))
                self.wait_for(process, Process(process.pid).listens)
                self.check_alone(process)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(), 0, process.stderr.read())

    def test_interrupt_ends_it(self):
        process = self.start('settings', 'service', '--check', '/dev/stdin')
        self.wait_for_read(process)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(), -signal.SIGTERM)
