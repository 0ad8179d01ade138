"""Settings that the gateway process derives from a node file."""

import unittest

from berylhollow.hosted import gateway_process
from test import platform_builders as builders


class ListIntervalTest(unittest.TestCase):
    def interval_ms(self, leave_ms):
        node = builders.node(endpoint_drain_ms=leave_ms)
        return gateway_process.list_interval_ms(node)

    def test_list_is_read_three_times_while_an_endpoint_leaves(self):
        self.assertEqual(666, self.interval_ms(2000))

    def test_interval_is_limited_however_long_endpoints_serve_on(self):
        self.assertEqual(800, self.interval_ms(60_000))

    def test_interval_is_positive_if_leaving_endpoints_serve_no_more(self):
        self.assertEqual(1, self.interval_ms(0))


class StaleListIntervalTest(unittest.TestCase):
    """How often a stale endpoint list is read."""

    def interval_ms(self, contact_ms):
        node = builders.node(
            endpoint_drain_ms=4000, recovery_limit_ms=contact_ms
        )
        return gateway_process.stale_list_interval_ms(node)

    def test_return_of_the_store_is_noticed_in_time(self):
        self.assertEqual(350, self.interval_ms(3000))

    def test_store_that_is_down_is_read_no_more_often_than_needed(self):
        """Each read of a store that is down costs a call.

        Each of sixty-eight gateways read it three times a second, though the
        platform allowed five seconds until every promise holds again.
        """
        self.assertEqual(800, self.interval_ms(5000))

    def test_contact_ms_that_leaves_no_time_for_a_hold(self):
        self.assertEqual(200, self.interval_ms(1000))
        node = builders.node(recovery_limit_ms=1000)
        directory = gateway_process.endpoint_list(node, None, None)
        self.assertEqual(600, directory.held_removals.hold_ms)


class SettingsTest(unittest.TestCase):
    def test_limit_of_superseded_versions_is_the_platforms(self):
        node = builders.node(version_limit_ms=3000)
        settings = gateway_process.gateway_settings(node)
        state = gateway_process.gateway_state(node, settings)
        self.assertEqual(3000, state.options.version_limit_ms)

    def test_reducer_and_shell_read_the_list_at_the_same_interval(self):
        node = builders.node(endpoint_drain_ms=2000)
        settings = gateway_process.gateway_settings(node)
        state = gateway_process.gateway_state(node, settings)
        self.assertEqual(666, settings.instance_poll_ms)
        self.assertEqual(666, state.options.instance_poll_ms)
