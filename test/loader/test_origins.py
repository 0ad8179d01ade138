"""Origins of streams that a sidecar keeps for gateways."""

from berylhollow import events
from berylhollow import messages
from test.loader import loader_helper

STREAM = b's' * 16
OTHER = 'g2'
HOUR_MS = 3_600_000


class OriginTest(loader_helper.LoaderTestCase):
    def tell(self, version='v1', at_ms=0, for_ms=5000, peer='g1'):
        origin = messages.StreamOrigin(STREAM, 's', version, for_ms)
        self.receive(messages.StreamsBegan((origin,)), at_ms, peer)

    def ask(self, at_ms=0):
        self.receive(messages.OriginWanted(STREAM), at_ms, OTHER)
        (answered,) = self.sent(messages.OriginAnswered)
        return answered.origin

    def test_gateway_is_told_what_began_a_stream(self):
        """Guards against origins that die with the gateway that told them."""
        self.tell(at_ms=0)
        self.feed(events.LinkClosed(10, 'g1'))
        origin = self.ask(at_ms=1000)
        self.assertEqual('v1', origin.software_version)
        self.assertEqual(4000, origin.for_ms)

    def test_unknown_stream_is_answered_at_once(self):
        """Guards against gateways that wait for what nobody knows."""
        self.assertIsNone(self.ask())

    def test_origin_is_dropped_after_its_time(self):
        """Guards against memory that only grows."""
        self.tell()
        self.assertIsNone(self.ask(at_ms=5000))
        self.tell(at_ms=6000)
        self.feed(events.Ticked(20_000, 0.5))
        self.assertEqual(0, len(self.state.origins))

    def test_origin_is_kept_for_a_limited_time(self):
        """Guards against a gateway that asks for an endless one."""
        self.tell(for_ms=10 * HOUR_MS)
        self.assertIsNone(self.ask(at_ms=HOUR_MS))

    def test_two_versions_for_one_stream_can_not_be_told_apart(self):
        """Guards against the later of two streams under one id."""
        self.tell('v1', peer='g1')
        self.tell('v2', peer=OTHER)
        self.assertEqual('', self.ask().software_version)
        self.tell('v2', peer=OTHER)
        self.assertEqual('', self.ask().software_version)

    def test_number_of_streams_is_limited(self):
        """Guards against a sidecar that streams fill."""
        limit = self.state.origins.limit = 10
        for number in range(limit + 5):
            stream = number.to_bytes(16, 'big')
            origin = messages.StreamOrigin(stream, 's', 'v1', 5000)
            self.receive(messages.StreamsBegan((origin,)))
        self.assertEqual(limit, len(self.state.origins))

    def test_report_says_that_origins_are_kept(self):
        self.report()
        (report, *_) = self.sent(messages.Report)
        self.assertTrue(report.keeps_origins)


class HistoryTest(loader_helper.LoaderTestCase):
    def tell(self, watched_ms, *versions, at_ms=0):
        listed = tuple(messages.ListedVersion(name, 0) for name in versions)
        told = messages.SoftwareHistory('s', watched_ms, 0, listed)
        self.receive(told, at_ms)

    def link(self, at_ms):
        self.open_link(OTHER, events.Role.GATEWAY, at_ms)
        return self.sent(messages.SoftwareHistory)

    def test_gateway_that_links_is_told_what_was_listed(self):
        """Guards against gateways that know nothing of before their start."""
        self.tell(60_000, 'v1', at_ms=1000)
        (told,) = self.link(at_ms=3000)
        self.assertEqual(60_000, told.watched_ms)
        self.assertEqual(2000, told.observed_ms_ago)
        self.assertEqual((messages.ListedVersion('v1', 2000),), told.versions)

    def test_history_starts_anew_after_a_gap(self):
        """Guards against versions that served while nobody told of them."""
        self.tell(60_000, 'v1', at_ms=1000)
        self.tell(500, 'v1', at_ms=30_000)
        (told,) = self.link(at_ms=30_000)
        self.assertEqual(500, told.watched_ms)

    def test_history_goes_on_from_gateway_to_gateway(self):
        """Guards against a history as short as the youngest gateway's."""
        self.tell(60_000, 'v1', at_ms=1000)
        self.tell(500, 'v1', at_ms=4000)
        (told,) = self.link(at_ms=4000)
        self.assertEqual(63_000, told.watched_ms)

    def test_sidecar_without_a_history_tells_none(self):
        self.assertEqual([], self.link(at_ms=0))
