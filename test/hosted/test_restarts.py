"""A gateway before endpoints that start again under their old name."""

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
    return direct.row(
        str(incarnation), address, incarnation=incarnation, **changes
    )


def plain(started_ms, name='i-1', address=ADDRESS, **changes):
    values = {'service': builders.PLAIN_SERVICE, 'models': ()} | changes
    return started(started_ms, name, address, **values)


class OldNameTest(direct.DirectTestCase):
    def test_restart_after_its_end_was_heard_of_is_sent_to(self):
        """A request found another instance at the address of an endpoint.

        The endpoint then started again under its old name. The gateway left
        it out for the rest of its life.
        """
        self.list(plain(FIRST_MS))
        self.ask()
        self.fail_attempt(errors.Kind.ENDPOINT_REPLACED)
        self.list(plain(SECOND_MS), at_ms=100)
        self.ask(at_ms=110)
        self.assertEqual(f'i-1@{SECOND_MS}', self.offered()[0])

    def test_restart_while_draining_is_sent_to(self):
        """It was leaving, ended, and started again under its old name."""
        self.list(plain(FIRST_MS, leaving=True))
        self.ask()
        self.assertEqual([], self.offers())
        self.list(plain(SECOND_MS), at_ms=100)
        self.ask(at_ms=110)
        self.offered()

    def test_two_crashes_of_one_name_count_as_two(self):
        """One request takes an endpoint down each time that it starts.

        Both crashes bear the endpoint's name. Counted as one, the request
        would go on to crash it for ever.
        """
        for number in range(2):
            self.list(plain(FIRST_MS + number, capacity=1), at_ms=100 * number)
            self.ask(at_ms=100 * number + 1)
            self.fail_attempt(
                errors.Kind.ENGINE_RESTARTED,
                errors.Ran.UNKNOWN,
                at_ms=100 * number + 2,
            )
        self.list(plain(FIRST_MS + 2), at_ms=300)
        self.assertEqual(2, len(self.state.recorded_crashes_ms))

    def test_adapters_of_before_are_not_believed(self):
        """The list names the new start; what the old one held is gone."""
        named = messages.AdapterVersion(builders.adapter_name('a3'), '1')
        self.list(started(FIRST_MS, adapters=(named,)))
        self.list(started(SECOND_MS), at_ms=100)
        self.ask(direct.MODEL_PATH, at_ms=110, adapter='a3')
        self.assertEqual([], self.offers())

    def test_sidecar_ahead_of_the_list_is_believed(self):
        """The sidecar tells of the new start before the list does.

        By the list the endpoint still holds what the old start did, and
        each request for it would be refused there.
        """
        named = messages.AdapterVersion(builders.adapter_name('a3'), '1')
        self.list(started(FIRST_MS, adapters=(named,)))
        self.open_link(addresses.beside(ADDRESS), events.Role.ENDPOINT)
        self.report(ADDRESS, epoch=f'i-1@{SECOND_MS}')
        self.ask(direct.MODEL_PATH, at_ms=110, adapter='a3')
        self.assertEqual([], self.offers())

    def test_sidecars_are_told_which_start_is_meant(self):
        self.list(started(SECOND_MS))
        self.open_link(addresses.beside(ADDRESS), events.Role.ENDPOINT)
        (demands,) = [
            effect.message
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.AdapterDemands)
        ]
        self.assertEqual(
            messages.Incarnation('i-1', SECOND_MS), demands.incarnation
        )


class EntryTest(direct.DirectTestCase):
    def test_endpoint_whose_entry_lapsed_and_came_back_is_sent_to(self):
        """An endpoint lost the store for some seconds while it served.

        Its entry lapsed with a request under way, and came back. It got
        nothing more for as long as the gateway lived.
        """
        self.list(plain(FIRST_MS))
        self.ask()
        self.list(at_ms=100)
        self.ask(at_ms=110)
        self.assertEqual([], self.offers())
        self.list(plain(FIRST_MS), at_ms=200)
        self.ask(at_ms=210)
        self.offered()

    def test_entry_of_an_unknown_service_takes_no_address(self):
        """Another writer lists a service that there is none of.

        It names the address of a living endpoint, which must stay in use.
        """
        foreign = plain(0, 'x-1', service='no-such-service')
        self.list(plain(FIRST_MS), foreign)
        self.ask()
        self.assertEqual(f'i-1@{FIRST_MS}', self.offered()[0])

    def test_endpoint_that_writes_again_has_its_address_back(self):
        """Another entry bore its address for the time of a heartbeat."""
        other = plain(FIRST_MS, 'i-2')
        self.list(plain(FIRST_MS), other)
        self.list(other, plain(FIRST_MS), at_ms=100)
        self.ask(at_ms=110)
        self.assertEqual(f'i-1@{FIRST_MS}', self.offered()[0])
