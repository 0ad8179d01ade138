"""Requests of workspaces at a gateway, from their key to the endpoint."""

import asyncio

from berylhollow import errors
from berylhollow import events
from berylhollow.gateway import _workspaces
from berylhollow import messages
from berylhollow.util import addresses
from berylhollow import workspaces
from test.hosted import hosted_helper
from test.hosted import test_gateway_direct
from test import platform_builders as builders

KEY = 'asnmgkcuyj8pjbvk9m68'
OTHER_KEY = 'k7b2ex5wa5xwyhks8nbk'
OPEN_PATH = '/open/x'
HANG_S = 60


def routes():
    return [
        builders.route(),
        builders.plain_route(),
        builders.plain_route('r-3', '/open/', AllowAnonymous=True),
    ]


class WorkspaceTestCase(test_gateway_direct.DirectTestCase):
    """A gateway that knows a workspace with one key."""

    def configure(self):
        self.declare(builders.workspace('hule930', KEY, Priority=0))
        self.list(test_gateway_direct.plain('i-1', '10.0.0.1:80'))

    def options(self):
        return {'neighbours_ms': 0}

    def declare(self, *entries, version=7, at_ms=0):
        record = builders.configuration_record(
            version, routes=routes(), workspaces=list(entries)
        )
        self.publish(record, at_ms=at_ms)

    def ask(self, path=test_gateway_direct.PLAIN_PATH, key=KEY, **changes):
        credential = None if key is None else workspaces.digest(key)
        return super().ask(path, credential=credential, caller='', **changes)


class KeyTest(WorkspaceTestCase):
    def test_request_runs_in_the_name_of_its_workspace(self):
        self.ask()
        _, offer = self.offered()
        self.assertEqual(('hule930', 0), (offer.caller, offer.priority))

    def test_without_a_known_key_nothing_runs(self):
        for key in (None, OTHER_KEY):
            with self.subTest(key=key):
                self.ask(key=key)
                self.assertEqual([], self.offers())
                self.assertIs(errors.Kind.UNKNOWN_KEY, self.answer().kind)
                self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)

    def test_open_route_needs_no_key_and_keeps_its_priority(self):
        for key in (None, OTHER_KEY):
            self.ask(OPEN_PATH, key)
            _, offer = self.offered()
            self.assertEqual(('', 2), (offer.caller, offer.priority))

    def test_key_that_is_taken_away_is_unknown(self):
        self.declare(builders.workspace('hule930', OTHER_KEY), version=8)
        self.ask()
        self.assertIs(errors.Kind.UNKNOWN_KEY, self.answer().kind)
        self.ask(key=OTHER_KEY)
        self.assertEqual('hule930', self.offered()[1].caller)

    def test_key_that_is_taken_away_while_its_request_waits(self):
        """A request waits for its adapter; its key is revoked meanwhile.

        Checked at its arrival only, it would run for as long as it waited.
        """
        self.list(
            test_gateway_direct.plain('i-1', '10.0.0.1:80'),
            test_gateway_direct.row('i-2', '10.0.0.2:80'),
        )
        self.ask(test_gateway_direct.MODEL_PATH, adapter='a3')
        self.assertEqual([], self.offers())
        self.declare(builders.workspace('hule930', OTHER_KEY), version=8)
        self.feed(events.Ticked(150, 0.5))
        self.assertIs(errors.Kind.UNKNOWN_KEY, self.answer().kind)

    def test_configuration_with_a_malformed_workspace_changes_nothing(self):
        self.declare(
            builders.workspace('hule930', OTHER_KEY, Priority='x'), version=8
        )
        self.ask()
        self.assertEqual('hule930', self.offered()[1].caller)


class ProofTest(WorkspaceTestCase):
    """What a gateway does while it can't prove the keys it knows."""

    def setUp(self):
        super().setUp()
        self.state.follower.keys.bound_ms = 5000
        self.state.follower.keys.read(0)

    def options(self):
        return {'neighbours_ms': 1000, 'keys_ready_ms': 2750}

    def test_key_that_can_not_be_proven_is_refused_as_not_run(self):
        self.ask(at_ms=4700)
        self.assertEqual('i-1', self.offered()[0])
        self.ask(at_ms=4800)
        answer = self.answer()
        self.assertIs(errors.Kind.KEY_UNPROVEN, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertGreater(answer.retry_after_ms, 0)

    def test_callers_without_a_key_are_served_on(self):
        self.ask(OPEN_PATH, None, at_ms=60_000)
        self.assertEqual('i-1', self.offered()[0])

    def test_key_whose_proof_ends_while_its_request_waits(self):
        """A gateway stands still with a request that waits.

        The key was checked when the request came; when the gateway goes on,
        it may have been taken away long ago.
        """
        self.list(
            test_gateway_direct.plain('i-1', '10.0.0.1:80'),
            test_gateway_direct.row('i-2', '10.0.0.2:80'),
        )
        self.ask(test_gateway_direct.MODEL_PATH, adapter='a3', at_ms=4000)
        self.feed(events.Ticked(4900, 0.5))
        self.assertIs(errors.Kind.KEY_UNPROVEN, self.answer().kind)

    def test_not_ready_before_keys_are_refused(self):
        self.assertTrue(_workspaces.takes_keys(self.state, 2700))
        self.assertFalse(_workspaces.takes_keys(self.state, 2800))
        self.assertTrue(_workspaces.keys_proven(self.state, 2800))

    def test_refused_by_the_head_as_by_the_whole_request(self):
        head = events.RequestHead(
            builders.HOST, '/puxa403/x', workspaces.digest(KEY), 0
        )
        refusal = _workspaces.refused_by_head(self.state, head, 4800)
        self.assertIs(errors.Kind.KEY_UNPROVEN, refusal.kind)
        self.assertIsNone(_workspaces.refused_by_head(self.state, head, 4700))


class NeighboursTest(WorkspaceTestCase):
    """A gateway starts while the log has an older configuration.

    Its neighbours know that keys in it were taken away since.
    """

    def setUp(self):
        super().setUp()
        self.list(
            test_gateway_direct.plain('i-1', '10.0.0.1:80'),
            test_gateway_direct.row('i-2', '10.0.0.2:80'),
        )
        self.open_link(addresses.beside('10.0.0.2:80'), events.Role.ENDPOINT)

    def options(self):
        return {'neighbours_ms': 1000}

    def test_no_key_is_used_before_a_neighbour_was_heard(self):
        self.ask(at_ms=500)
        self.assertIs(errors.Kind.KEY_UNPROVEN, self.answer().kind)
        self.report('10.0.0.2:80', at_ms=510)
        self.ask(at_ms=520)
        self.assertEqual('i-1', self.offered()[0])

    def test_gateway_that_is_alone_waits_for_a_moment_only(self):
        self.ask(at_ms=1000)
        self.assertEqual('i-1', self.offered()[0])

    def test_no_key_is_used_before_the_neighbours_revision_is_read(self):
        self.report('10.0.0.2:80', at_ms=510, revision=9)
        self.ask(at_ms=60_000)
        self.assertIs(errors.Kind.KEY_UNPROVEN, self.answer().kind)
        self.declare(builders.workspace('hule930', KEY), version=9)
        self.ask(at_ms=60_010)
        self.assertEqual('i-1', self.offered()[0])

    def test_own_revision_is_told_to_the_sidecars(self):
        self.feed(events.Ticked(1500, 0.5))
        (demands,) = self.sent(messages.AdapterDemands)
        self.assertEqual(7, demands.revision)


class OverTheNetworkTest(hosted_helper.HostedTestCase):
    async def begin_with(self, *entries):
        await self.publish(8, routes=routes(), workspaces=list(entries))
        await self.register_all()
        self.gateway = await self.begin('gateway')
        await self.until_ready()

    async def test_endpoint_hears_of_the_workspace_and_not_of_the_key(self):
        await self.begin_with(builders.workspace('hule930', KEY))
        async with self.ask(
            '/puxa403/x', Api_Key=KEY, Tenant='another'
        ) as got:
            self.assertEqual(200, got.status)
        (ran,) = self.plain.ran
        self.assertEqual(['hule930'], ran.headers.getall('Tenant'))
        self.assertNotIn(KEY, str(ran.headers))
        await self.gateway.stop()
        self.assertNotIn(KEY, str(self.gateway.lines))

    async def test_unknown_key_is_refused_before_the_body_is_read(self):
        """A caller without a key sends a large body, slowly.

        Read first, it takes memory and time from callers who have one.
        """
        await self.begin_with(builders.workspace('hule930', KEY))
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[2]
        )
        writer.write(
            b'POST /puxa403/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: id-9\r\n'
            b'Api-Key: %s\r\nContent-Length: 1000000\r\n\r\n'
            % (builders.HOST.encode(), OTHER_KEY.encode())
        )
        async with asyncio.timeout(HANG_S):
            head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        self.assertTrue(head.startswith(b'HTTP/1.1 401 '), head)
        self.assertIn(b'Request-Id: id-9', head)
        self.assertEqual([], self.plain.ran)
