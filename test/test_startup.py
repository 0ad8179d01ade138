"""Tests of skipping the certificates at startup, and when not to."""

import gc
import os
import signal
import subprocess
import sys
import unittest
from unittest import mock

from berylhollow.util import startup

ARGUMENTS_WITHOUT_TLS = ('gateway', '--on-platform')


class CertificatesTest(unittest.TestCase):
    def environment_after(self, arguments, **environment):
        """Return the environment of a process after ``speed_up_imports``."""
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        with mock.patch.dict(os.environ, environment, clear=True):
            startup.speed_up_imports(arguments)
            return dict(os.environ)

    def test_process_without_tls_reads_no_certificates(self):
        found = self.environment_after(ARGUMENTS_WITHOUT_TLS)
        self.assertEqual({'SSL_CERT_FILE': os.devnull}, found)

    def test_certificate_variables_of_an_operator_are_kept(self):
        """Guards against replacing an operator's certificate file.

        With an empty file in its place every TLS connection would fail to
        verify, and no log line would give the reason.
        """
        for name in startup.CERTIFICATE_VARIABLES:
            with self.subTest(name=name):
                expected = {name: '/etc/trusted'}
                self.assertEqual(
                    expected,
                    self.environment_after(ARGUMENTS_WITHOUT_TLS, **expected),
                )

    def test_settings_file_may_name_an_address_that_needs_tls(self):
        arguments = ('gateway', '--settings', 'gateway.jsonc')
        self.assertEqual({}, self.environment_after(arguments))


PROGRAM = """
import os, signal, sys, unittest.mock
from berylhollow import __main__, ui
signal.signal(signal.SIGHUP, signal.SIG_DFL)
def run(arguments):
    os.kill(os.getpid(), signal.SIGHUP)
    return 7
with unittest.mock.patch.object(ui, 'main', run):
    sys.exit(__main__.main())
"""
"""Runs a command whose process gets a signal before it handles any.

It may have inherited that the signal is ignored, as from nohup.
"""


class HangupTest(unittest.TestCase):
    def exit_code(self, *arguments):
        done = subprocess.run(
            [sys.executable, '-c', PROGRAM, *arguments], check=False
        )
        return done.returncode

    def test_changed_settings_do_not_end_a_service_that_starts(self):
        """Guards against gateways that end while they are still importing."""
        self.assertEqual(7, self.exit_code('gateway', '--on-platform'))
        self.assertEqual(7, self.exit_code('sidecar', '--on-platform'))

    def test_short_command_ends_with_its_terminal(self):
        """Guards against commands that outlive the terminal they ran in."""
        self.assertEqual(-signal.SIGHUP, self.exit_code('status'))
