"""Tests of decoding the records of the platform's store."""

import unittest

from berylhollow import messages
from berylhollow import platform
from berylhollow import routes
from test import platform_builders as builders


class NewsTest(unittest.TestCase):
    def test_routes_become_a_table(self):
        table = platform.decode_configuration_record(
            builders.configuration_record(9)
        )
        self.assertEqual(9, table.version)
        stream, plain = table.routes
        self.assertIs(routes.RepeatPolicy.STREAM, stream.repeat)
        self.assertIs(routes.RepeatPolicy.ONCE, plain.repeat)
        self.assertEqual(1500, plain.timeout_ms)
        self.assertEqual((routes.ServiceShare('wuno96b', 1.0),), plain.shares)
        model, other = table.services
        self.assertEqual(6, model.engine.adapter_slots)
        self.assertIsNone(other.engine)

    def test_longest_header_line_is_the_configured_one(self):
        record = builders.configuration_record()
        table = platform.decode_configuration_record(record)
        view = routes.RouteView.from_table(table, {})
        self.assertEqual(16384, view.header_bytes)

    def test_split_of_a_route_keeps_its_weights(self):
        split = [
            {'Service': 'huvo11a', 'Weight': 90},
            {'Service': 'wuno96b', 'Weight': 10},
        ]
        record = builders.configuration_record(
            routes=[builders.route(TrafficSplit=split)]
        )
        (route,) = platform.decode_configuration_record(record).routes
        self.assertEqual([90, 10], [share.weight for share in route.shares])

    def test_new_version_of_an_adapter(self):
        news = platform.decode_configuration_record(
            builders.version_record('a3', 5)
        )
        named = messages.AdapterVersion(builders.adapter_name('a3'), '5')
        self.assertEqual(routes.NewAdapterVersion(named), news)

    def test_other_records_are_no_news(self):
        self.assertIsNone(
            platform.decode_configuration_record(builders.keyed('x', {}))
        )
        self.assertIsNone(
            platform.decode_configuration_record(
                builders.keyed('config', None)
            )
        )

    def test_malformed_records_are_told_apart(self):
        for data in (
            b'',
            b'\x09con',
            builders.keyed('config', {'Version': 'x'}),
            builders.keyed('config', [1]),
            b'\x06config{',
        ):
            with self.subTest(data=data):
                with self.assertRaises(routes.MalformedRecordError):
                    platform.decode_configuration_record(data)


class InstanceTest(unittest.TestCase):
    def test_entry_becomes_a_direct_endpoint(self):
        record = builders.keyed('i-1', builders.entry('10.1.0.4:80'))
        name, row = platform.decode_instance(record)
        self.assertEqual('i-1', name)
        self.assertTrue(row.direct)
        self.assertFalse(row.leaving)
        held = messages.AdapterVersion(builders.adapter_name('a3'), '1')
        self.assertEqual((held,), row.adapters)
        self.assertEqual((builders.MODEL,), row.models)

    def test_draining_entry_is_leaving(self):
        record = builders.keyed('i-1', builders.entry(State='draining'))
        self.assertTrue(platform.decode_instance(record)[1].leaving)

    def test_dropped_key_has_left(self):
        record = builders.keyed('i-1', None)
        self.assertEqual(('i-1', None), platform.decode_instance(record))
