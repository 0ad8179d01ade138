"""Tests of decoding records from other writers in the store's streams.

Whatever a record contains, it must decode to an entry or to None, or raise
``MalformedRecordError``, so that the reader can continue with the next one.
"""

import json
import unittest

import hypothesis
from hypothesis import strategies

from berylhollow import events
from berylhollow import messages
from berylhollow import platform
from berylhollow.platform import _order
from berylhollow import routes
from test import platform_builders as builders

STARTED_MS = 1_790_000_000_000
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=5,
)
DETERMINISTIC = hypothesis.settings(
    derandomize=True, max_examples=300, database=None, deadline=None
)
INVALID_FIELDS = (
    ('Service', None),
    ('Service', ''),
    ('Service', ['huvo11a']),
    ('Service', True),
    ('Address', None),
    ('Address', 'host:80'),
    ('Address', '10.0.0.1'),
    ('Address', '10.0.0.1:0'),
    ('Address', '10.0.0.1:99999999'),
    ('Address', '10.0.0.1:8\u0660'),
    ('Address', 80),
    ('State', None),
    ('State', 'resting'),
    ('State', ['ready']),
    ('Slots', '64'),
    ('Slots', True),
    ('Slots', -1),
    ('Slots', 1e300),
    ('Slots', float('nan')),
    ('Slots', 10**400),
    ('Zone', 7),
    ('Zone', '\ud800'),
    ('Service', 'huvo\udce5'),
    ('Version', 7),
    ('Version', 'v\ud800'),
    ('Models', 'm'),
    ('Models', [7]),
    ('Models', [{'Version': 1}]),
    ('Models', [{'Name': 'm', 'Adapters': 'a1'}]),
    ('Models', [{'Name': 'm', 'Adapters': [1]}]),
    ('Models', [{'Name': 'm', 'Adapters': ['a1@x']}]),
    ('Models', [{'Name': 'm', 'Adapters': ['a\ud800@1']}]),
    ('born', str(STARTED_MS)),
    ('born', STARTED_MS + 0.5),
    ('born', True),
    ('born', -STARTED_MS),
    ('born', [STARTED_MS]),
)


def decode_or_none(record):
    """Return the decoded name and entry, None if malformed."""
    try:
        name, row = platform.decode_instance(record)
    except routes.MalformedRecordError:
        return None
    if row is not None:
        json.dumps([row.service, row.address, row.failure_domain])
    return name, row


class EntryTest(unittest.TestCase):
    def test_start_makes_the_incarnation(self):
        """A restarted endpoint of the same name was taken for the old one."""
        rows = [
            platform.decode_instance(
                builders.keyed('i-1', builders.entry(born=born))
            )[1]
            for born in (STARTED_MS, STARTED_MS + 1)
        ]
        self.assertEqual(
            messages.Incarnation('i-1', STARTED_MS), rows[0].incarnation
        )
        self.assertNotEqual(rows[0].instance, rows[1].instance)
        self.assertEqual('i-1', rows[1].listed_name)

    def test_wrong_values_name_no_endpoint(self):
        for field, value in INVALID_FIELDS:
            with self.subTest(field=field, value=value):
                entry = builders.entry(**{field: value})
                with self.assertRaises(routes.MalformedRecordError) as raised:
                    platform.decode_instance(builders.keyed('i-1', entry))
                self.assertEqual('i-1', raised.exception.key)

    def test_bytes_that_are_no_document(self):
        for value in (b'{', b'[1]', b'"ready"', b'\xff\xfe', b'[' * 100_000):
            with self.subTest(value=value[:8]):
                with self.assertRaises(routes.MalformedRecordError):
                    platform.decode_instance(b'\x03i-1' + value)

    def test_keys_that_can_not_be_read(self):
        for record in (b'', b'\x00{}', b'\x09i-1', b'\x02\xff\xfe{}'):
            with self.subTest(record=record):
                with self.assertRaises(routes.MalformedRecordError) as raised:
                    platform.decode_instance(record)
                self.assertEqual('', raised.exception.key)

    @DETERMINISTIC
    @hypothesis.given(strategies.binary(max_size=64))
    def test_any_bytes(self, record):
        decode_or_none(record)

    @DETERMINISTIC
    @hypothesis.given(
        strategies.sampled_from(sorted(builders.entry(born=1))), JSON_VALUES
    )
    def test_any_value_in_any_field(self, field, value):
        found = decode_or_none(
            builders.keyed('i-1', builders.entry(**{field: value}))
        )
        if found is not None:
            self.assertIsInstance(found[1], events.Instance)


class NewsTest(unittest.TestCase):
    def test_versions_of_other_types(self):
        """The string '7' was taken for an integer, and true for 1."""
        for version in ('7', True, 7.0, -1, None, [7], 10**400):
            with self.subTest(version=version):
                with self.assertRaises(routes.MalformedRecordError):
                    platform.decode_configuration_record(
                        builders.version_record('a3', version)
                    )
                with self.assertRaises(routes.MalformedRecordError):
                    platform.decode_configuration_record(
                        builders.configuration_record(version)
                    )

    @DETERMINISTIC
    @hypothesis.given(
        strategies.sampled_from(sorted(builders.route())), JSON_VALUES
    )
    def test_any_value_in_any_field_of_a_route(self, field, value):
        route = builders.route(**{field: value})
        record = builders.configuration_record(routes=[route])
        try:
            news = platform.decode_configuration_record(record)
        except routes.MalformedRecordError:
            return
        self.assertIsInstance(news, routes.RouteTable)


class ReportTest(unittest.TestCase):
    REPORT = {
        'Stage': 'both',
        'Models': [{'Name': 'm', 'Adapters': ['a1@2']}],
        'Busy': False,
        'Seq': 2,
        'Queued': 1,
        'Active': 12,
        'Pending': ['m/a2@1'],
        'born': STARTED_MS,
    }

    def test_report_tells_its_start(self):
        state = _order._parse_state(self.REPORT)
        self.assertEqual(STARTED_MS, state.started_ms)
        self.assertEqual(2, state.orders)

    @DETERMINISTIC
    @hypothesis.given(strategies.sampled_from(sorted(REPORT)), JSON_VALUES)
    def test_any_value_in_any_field(self, field, value):
        try:
            _order._parse_state(self.REPORT | {field: value})
        except routes.MalformedRecordError:
            return
