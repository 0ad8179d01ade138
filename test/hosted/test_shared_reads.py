"""Passing the reads of the platform's log on to other gateways."""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test.loader import loader_helper
from test import platform_builders as builders

PART = messages.StreamPart('endpoints', 5, 6, (b'record',), 'g2')
FAILURE_DOMAIN = 'sal-kista'


class GatewayTest(direct.DirectTestCase):
    def options(self):
        return {'failure_domain': FAILURE_DOMAIN}

    def setUp(self):
        super().setUp()
        self.peers = []
        rows = []
        for number, domain in enumerate(
            (FAILURE_DOMAIN, FAILURE_DOMAIN, 'sal-uppsala')
        ):
            address = f'10.0.0.{number + 1}:80'
            self.peers.append(addresses.sidecar_peer(address))
            rows.append(
                direct.direct_instance(
                    f'i-{number}', address, failure_domain=domain
                )
            )
        self.list_instances(*rows)

    def link(self, *peers, at_ms=0):
        for peer in peers:
            self.open_link(peer, events.Role.ENDPOINT)
        self.feed(events.Ticked(at_ms, 0.5))

    def part_receivers(self):
        """Return the sidecars that the last event sent a part to."""
        return [
            effect.peer
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.StreamPart)
        ]

    def test_part_is_sent_to_sidecars_of_the_own_failure_domain(self):
        """Traffic between failure domains is paid for."""
        self.link(*self.peers)
        self.feed(events.StreamPartRead(10, PART))
        self.assertEqual(sorted(self.peers[:2]), sorted(self.part_receivers()))

    def test_part_is_sent_to_nobody_without_a_link(self):
        self.feed(events.StreamPartRead(10, PART))
        self.assertEqual([], self.part_receivers())
        self.assertEqual((), self.state.relays)

    def sidecars_listened_to(self):
        return [
            effect.peer
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.AdapterDemands)
            and effect.message.shares_reads
        ]

    def test_one_sidecar_is_listened_to(self):
        self.link(*self.peers, at_ms=50)
        self.assertEqual([self.state.relays[0]], self.sidecars_listened_to())

    def test_next_sidecar_is_listened_to_at_once_after_a_link_breaks(self):
        """The sidecar that passes the reads on is killed.

        If no other was asked to pass them on, nothing more would arrive, and
        every gateway of the failure domain would read the log by itself.
        """
        self.link(*self.peers, at_ms=50)
        lost, kept = self.state.relays
        self.feed(events.LinkClosed(60, lost))
        self.feed(events.Ticked(100, 0.5))
        self.assertEqual([kept], self.sidecars_listened_to())

    def test_new_revision_is_announced_at_the_next_tick(self):
        """A gateway that missed a configuration must soon hear that it did."""
        self.link(*self.peers, at_ms=50)
        self.publish(builders.configuration_record(9))
        self.feed(events.Ticked(100, 0.5))
        announced = {
            effect.peer
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.AdapterDemands)
            and effect.message.revision == 9
        }
        self.assertLessEqual(set(self.state.relays), announced)

    def test_part_of_the_endpoint_list_is_applied_at_once(self):
        self.link(*self.peers)
        self.receive(PART, 500, self.peers[0])
        self.assertEqual(
            [effects.TakeStreamPart(PART)],
            self.of_type(effects.TakeStreamPart),
        )
        self.assertEqual(1, len(self.of_type(effects.ReadInstances)))

    def test_part_of_the_configuration_reads_no_list(self):
        self.link(*self.peers)
        stream = self.state.follower.stream
        part = messages.StreamPart(stream, 5, 5, (), 'g2')
        self.receive(part, 500, self.peers[0])
        self.assertEqual([], self.of_type(effects.ReadInstances))


class SidecarTest(loader_helper.LoaderTestCase):
    def part_receivers(self):
        return [
            effect.peer
            for effect in self.of_type(effects.Send)
            if effect.message == PART
        ]

    def test_part_goes_to_gateways_that_listen(self):
        for peer in ('g2', 'g3', 'g4'):
            self.open_link(peer, events.Role.GATEWAY)
        self.send_demands(shares_reads=True)
        self.send_demands(peer='g2', shares_reads=True)
        self.send_demands(peer='g3', shares_reads=True)
        self.send_demands(peer='g4')
        self.receive(PART, peer='g2')
        self.assertEqual([loader_helper.PEER, 'g3'], self.part_receivers())

    def test_part_goes_to_no_gateway_whose_link_is_closed(self):
        self.send_demands(shares_reads=True)
        self.feed(events.LinkClosed(10, loader_helper.PEER))
        self.receive(PART, peer='g2')
        self.assertEqual([], self.part_receivers())
