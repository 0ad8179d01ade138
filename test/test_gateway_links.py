"""Tests of the links between gateways."""

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow.gateway import _links
from berylhollow import messages
from test import gateway_helper


class Gateway:
    """The links of one gateway, with the events and messages they fed."""

    def __init__(self, name, incarnation='i1'):
        self.name = name
        self.events = []
        self.received = []
        self.links = _links.Links(
            gateway_helper.gateway_settings(instance=name),
            incarnation,
            clock.MonotonicClock(),
            self,
        )

    def feed(self, event):
        self.events.append(event)

    def message(self, peer, message):
        self.received.append((peer, message))

    def open(self, other):
        address = f'127.0.0.1:{other.links.server.port}'
        self.links.open(effects.OpenLink(other.name, address))

    def reports(self, event_type):
        return [event for event in self.events if type(event) is event_type]

    @property
    def open_count(self):
        """How many links are open according to the events."""
        opened = len(self.reports(events.LinkOpened))
        return opened - len(self.reports(events.LinkClosed))


class LinksTest(gateway_helper.GatewayTestCase):
    async def add(self, *given):
        gateway = Gateway(*given)
        await gateway.links.start()
        self.addAsyncCleanup(gateway.links.stop)
        return gateway

    async def exchange(self, one, other):
        """Send a message each way and wait until both have arrived."""
        for sender, receiver in ((one, other), (other, one)):
            message = messages.Cancel(sender.name)
            sender.links.send(receiver.name, message)
            expected = (sender.name, message)
            await self.until(lambda r=receiver, w=expected: w in r.received)

    async def test_links_opened_from_both_ends_become_one(self):
        """Guards against two gateways that never keep a link.

        Both open a link at the same moment. If each kept the newer one, each
        could see a different link as newer and close the one that the other
        keeps, again and again.
        """
        for _ in range(10):
            one, other = await self.add('g1'), await self.add('g2')
            one.open(other)
            other.open(one)
            await self.until(
                lambda a=one, b=other: a.open_count and b.open_count
            )
            await self.until(lambda a=one, b=other: not b.links.clients)
            await self.exchange(one, other)
            self.assertEqual((1, 1), (one.open_count, other.open_count))
            self.assertEqual('g1', one.links.open_links['g2'].opener)
            self.assertEqual('g1', other.links.open_links['g1'].opener)

    async def test_link_of_a_restarted_gateway_replaces_the_old_one(self):
        other = await self.add('g2')
        for incarnation in ('i1', 'i2'):
            one = await self.add('g1', incarnation)
            one.open(other)
            await self.until(lambda g=one: g.open_count == 1)
            await self.exchange(one, other)
        self.assertEqual(1, other.open_count)
        opened = other.reports(events.LinkOpened)
        self.assertEqual(['i1', 'i2'], [each.incarnation for each in opened])

    async def test_closed_port_is_reported_as_refused(self):
        one, other = await self.add('g1'), await self.add('g2')
        await other.links.server.stop()
        one.open(other)
        await self.until(lambda: one.events)
        self.assertEqual('g2', one.reports(events.LinkRefused)[0].peer)
