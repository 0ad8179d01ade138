"""Configurations that are large for the links of the gateways."""

import unittest

from test.hosted import rated_link
from test.hosted import slow_links
from test import virtual_loop

FAST_LINK = 25_000
SLOW_LINK = 625
"""Bytes per millisecond: 200 and 5 Mbit/s."""

CALLERS_SHARE = 0.4
"""Share of a link's rate that callers and endpoints use."""

ROUTE_COUNT = 1400
GROWN_ROUTE_COUNT = 4200
CONFIGURATION_LIMIT_MS = 3000
KEY_LIMIT_MS = 5000
IN_FORCE_EVERYWHERE_MS = 1000


def play(
    operate,
    until_ms=14_000,
    rates=(FAST_LINK, *[SLOW_LINK] * 4),
    first_route_count=40,
    start_pause_ms=70,
    domains=(),
):
    """Return the world after an operator's work; it ran on virtual time."""

    async def run():
        world = slow_links.World(
            rates,
            CALLERS_SHARE,
            first_route_count,
            start_pause_ms,
            domains,
            key_revocation_limit_ms=KEY_LIMIT_MS,
        )
        await world.run(operate, until_ms)
        return world

    return virtual_loop.run(run())


def publishing(*versions, route_count=ROUTE_COUNT, pause_ms=2333, at_ms=6300):
    """Return an operator that publishes versions with a pause between them."""

    async def operate(world):
        await rated_link.sleep_ms(at_ms)
        for version in versions:
            await world.publish(
                slow_links.configuration(
                    version, slow_links.NEW_SERVICE, route_count
                )
            )
            await rated_link.sleep_ms(pause_ms)

    return operate


def last_late_ms(world, bound_ms):
    """Return when each gateway last used the old service after a time."""
    return {
        routed.gateway: routed.at_ms
        for routed in world.routed
        if routed.service == slow_links.OLD_SERVICE and routed.at_ms > bound_ms
    }


class StartTest(unittest.TestCase):
    def test_gateway_starts_with_thousands_of_routes(self):
        """It never finished its first read and never became ready."""

        async def idle(world):
            pass

        world = play(idle, until_ms=8000, first_route_count=GROWN_ROUTE_COUNT)
        revisions = [gateway.state.revision for gateway in world.gateways]
        self.assertEqual([1] * 5, revisions)


class ConfigurationInForceTest(unittest.TestCase):
    def test_request_is_not_routed_by_the_table_before(self):
        """A request ran on a service that its route had left 3 s before."""
        # The first version is written as the checks of the keys begin.
        world = play(publishing(13, 15, at_ms=6000), start_pause_ms=0)
        bound_ms = world.confirmed_ms[13] + CONFIGURATION_LIMIT_MS
        self.assertEqual({}, last_late_ms(world, bound_ms))

    def test_thousands_of_routes_are_in_force_in_time(self):
        """A table that a slow link carries in four seconds was read by all."""
        world = play(publishing(13, route_count=GROWN_ROUTE_COUNT))
        bound_ms = world.confirmed_ms[13] + CONFIGURATION_LIMIT_MS
        self.assertEqual({}, last_late_ms(world, bound_ms))

    def test_gateway_that_can_not_get_a_version_refuses_in_time(self):
        """It was known to be outdated and served callers without a limit."""
        publish = publishing(13)

        async def operate(world):
            await rated_link.sleep_ms(6000)
            world.gateways[1].cut_off()
            await publish(world)

        world = play(operate, until_ms=20_000)
        bound_ms = world.confirmed_ms[13] + CONFIGURATION_LIMIT_MS
        self.assertEqual({}, last_late_ms(world, bound_ms))
        kinds = {
            (refused.gateway, refused.kind)
            for refused in world.refused
            if refused.at_ms > bound_ms
        }
        self.assertEqual({('front-1', 'configuration_outdated')}, kinds)

    def test_gateway_without_the_store_gets_a_version_from_a_sidecar(self):
        """It refused everybody although its sidecars knew the version."""
        publish = publishing(13)

        async def operate(world):
            await rated_link.sleep_ms(6000)
            world.gateways[1].cut_off()
            world.gateways[1].gets_records = True
            await publish(world)

        world = play(operate, until_ms=20_000)
        bound_ms = world.confirmed_ms[13] + CONFIGURATION_LIMIT_MS
        self.assertEqual({}, last_late_ms(world, bound_ms))
        kinds = {refused.kind for refused in world.refused}
        self.assertNotIn('configuration_outdated', kinds)

    def test_domain_of_slow_links_gets_a_version_from_another(self):
        """Its reader needed 2.6 s before anybody there knew the version."""
        world = play(
            publishing(13, route_count=GROWN_ROUTE_COUNT),
            rates=(FAST_LINK, *[SLOW_LINK] * 3),
            domains=('sal-kista', *['sal-uppsala'] * 3),
        )
        bound_ms = world.confirmed_ms[13] + IN_FORCE_EVERYWHERE_MS
        self.assertEqual({}, last_late_ms(world, bound_ms))

    def test_change_refuses_nobody(self):
        """Hundreds of callers with a key were refused around each change."""
        self.assertEqual([], play(publishing(13, 15, 16)).refused)

    def test_versions_in_quick_succession_are_in_force_in_time(self):
        """Three versions within 0.4 s are three whole tables to read."""
        world = play(publishing(13, 15, 16, pause_ms=200))
        bound_ms = world.confirmed_ms[13] + CONFIGURATION_LIMIT_MS
        self.assertEqual({}, last_late_ms(world, bound_ms))
