"""Streams that are taken up again go on at the version that began them."""

import unittest

from berylhollow import errors
from test.hosted import stream_fleet

STREAMS = 60
NINE_TENTHS = 0.9


class FleetTestCase(unittest.TestCase):
    def begin(self, **options):
        self.fleet = stream_fleet.StreamFleet(**options)
        self.fleet.run_until(3000)
        self.fleet.begin_streams(STREAMS)
        self.fleet.run_until(3600)

    def check(self, least_resumed=12, share=NINE_TENTHS):
        """Check that no stream is mixed and that the share goes on."""
        self.fleet.run_until(20_000)
        mixed = [sorted(x.versions) for x in self.fleet.mixed]
        self.assertEqual([], mixed, f'{len(mixed)} streams are mixed')
        resumed = len(self.fleet.resumed)
        self.assertGreaterEqual(resumed, least_resumed)
        self.assertGreaterEqual(len(self.fleet.went_on), share * resumed)


class ResumedElsewhereTest(FleetTestCase):
    def test_streams_resumed_at_another_gateway_keep_their_version(self):
        """Guards against streams with events of two software versions.

        Channels of one gateway are reset; callers come back at the other.
        """
        self.begin()
        self.fleet.reset_channels('g1', 0.7)
        self.check()

    def test_streams_of_a_killed_gateway_keep_their_version(self):
        """Guards against origins that die with the gateway that knew them."""
        self.begin()
        self.fleet.kill_gateway('g1')
        self.check()

    def test_streams_go_on_after_all_gateways_were_killed(self):
        """Guards against gateways that start without any origin."""
        self.begin()
        self.fleet.restart_gateways(['g1', 'g2'], 200)
        self.check()

    def test_streams_of_a_gateway_killed_at_their_beginning_go_on(self):
        """Guards against origins that are told only after the first event."""
        self.fleet = stream_fleet.StreamFleet()
        self.fleet.run_until(3000)
        self.fleet.begin_streams(STREAMS, ['g1'])
        self.fleet.run_until(3000 + stream_fleet.EVENT_MS * 2)
        self.fleet.kill_gateway('g1')
        self.check(least_resumed=5)

    def test_chain_of_resumptions_keeps_its_version(self):
        """Guards against a second resumption that finds no origin.

        It names the first request, which began at a third gateway.
        """
        self.begin(gateways=3, max_tries=4)
        self.fleet.reset_channels('g1', 0.7)
        self.fleet.run_until(3700)
        for name in ('g1', 'g2', 'g3'):
            self.fleet.reset_channels(name, 0.7)
        self.fleet.run_until(3800)
        self.fleet.kill_gateway('g2')
        self.check(least_resumed=40)

    def test_streams_of_crashed_endpoints_keep_their_version(self):
        """Guards against streams that go on at any endpoint after a crash."""
        self.begin()
        for address in ('10.0.0.1:80', '10.0.0.2:80'):
            self.fleet.end_endpoint(address)
        self.check()

    def test_two_resumptions_at_once_keep_the_version(self):
        """Guards against an origin that is lost between two that ask."""
        self.begin(gateways=3)
        for stream in self.fleet.streams:
            self.fleet.after(5, self.fleet.try_stream, stream, 'g2')
            self.fleet.after(5, self.fleet.try_stream, stream, 'g3')
        self.fleet.run_until(20_000)
        self.assertEqual([], self.fleet.mixed)


class LostKeeperTest(FleetTestCase):
    def test_streams_go_on_if_one_sidecar_is_lost_with_the_gateway(self):
        """Guards against an origin that only one sidecar keeps."""
        self.begin()
        self.fleet.kill_sidecar(next(iter(self.fleet.sidecars)))
        self.fleet.kill_gateway('g1')
        self.check()

    def test_streams_go_on_if_sidecars_were_lost_before_the_gateway(self):
        """Guards against origins that are not told to the next sidecars."""
        self.begin()
        for peer in list(self.fleet.sidecars)[:2]:
            self.fleet.kill_sidecar(peer)
            self.fleet.run_until(self.fleet.now_ms + 100)
        self.fleet.kill_gateway('g1')
        self.check()

    def test_streams_go_on_if_all_sidecars_started_again(self):
        """Guards against sidecars that start and are told nothing."""
        self.begin()
        self.fleet.restart_sidecars(50)
        self.fleet.run_until(self.fleet.now_ms + 350)
        self.fleet.kill_gateway('g1')
        self.check(least_resumed=10)

    def test_gateways_cut_off_from_sidecars_refuse(self):
        """Guards against a gateway that guesses where it can ask nobody."""
        self.begin()
        self.fleet.cut_links('g2')
        self.fleet.reset_channels('g1', 0.7)
        self.check(share=0)
        for stream in self.fleet.resumed:
            for kind, ran, retry_after_ms in stream.refusals:
                self.assertIs(errors.Kind.STREAM_ORIGIN_UNKNOWN, kind)
                self.assertIs(errors.Ran.NOT_RUN, ran)
                self.assertGreater(retry_after_ms, 0)

    def test_refused_callers_find_the_gateway_that_knows(self):
        """Guards against callers who are not told to come back."""
        self.begin(max_tries=6)
        self.fleet.cut_links('g2')
        self.fleet.reset_channels('g1', 0.7)
        self.check()


class ReleaseTest(FleetTestCase):
    def test_streams_of_a_version_that_is_gone_are_refused_at_once(self):
        """Guards against streams that go on at the version that replaced it.

        Also against requests that wait for a version that does not come back.
        """
        self.begin()
        self.fleet.run_until(3650)
        for address, version in list(self.fleet.versions.items()):
            if version == 'v1':
                self.fleet.release(address, 'v2')
        # The list shows the ends of the old ones after some heartbeats.
        self.fleet.run_until(20_000)
        self.assertEqual([], self.fleet.mixed)
        refused = [x for x in self.fleet.resumed if not x.went_on]
        self.assertGreater(len(refused), 12)
        for stream in refused:
            self.assertEqual({'v1'}, stream.versions)

    def test_streams_go_on_in_the_middle_of_a_release(self):
        """Guards against mixed streams while versions replace each other."""
        self.begin(max_tries=4)
        for number, address in enumerate(list(self.fleet.versions)[:4]):
            version = 'v2' if number % 2 else 'v3'
            self.fleet.after(
                number * 200, self.fleet.release, address, version
            )
        self.fleet.after(300, self.fleet.reset_channels, 'g1', 0.7)
        self.check(share=0.5)

    def test_first_new_version_in_the_middle_of_streams(self):
        """Guards against origins that are kept only beside two versions."""
        self.fleet = stream_fleet.StreamFleet()
        for address in self.fleet.versions:
            self.fleet.versions[address] = 'v1'
            self.fleet.set_listed_version(address, 'v1')
        self.fleet.run_until(3000)
        self.fleet.begin_streams(STREAMS)
        self.fleet.run_until(3400)
        for number in range(7, 13):
            self.fleet.add_endpoint(f'10.0.0.{number}:80', 'v2')
        self.fleet.run_until(3650)
        self.fleet.kill_gateway('g1')
        self.check()

    def test_resumptions_while_the_store_is_down(self):
        """Guards against streams that need the store to go on."""
        self.begin()
        self.fleet.store_up = False
        self.fleet.run_until(3700)
        self.fleet.reset_channels('g1', 0.7)
        self.check()


class OlderProcessesTest(FleetTestCase):
    def test_older_sidecars_are_not_relied_on(self):
        """Guards against origins told to sidecars that don't keep them."""
        sidecars = list(stream_fleet.StreamFleet().sidecars)
        self.begin(old=sidecars[:2])
        self.fleet.reset_channels('g1', 0.7)
        self.check()

    def test_streams_that_an_older_gateway_began_are_refused(self):
        """Guards against guesses about streams that nobody was told of."""
        self.begin(old=['g1'])
        self.fleet.kill_gateway('g1')
        self.check(share=0)
        self.assertEqual([], self.fleet.went_on)


class AllGatewaysKilledTest(FleetTestCase):
    """All gateways are killed at once around a release of one version."""

    OFFSETS_MS = (-300, -100, 0, 100, 400)
    LOST_SIDECARS = (0, 1, 3)

    def play(self, offset_ms, lost_sidecars, released):
        """Kill the gateways, with the release ``offset_ms`` after that."""
        self.begin(max_tries=4)
        killed_ms = 3900
        addresses = [
            address
            for address, version in self.fleet.versions.items()
            if version == 'v1'
        ]
        for address in addresses[:released]:
            begins_ms = killed_ms + offset_ms - self.fleet.now_ms
            self.fleet.after(begins_ms, self.fleet.release, address, 'v2')
        self.fleet.run_until(killed_ms)
        for peer in list(self.fleet.sidecars)[:lost_sidecars]:
            self.fleet.kill_sidecar(peer)
        self.fleet.restart_gateways(['g1', 'g2'], 200)
        self.fleet.run_until(25_000)

    def test_no_stream_is_joined_from_two_versions(self):
        """Guards against the rest of a stream from the version that is left.

        The old version's endpoints leave before, with or after the kill, all
        of them or some, and sidecars that keep origins are lost with it.
        """
        resumed = 0
        for offset_ms in self.OFFSETS_MS:
            for lost_sidecars in self.LOST_SIDECARS:
                for released in (2, 3):
                    with self.subTest(
                        offset_ms=offset_ms,
                        lost_sidecars=lost_sidecars,
                        released=released,
                    ):
                        self.play(offset_ms, lost_sidecars, released)
                        mixed = [sorted(x.versions) for x in self.fleet.mixed]
                        self.assertEqual([], mixed)
                        resumed += len(self.fleet.resumed)
        self.assertGreater(resumed, STREAMS)
