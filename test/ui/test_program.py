"""Tests of the program: command selection, errors and exit codes."""

import contextlib
import importlib
import io
import json
import subprocess
import sys
import types
import unittest
from unittest import mock

from berylhollow import errors
from berylhollow import ui
from berylhollow.ui import commands
from berylhollow.util import exits


def run(*argv):
    """Return the exit code, stdout and stderr of a run in this process."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = ui.main(argv)
        except SystemExit as stopped:
            code = stopped.code
    return code, out.getvalue(), err.getvalue()


def patch_command_to_raise(error):
    module = types.SimpleNamespace(
        EXAMPLE='', add_arguments=lambda parser: None
    )
    module.run = mock.Mock(side_effect=error)
    return mock.patch.object(
        importlib, 'import_module', autospec=True, return_value=module
    )


class ProgramTest(unittest.TestCase):
    def test_version(self):
        code, out, _ = run('--version')
        self.assertEqual(code, 0)
        self.assertRegex(out, r'^berylhollow \d+\.\d+\.\d+\n$')

    def test_unknown_command_is_invalid(self):
        code, _, err = run('nonsense')
        self.assertEqual(code, exits.ExitCode.INVALID)
        self.assertIn('nonsense', err)

    def test_user_error_is_one_line(self):
        error = ui.UserError('no such file', exits.ExitCode.CONFLICT)
        with patch_command_to_raise(error):
            code, _, err = run('settings')
        self.assertEqual(code, 3)
        self.assertEqual(err, 'berylhollow: no such file\n')

    def test_unexpected_error_is_one_line_without_debug(self):
        with patch_command_to_raise(KeyError('x')):
            code, _, err = run('settings')
        self.assertEqual(code, 1)
        self.assertEqual(err, "berylhollow: KeyError: 'x'\n")

    def test_error_kind_gives_its_exit_code(self):
        kinds = errors.Kind
        for kind, expected in ((kinds.LEAVING, 4), (kinds.BAD_REQUEST, 2)):
            error = errors.BerylhollowError(kind, 'why')
            with patch_command_to_raise(error):
                code, _, err = run('settings')
            self.assertEqual((code, err), (expected, 'berylhollow: why\n'))

    def test_debug_shows_the_traceback(self):
        for argv in (('--debug', 'settings'), ('settings', '--debug')):
            with patch_command_to_raise(KeyError('x')):
                _, _, err = run(*argv)
            self.assertIn('Traceback', err)

    def test_each_command_has_help_with_an_example(self):
        for command in commands.COMMANDS:
            with self.subTest(command.name):
                code, out, _ = run(*command.words, '--help')
                self.assertEqual(code, 0)
                self.assertIn('example:\n  berylhollow ', out)

    def test_other_commands_stay_unimported(self):
        # A gateway that also loads the report's plotting library would exceed
        # its memory limit, so the table must name modules, not import them.
        modules = [command.module for command in commands.COMMANDS]
        code = (
            'import sys\nfrom berylhollow import ui\n'
            'ui.build_parser(["--version"])\n'
            f'print([name for name in {modules!r} if name in sys.modules])'
        )
        done = subprocess.run(
            [sys.executable, '-c', code], capture_output=True, check=True
        )
        self.assertEqual(done.stdout, b'[]\n')


class SettingsCommandTest(unittest.TestCase):
    def test_json_has_default_and_unit(self):
        code, out, _ = run('settings', 'gateway', '--format', 'json')
        self.assertEqual(code, 0)
        rows = {row['path']: row for row in json.loads(out)}
        row = rows['deadline_ms']
        self.assertEqual((row['default'], row['unit']), ('30000', 'ms'))
        self.assertIsNone(rows['link_key']['default'])

    def test_text_names_every_option(self):
        _, out, _ = run('settings')
        self.assertIn('sidecar.listen.port = 8100\n', out)

    def test_check_needs_a_role_and_a_file(self):
        self.assertEqual(run('settings', '--check', 'x')[0], 2)
        code, _, err = run('settings', 'engine', '--check', '/nonexistent')
        self.assertEqual(code, 2)
        self.assertIn('/nonexistent', err)
