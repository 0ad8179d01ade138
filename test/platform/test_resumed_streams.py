"""How callers name a stream that they take up again."""

import unittest

from aiohttp import test_utils

from berylhollow import platform
from berylhollow import routes
from test import platform_builders as builders


def parse(*headers):
    """Return the request with these headers, as the reducer gets it."""
    request = test_utils.make_mocked_request(
        'POST', '/lohu930/2f', headers=[('Host', builders.HOST), *headers]
    )
    draft = platform.CallerDialect().parse_head(request, 5000)
    return draft.build('r1', b'')


class HeaderTest(unittest.TestCase):
    def test_stream_is_named_by_its_first_request(self):
        request = parse(
            ('Request-Id', 'b2'), ('Last-Event-Id', '7'), ('Resumes', 'a1')
        )
        self.assertEqual('b2', request.caller_request_id)
        self.assertEqual('a1', request.resumption.stream_id)

    def test_new_stream_takes_none_up(self):
        self.assertIsNone(parse(('Request-Id', 'b2')).resumption)

    def test_either_header_takes_a_stream_up(self):
        """Guards against streams that go on anywhere for want of a header."""
        self.assertEqual(
            '', parse(('Last-Event-ID', '7')).resumption.stream_id
        )
        self.assertEqual('a1', parse(('resumes', 'a1')).resumption.stream_id)

    def test_repeated_long_or_unreadable_id_names_no_stream(self):
        """Guards against an id that is taken for that of another stream."""
        for headers in (
            [('Resumes', 'a1'), ('Resumes', 'a2')],
            [('Resumes', '')],
            [('Resumes', 'x' * 257)],
            [('Resumes', 'a\xe51')],
        ):
            with self.subTest(headers=headers):
                self.assertEqual('', parse(*headers).resumption.stream_id)

    def test_unreadable_request_id_is_not_kept(self):
        """Guards against a stream under an id that no caller can name."""
        self.assertEqual('', parse(('Request-Id', 'a\xe51')).caller_request_id)


class EntryTest(unittest.TestCase):
    def decode(self, **changes):
        value = builders.entry(**changes)
        return platform.decode_instance(builders.keyed('i-1', value))[1]

    def test_entry_names_the_software_version(self):
        self.assertEqual('v1', self.decode().software_version)
        self.assertEqual('v2', self.decode(Version='v2').software_version)

    def test_entry_without_a_version_has_none(self):
        """Guards against endpoints that are lost for a missing field."""
        self.assertEqual('', self.decode(Version=None).software_version)

    def test_entry_tells_the_time_left_before_a_removal(self):
        self.assertIsNone(self.decode().removed_in_ms)
        leaving = self.decode(State='draining', RemainingMs=1500)
        self.assertEqual(1500, leaving.removed_in_ms)
        with self.assertRaises(routes.MalformedRecordError):
            self.decode(State='draining', RemainingMs='soon')

    def test_version_of_another_type_is_malformed(self):
        """Guards against an entry of another writer taken for a version."""
        with self.assertRaises(routes.MalformedRecordError):
            self.decode(Version=2)
