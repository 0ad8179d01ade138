"""A log that has lost its newest configuration, and gateways that start."""

import unittest

from test.hosted import rated_link
from test.hosted import slow_links
from test.hosted import test_slow_links

LOST_AT_MS = 8000
SERVED_AT_MS = LOST_AT_MS + 2000
END_MS = 14_000


async def lose_newest(world):
    """Publish version 2, lose it, and replace all gateways."""
    await rated_link.sleep_ms(4000)
    older = world.store.copy()
    await world.publish(
        slow_links.configuration(2, slow_links.NEW_SERVICE, 40)
    )
    await rated_link.sleep_ms(LOST_AT_MS - 4000)
    await world.store.come_back(older)
    await world.replace_gateways()


class LostNewestTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.world = test_slow_links.play(lose_newest, END_MS)

    def test_gateways_that_start_use_the_version_that_the_log_lost(self):
        """Guards against refusals until an operator writes again."""
        refused = [x for x in self.world.refused if x.at_ms > SERVED_AT_MS]
        self.assertEqual(0, len(refused))

    def test_lost_version_stays_in_force(self):
        services = {
            routed.service
            for routed in self.world.routed
            if routed.at_ms > SERVED_AT_MS
        }
        self.assertEqual({slow_links.NEW_SERVICE}, services)
