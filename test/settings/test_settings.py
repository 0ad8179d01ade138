"""Tests of loading, validating and describing settings."""

import dataclasses
import json
import pathlib
import tempfile
import unittest

import json5

import berylhollow
from berylhollow import settings

REQUIRED = {
    'instance': 'one',
    'failure_domain': 'sal-kista',
    'link_key': '0123456789abcdef',
}
GATEWAY = REQUIRED | {'platform': {'url': 'http://127.0.0.1:8001'}}


def load_text(text, role='gateway'):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'settings.jsonc')
        path.write_text(text, encoding='utf-8')
        return settings.load(path, role)


class ParseTest(unittest.TestCase):
    def faults(self, mapping, role='gateway'):
        with self.assertRaises(settings.SettingsError) as caught:
            settings.parse(mapping, role)
        self.assertEqual(caught.exception.exit_code, 2)
        return {fault.path: fault.message for fault in caught.exception.faults}

    def test_absent_options_take_their_defaults(self):
        gateway = settings.parse(GATEWAY, settings.Role.GATEWAY)
        self.assertIsInstance(gateway, settings.GatewaySettings)
        self.assertEqual(gateway.listen.port, 8080)
        self.assertEqual(gateway.platform.url, 'http://127.0.0.1:8001')
        self.assertEqual(gateway.stop_grace_ms, 600_000)
        self.assertIs(gateway.log.level, settings.LogLevel.INFO)

    def test_settings_are_frozen(self):
        gateway = settings.parse(GATEWAY, 'gateway')
        with self.assertRaises(dataclasses.FrozenInstanceError):
            gateway.listen.port = 1

    def test_secret_is_not_shown(self):
        gateway = settings.parse(GATEWAY, 'gateway')
        self.assertNotIn(REQUIRED['link_key'], repr(gateway))

    def test_empty_settings_name_every_required_option(self):
        self.assertEqual(
            set(self.faults({}, 'sidecar')),
            {
                'instance',
                'failure_domain',
                'link_key',
                'platform.url',
                'service',
                'endpoint.url',
            },
        )

    def test_every_fault_is_named_at_once(self):
        faults = self.faults(
            {
                'instance': 5,
                'failure_domain': '',
                'link_key': 'short',
                'platform': {'url': 'http://platform.local:80'},
                'listen': {'host': 'localhost', 'port': 65_536, 'prot': 1},
                'peers': 3,
                'retry': {'share': float('nan')},
                'limits': {'caller_in_flight': True},
                'log': {'level': 'loud'},
                'deadline': 4,
            }
        )
        self.assertEqual(
            set(faults),
            {
                'instance',
                'failure_domain',
                'link_key',
                'platform.url',
                'listen.host',
                'listen.port',
                'listen.prot',
                'peers',
                'retry.share',
                'limits.caller_in_flight',
                'log.level',
                'deadline',
            },
        )
        self.assertIn('host name', faults['platform.url'])
        self.assertIn('host name', faults['listen.host'])
        self.assertNotIn('short', faults['link_key'])

    def test_bad_urls_are_rejected(self):
        for url in (
            'https://127.0.0.1:80',
            'http://127.0.0.1',
            'http://127.0.0.1:99999',
            'http://127.0.0.1:80/path',
            'http://user@127.0.0.1:80',
            'http://127.0.0.1:80?x=1',
            'http://[::1',
            '127.0.0.1:80',
        ):
            with self.subTest(url):
                faults = self.faults(REQUIRED | {'platform': {'url': url}})
                self.assertEqual(set(faults), {'platform.url'})

    def test_ipv6_url_is_accepted(self):
        mapping = REQUIRED | {'platform': {'url': 'http://[::1]:80/'}}
        gateway = settings.parse(mapping, 'gateway')
        self.assertEqual(gateway.platform.url, 'http://[::1]:80')

    def test_not_an_object(self):
        self.assertEqual(set(self.faults([])), {'(top level)'})


class LoadTest(unittest.TestCase):
    def faults(self, text):
        with self.assertRaises(settings.SettingsError) as caught:
            load_text(text)
        return caught.exception.faults

    def test_comments_and_trailing_commas(self):
        text = '// for one gateway\n' + json.dumps(GATEWAY)[:-1]
        gateway = load_text(text + ', /* rest */ "tick_ms": 25,}')
        self.assertEqual(gateway.tick_ms, 25)

    def test_key_written_twice_is_a_fault(self):
        # Guards against a changed option without effect: JSON parsers keep
        # only the last of two equal keys, so a limit raised near the top of
        # the file was overridden by a later line.
        text = json.dumps(GATEWAY)[:-1]
        faults = self.faults(
            text + ', "tick_ms": 1, "tick_ms": 2,'
            ' "listen": {"port": 1, "port": 2}}'
        )
        paths = {fault.path for fault in faults}
        self.assertEqual(paths, {'tick_ms', 'listen.port'})

    def test_broken_text_and_absent_file(self):
        self.assertEqual(len(self.faults('{"instance": ')), 1)
        self.assertEqual(len(self.faults('[' * 100_000)), 1)
        with self.assertRaises(settings.SettingsError):
            settings.load('/nonexistent/settings.jsonc', 'gateway')


class DescribeTest(unittest.TestCase):
    def test_each_option_is_explained(self):
        for row in settings.describe():
            with self.subTest(f'{row.role}.{row.path}'):
                self.assertTrue(row.meaning.endswith('.'))
                if row.path.endswith('_ms'):
                    self.assertEqual(row.unit, 'ms')

    def test_shipped_defaults_are_valid_for_each_role(self):
        path = pathlib.Path(berylhollow.__file__).parent / 'defaults.jsonc'
        shipped = json5.loads(path.read_text(encoding='utf-8'))
        self.assertEqual(list(shipped), list(settings.Role))
        url = {'url': 'http://127.0.0.1:1'}
        for role, section in shipped.items():
            with self.subTest(role):
                bare = {} if role == 'replay' else dict(REQUIRED)
                if 'platform' in section:
                    bare['platform'] = url
                if role == 'sidecar':
                    bare |= {'service': 'vaxel-ai', 'endpoint': url}
                full = section | bare
                if role == 'sidecar':
                    full['endpoint'] = section['endpoint'] | url
                self.assertEqual(
                    settings.parse(full, role), settings.parse(bare, role)
                )
