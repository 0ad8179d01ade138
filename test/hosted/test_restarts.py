"""A gateway and endpoints that start again under their old name."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

ADDRESS = '10.0.0.1:80'
FIRST_MS = 1_790_000_000_000
SECOND_MS = FIRST_MS + 40_000


def started(started_ms, name='i-1', address=ADDRESS, **changes):
    incarnation = messages.Incarnation(name, started_ms)
    return direct.direct_instance(
        str(incarnation), address, incarnation=incarnation, **changes
    )


def plain(started_ms, name='i-1', address=ADDRESS, **changes):
    values = {'service': builders.PLAIN_SERVICE, 'models': ()} | changes
    return started(started_ms, name, address, **values)


class OldNameTest(direct.DirectTestCase):
    def test_endpoint_that_restarts_after_it_was_replaced_is_used(self):
        """A request found another instance at an endpoint's address.

        The endpoint then started again under its old name. The gateway used to
        exclude it for as long as it lived.
        """
        self.list_instances(plain(FIRST_MS))
        self.send_request()
        self.fail_attempt(errors.Kind.ENDPOINT_REPLACED)
        self.list_instances(plain(SECOND_MS), at_ms=100)
        self.send_request(at_ms=110)
        self.assertEqual(f'i-1@{SECOND_MS}', self.offered()[0])

    def test_endpoint_that_restarts_after_draining_is_used(self):
        """The endpoint left, ended, and started again under its old name."""
        self.list_instances(plain(FIRST_MS, leaving=True))
        self.send_request()
        self.assertEqual([], self.offers())
        self.list_instances(plain(SECOND_MS), at_ms=100)
        self.send_request(at_ms=110)
        self.offered()

    def test_two_crashes_of_one_name_count_as_two(self):
        """One request crashes an endpoint after each of its starts.

        Both crashes have the endpoint's name. If they counted as one, the
        request would go on to crash it forever.
        """
        for number in range(2):
            self.list_instances(
                plain(FIRST_MS + number, capacity=1), at_ms=100 * number
            )
            self.send_request(at_ms=100 * number + 1)
            self.fail_attempt(
                errors.Kind.ENGINE_RESTARTED,
                errors.Ran.UNKNOWN,
                at_ms=100 * number + 2,
            )
        self.list_instances(plain(FIRST_MS + 2), at_ms=300)
        self.assertEqual(2, len(self.state.recorded_crashes_ms))

    def test_adapters_of_the_old_start_are_not_used(self):
        """The list names the new start; the old start's adapters are gone."""
        listed_adapter = messages.AdapterVersion(
            builders.adapter_name('a3'), '1'
        )
        self.list_instances(started(FIRST_MS, adapters=(listed_adapter,)))
        self.list_instances(started(SECOND_MS), at_ms=100)
        self.send_request(direct.MODEL_PATH, at_ms=110, adapter='a3')
        self.assertEqual([], self.offers())

    def test_sidecar_report_newer_than_the_list_is_used(self):
        """The sidecar reports the new start before the list does.

        According to the list the endpoint still holds the old start's
        adapters; each request for them would be refused there.
        """
        listed_adapter = messages.AdapterVersion(
            builders.adapter_name('a3'), '1'
        )
        self.list_instances(started(FIRST_MS, adapters=(listed_adapter,)))
        self.open_link(addresses.sidecar_peer(ADDRESS), events.Role.ENDPOINT)
        self.report(ADDRESS, epoch=f'i-1@{SECOND_MS}')
        self.send_request(direct.MODEL_PATH, at_ms=110, adapter='a3')
        self.assertEqual([], self.offers())

    def test_report_of_the_old_start_is_not_used(self):
        """Guards against requests for adapters that went with a crash.

        The list shows the new start before the sidecar has read it; the last
        report is of the old start.
        """
        adapter = messages.AdapterVersion(builders.adapter_name('a3'), '1')
        self.list_instances(started(FIRST_MS))
        self.open_link(addresses.sidecar_peer(ADDRESS), events.Role.ENDPOINT)
        self.report(ADDRESS, adapter, epoch=f'i-1@{FIRST_MS}')
        self.list_instances(started(SECOND_MS, models=()), at_ms=100)
        self.assertFalse(self.state.endpoints[f'i-1@{SECOND_MS}'].has_model)
        self.send_request(direct.MODEL_PATH, at_ms=110, adapter='a3')
        self.assertEqual([], self.offers())
        self.report(ADDRESS, adapter, epoch=f'i-1@{FIRST_MS}', at_ms=120)
        self.assertEqual([], self.offers())
        self.report(ADDRESS, adapter, epoch=f'i-1@{SECOND_MS}', at_ms=400)
        self.send_request(direct.MODEL_PATH, at_ms=410, adapter='a3')
        self.offered()

    def test_demands_to_sidecars_name_the_start(self):
        self.list_instances(started(SECOND_MS))
        self.open_link(addresses.sidecar_peer(ADDRESS), events.Role.ENDPOINT)
        (demands,) = [
            effect.message
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.AdapterDemands)
        ]
        self.assertEqual(
            messages.Incarnation('i-1', SECOND_MS), demands.incarnation
        )


class EntryTest(direct.DirectTestCase):
    def test_endpoint_whose_entry_expired_and_came_back_is_used(self):
        """An endpoint lost the store for some seconds while it served.

        Its entry expired with a request in flight, and came back. The endpoint
        then got no more requests for as long as the gateway lived.
        """
        self.list_instances(plain(FIRST_MS))
        self.send_request()
        self.list_instances(at_ms=100)
        self.send_request(at_ms=110)
        self.assertEqual([], self.offers())
        self.list_instances(plain(FIRST_MS), at_ms=200)
        self.send_request(at_ms=210)
        self.offered()

    def test_entry_of_an_unknown_service_takes_no_address(self):
        """Another writer lists an endpoint of a service that does not exist.

        The entry has the address of a live endpoint, which must stay in use.
        """
        foreign = plain(0, 'x-1', service='no-such-service')
        self.list_instances(plain(FIRST_MS), foreign)
        self.send_request()
        self.assertEqual(f'i-1@{FIRST_MS}', self.offered()[0])

    def test_endpoint_that_writes_again_gets_its_address_back(self):
        """Another entry had its address for the time of a heartbeat."""
        other = plain(FIRST_MS, 'i-2')
        self.list_instances(plain(FIRST_MS), other)
        self.list_instances(other, plain(FIRST_MS), at_ms=100)
        self.send_request(at_ms=110)
        self.assertEqual(f'i-1@{FIRST_MS}', self.offered()[0])
