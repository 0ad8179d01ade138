"""What a node's file makes of the settings of its processes."""

import unittest

from berylhollow.hosted import gateway_process
from test import platform_builders as builders


class ListPauseTest(unittest.TestCase):
    def pause_ms(self, leave_ms):
        node = builders.node(leave_ms=leave_ms)
        return gateway_process.list_pause_ms(node)

    def test_list_is_read_thrice_before_a_leaving_endpoint_is_gone(self):
        self.assertEqual(666, self.pause_ms(2000))

    def test_new_endpoint_is_found_however_long_others_leave(self):
        self.assertEqual(800, self.pause_ms(60_000))

    def test_endpoint_that_leaves_at_once_does_not_stop_the_reads(self):
        self.assertEqual(1, self.pause_ms(0))


class LostListPauseTest(unittest.TestCase):
    """How often a list that is lost is asked for."""

    def pause_ms(self, contact_ms):
        node = builders.node(leave_ms=4000, contact_ms=contact_ms)
        return gateway_process.lost_list_pause_ms(node)

    def test_return_of_the_store_is_known_in_time(self):
        self.assertEqual(350, self.pause_ms(3000))

    def test_store_that_is_down_is_not_asked_more_often_than_needed(self):
        """Sixty-eight gateways asked a store that was down thrice a second.

        Each call has its price there, and five seconds were allowed.
        """
        self.assertEqual(800, self.pause_ms(5000))

    def test_bound_that_leaves_no_time_for_a_hold(self):
        self.assertEqual(200, self.pause_ms(1000))
        node = builders.node(contact_ms=1000)
        listed = gateway_process.endpoint_list(node, None, None)
        self.assertEqual(600, listed.lapses.return_ms)


class SettingsTest(unittest.TestCase):
    def test_reducer_and_shell_read_the_list_at_one_pace(self):
        node = builders.node(leave_ms=2000)
        settings = gateway_process.gateway_settings(node)
        state = gateway_process.gateway_state(node, settings)
        self.assertEqual(666, settings.instance_poll_ms)
        self.assertEqual(666, state.options.instance_poll_ms)
