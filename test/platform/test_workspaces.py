"""Tests of workspaces and their keys in the platform's format."""

import unittest

from aiohttp import test_utils
import multidict

from berylhollow import messages
from berylhollow import platform
from berylhollow.platform import _endpoint_calls
from berylhollow import routes
from berylhollow import workspaces
from test import builders as common_builders
from test import platform_builders as builders

KEY = 'asnmgkcuyj8pjbvk9m68'


def decode_workspaces(*entries):
    record = builders.configuration_record(workspaces=list(entries))
    return platform.decode_configuration_record(record).workspaces


def accept_request(*headers, path='/lohu930/x'):
    pairs = multidict.CIMultiDict([('Host', builders.HOST), *headers])
    request = test_utils.make_mocked_request('POST', path, pairs)
    return platform.CallerDialect().parse_head(request, 5000)


class DecodeTest(unittest.TestCase):
    def test_workspace_with_keys_priority_and_quota(self):
        (found,) = decode_workspaces(
            builders.workspace(
                'hule930', KEY, 'other', Priority=1, **builders.quota(64811)
            )
        )
        self.assertEqual('hule930', found.name)
        keys = {workspaces.digest(KEY), workspaces.digest('other')}
        self.assertEqual(keys, found.keys)
        self.assertEqual(1, found.priority)
        quota = workspaces.Quota(workspaces.Unit.TOKENS, 64811, 64811, 200)
        self.assertEqual(quota, found.quota)

    def test_rate_of_zero_or_none_is_no_limit(self):
        for limits in ({}, builders.quota(0, 500)):
            (found,) = decode_workspaces(
                builders.workspace('w', KEY, **limits)
            )
            self.assertIsNone(found.quota)

    def test_own_priority_is_told_apart_from_none(self):
        first, second = decode_workspaces(
            builders.workspace('a', Priority=0), builders.workspace('b')
        )
        self.assertEqual((0, None), (first.priority, second.priority))

    def test_malformed_workspaces_are_refused_without_their_keys(self):
        """A key in a log line could be used by anyone who reads the log."""
        for entries in (
            [builders.workspace(5, KEY)],
            [builders.workspace('w', KEY) | {'ApiKeys': KEY}],
            [builders.workspace('w', KEY) | {'ApiKeys': [KEY, 5]}],
            [builders.workspace('w', KEY, Priority='1')],
            [builders.workspace('w', KEY, **builders.quota(1, Unit='x'))],
            [builders.workspace('w', KEY, **builders.quota('1'))],
            [builders.workspace('w', KEY), builders.workspace('v', KEY)],
            [builders.workspace('w', KEY), builders.workspace('w', 'v')],
            [builders.workspace('w\r\nx: y', KEY)],
        ):
            with self.subTest(entries=entries):
                with self.assertRaises(routes.MalformedRecordError) as caught:
                    decode_workspaces(*entries)
                self.assertNotIn(KEY, str(caught.exception))

    def test_route_may_be_open_to_all(self):
        record = builders.configuration_record(
            routes=[builders.route(AllowAnonymous=True), builders.route('b')]
        )
        found = platform.decode_configuration_record(record).routes
        self.assertEqual([True, False], [route.public for route in found])


class HeadTest(unittest.TestCase):
    def test_head_tells_key_path_and_tokens(self):
        head = accept_request(
            ('api-KEY', KEY), ('Token-Count', '1460,80')
        ).head
        self.assertEqual(workspaces.digest(KEY), head.credential)
        self.assertEqual('/lohu930/x', head.path)
        self.assertEqual(builders.HOST, head.host)
        self.assertEqual(1540, head.tokens)

    def test_no_key_two_keys_and_impossible_keys_are_none(self):
        for headers in (
            (),
            (('Api-Key', ''),),
            (('Api-Key', KEY), ('Api-Key', KEY)),
            (('Api-Key', KEY), ('API-KEY', 'other')),
            (('Api-Key', KEY * 100),),
        ):
            with self.subTest(headers=headers):
                self.assertIsNone(accept_request(*headers).head.credential)

    def test_key_and_claimed_workspace_reach_no_endpoint(self):
        """A caller sends other workspaces' names, in any case and number.

        The endpoint would run the request for that workspace, and with the
        key it could send requests as the caller.
        """
        request = accept_request(
            ('Api-Key', KEY),
            ('aPI-kEY', KEY),
            ('Tenant', 'other'),
            ('tENANT', 'third'),
            ('X-More', 'kept'),
        ).build('r1', b'')
        names = [header.name for header in request.headers]
        self.assertEqual(['X-More'], names)
        offer = common_builders.offer(
            caller='hule930', headers=request.headers
        )
        sent = _endpoint_calls._request_headers(offer, 'i-1')
        self.assertEqual(['hule930'], sent.getall('Tenant'))
        self.assertNotIn(KEY, str(sent))

    def test_nobody_is_named_for_a_caller_without_a_workspace(self):
        offer = common_builders.offer(
            caller='', headers=(messages.Header('X-More', 'kept'),)
        )
        self.assertNotIn(
            'Tenant', _endpoint_calls._request_headers(offer, 'i-1')
        )
