"""What a process leaves out to start sooner, and when it must not."""

import gc
import os
import unittest
from unittest import mock

from berylhollow.util import startup

HOSTED = ('gateway', '--on-platform')


class CertificatesTest(unittest.TestCase):
    def after(self, arguments, **environment):
        """Return what a process finds in its environment once hastened."""
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        with mock.patch.dict(os.environ, environment, clear=True):
            startup.hasten(arguments)
            return dict(os.environ)

    def test_process_that_speaks_in_the_clear_reads_none(self):
        found = self.after(HOSTED)
        self.assertEqual({'SSL_CERT_FILE': os.devnull}, found)

    def test_what_an_operator_trusts_is_kept(self):
        """An operator names a file of certificates for the process.

        It was replaced by an empty one, and every connection over TLS would
        have been refused with nothing in the log to say why.
        """
        for name in startup.TRUST_VARIABLES:
            with self.subTest(name=name):
                expected = {name: '/etc/trusted'}
                self.assertEqual(expected, self.after(HOSTED, **expected))

    def test_settings_of_our_own_may_name_an_address_over_tls(self):
        arguments = ('gateway', '--settings', 'gateway.jsonc')
        self.assertEqual({}, self.after(arguments))
