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


class SettingsTest(unittest.TestCase):
    def test_reducer_and_shell_read_the_list_at_one_pace(self):
        node = builders.node(leave_ms=2000)
        settings = gateway_process.gateway_settings(node)
        state = gateway_process.gateway_state(node, settings)
        self.assertEqual(666, settings.instance_poll_ms)
        self.assertEqual(666, state.options.instance_poll_ms)
