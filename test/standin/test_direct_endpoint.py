"""Tests of the stand-in of a direct endpoint through the project's clients."""

import asyncio
import contextlib
import io
from unittest import mock

from berylhollow import clock
from berylhollow import events
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from berylhollow.platform import _order
from berylhollow import shell
from berylhollow.standin import direct_endpoint
from test import builders
from test import standin_helper
from tools.soak import _standins as soak

HANG_S = 30
MODEL = 'm'
BEGIN_MS = 7000


class DirectEndpointTestCase(standin_helper.StandInTestCase):
    """An endpoint with ``slots`` and ``places`` that holds a3 and a4.

    Each run lasts until ``end_run`` is called once for it.
    """

    slots = 1
    places = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.time = clock.VirtualClock(BEGIN_MS)
        self.endpoint = direct_endpoint.DirectEndpoint(
            'i-1', self.slots, self.places, self.time
        )
        self.endpoint.models = {MODEL: {'a3': 1, 'a4': 1}}
        self.ends = asyncio.Semaphore(0)
        self.endpoint.run_time = self.ends.acquire
        application = direct_endpoint.web.Application()
        self.endpoint.add_to(application)
        url = await self.listen(application)
        self.address = url.removeprefix('http://')
        self.client = self.closing(
            platform.EndpointClient(outgoing.open_session())
        )
        self.control = self.closing(
            platform.EndpointControlClient(self.address)
        )
        # These calls take place in real time, which a busy machine stretches.
        limit = mock.patch.object(_order, 'CALL_TIMEOUT_MS', HANG_S * 1000)
        self.stack.enter_context(limit)
        self.tasks = shell.Tasks()
        self.stack.push_async_callback(self.tasks.stop)

    def end_run(self):
        self.ends.release()

    async def end_last_run(self, task):
        self.end_run()
        await task
        await self.wait_until(lambda: not self.endpoint.model.running)

    async def wait_until(self, condition):
        async with asyncio.timeout(HANG_S):
            while not condition():
                await asyncio.sleep(0)

    async def status(self, number, adapter, version):
        offer = builders.offer(
            f'r{number}.1',
            path='/x',
            host='h.example',
            adapter=messages.AdapterVersion(f'{MODEL}/{adapter}', version),
            headers=(
                messages.Header('Request-Id', f'r{number}'),
                messages.Header('Model', f'{MODEL}/{adapter}'),
            ),
        )
        async with asyncio.timeout(HANG_S):
            answer = await self.client.send(
                offer, self.address, 'i-1', '/healthz'
            )
        try:
            async for _ in answer.parts():
                pass
        finally:
            answer.close()
        return answer.status, answer.not_run

    def send(self, number, adapter='a3', version='1'):
        return self.tasks.start(self.status(number, adapter, version))

    async def send_for_model(self, model):
        """Return the status of a request that names no adapter."""
        headers = {'Expect-Instance': 'i-1', 'Model': model}
        async with (
            outgoing.open_session() as session,
            session.post(f'http://{self.address}/x', headers=headers) as got,
        ):
            return got.status, got.headers.get('Not-Executed')

    async def send_running(self, number, adapter='a3'):
        task = self.send(number, adapter)
        await self.wait_until(lambda: f'r{number}' in self.begun())
        return task

    async def send_queued(self, number, adapter='a3'):
        count = len(self.endpoint.model.waiting)
        task = self.send(number, adapter)
        await self.wait_until(lambda: len(self.endpoint.model.waiting) > count)
        return task

    def begun(self):
        return [ran.request_id for ran in self.endpoint.ran]

    async def order(self, adapter, load=True):
        return await self.control.order(
            platform.Order(
                load,
                f'{MODEL}/{adapter}',
                self.endpoint.model.orders,
                'i-1',
                'me',
            )
        )


class QueueTest(DirectEndpointTestCase):
    async def test_queued_request_begins_when_a_slot_is_free(self):
        first = await self.send_running(1)
        second = await self.send_queued(2)
        state = await self.control.state()
        self.assertEqual((1, 1), (state.running, state.waiting))
        self.time.advance(100)
        self.end_run()
        await self.wait_until(lambda: len(self.endpoint.ran) == 2)
        self.end_run()
        self.assertEqual([(200, None)] * 2, [await first, await second])
        self.assertEqual(
            [('r1', 1, BEGIN_MS), ('r2', 1, BEGIN_MS + 100)],
            [(x.request_id, x.version, x.begun_ms) for x in self.endpoint.ran],
        )

    async def test_request_beyond_the_queue_is_not_run(self):
        await self.send_running(1)
        await self.send_queued(2)
        await self.send_queued(3)
        refused = 503, platform.NotRunReason.FULL
        self.assertEqual(refused, await self.send(4))
        self.assertEqual(['r1'], self.begun())

    async def test_version_is_checked_when_the_request_arrives(self):
        await self.send_running(1)
        absent = 421, platform.NotRunReason.ADAPTER_ABSENT
        self.assertEqual(absent, await self.send(2, version='2'))
        self.assertEqual(absent, await self.send(3, 'a5'))

    async def test_queued_request_whose_connection_closes_is_dropped(self):
        """Guards against a run for a caller that has gone."""
        await self.send_running(1)
        dropped = await self.send_queued(2)
        kept = await self.send_queued(3)
        dropped.cancel()
        await self.wait_until(lambda: len(self.endpoint.model.waiting) == 1)
        self.end_run()
        self.end_run()
        self.assertEqual((200, None), await kept)
        self.assertEqual(['r1', 'r3'], self.begun())

    async def test_restart_runs_nothing_that_was_queued(self):
        await self.send_running(1)
        queued = await self.send_queued(2)
        self.endpoint.restart('i-2')
        refused = 503, platform.NotRunReason.FULL
        self.assertEqual(refused, await queued)
        self.assertEqual([], self.endpoint.model.running)

    async def test_model_that_a_restart_dropped_is_not_run(self):
        """Guards against a start that serves a model which it lacks."""
        self.endpoint.restart('i-1')
        self.assertEqual((421, '1'), await self.send_for_model(MODEL))
        self.endpoint.models = {MODEL: {}}
        self.end_run()
        self.assertEqual((200, None), await self.send_for_model(MODEL))


class ReplacementTest(DirectEndpointTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.endpoint.newest['a3'] = 2

    def version(self, number, adapter='a3'):
        return messages.AdapterVersion(f'{MODEL}/{adapter}', str(number))

    async def test_replacement_waits_for_the_runs_of_its_adapter(self):
        first = await self.send_running(1)
        self.assertIs(events.OrderVerdict.ACCEPTED, await self.order('a3'))
        state = await self.control.state()
        self.assertIn(self.version(1), state.held)
        self.assertEqual((self.version(2),), state.loading)
        await self.end_last_run(first)
        state = await self.control.state()
        self.assertIn(self.version(2), state.held)
        self.assertEqual((), state.loading)

    async def test_replacement_refuses_what_has_not_begun(self):
        """Guards against a queued request that begins on an old version."""
        await self.send_running(1)
        queued = await self.send_queued(2)
        other = await self.send_queued(3, 'a4')
        await self.order('a3')
        refused = 503, platform.NotRunReason.FULL
        self.assertEqual(refused, await queued)
        self.assertEqual(refused, await self.send(4))
        self.assertEqual(refused, await self.send(5, version='2'))
        self.end_run()
        self.end_run()
        self.assertEqual((200, None), await other)
        self.end_run()
        self.assertEqual((200, None), await self.send(6, version='2'))
        self.assertEqual(['r1', 'r3', 'r6'], self.begun())
        self.assertEqual(2, self.endpoint.ran[-1].version)

    async def test_order_for_another_adapter_is_carried_out_meanwhile(self):
        await self.send_running(1)
        await self.order('a3')
        self.assertIs(events.OrderVerdict.ACCEPTED, await self.order('a5'))
        state = await self.control.state()
        self.assertIn(self.version(1, 'a5'), state.held)
        self.assertEqual((self.version(2),), state.loading)

    async def test_adapter_without_runs_is_replaced_at_once(self):
        await self.order('a3')
        state = await self.control.state()
        self.assertIn(self.version(2), state.held)

    async def test_version_named_during_the_wait_is_held_after_it(self):
        first = await self.send_running(1)
        await self.order('a3')
        self.endpoint.newest['a3'] = 3
        await self.order('a3')
        await self.end_last_run(first)
        state = await self.control.state()
        self.assertIn(self.version(3), state.held)

    async def test_unload_waits_for_the_runs_of_its_adapter(self):
        first = await self.send_running(1)
        verdict = await self.order('a3', load=False)
        self.assertIs(events.OrderVerdict.ACCEPTED, verdict)
        self.assertEqual((503, platform.NotRunReason.FULL), await self.send(2))
        await self.end_last_run(first)
        state = await self.control.state()
        self.assertEqual((self.version(1, 'a4'),), state.held)
        verdict = await self.order('a4', load=False)
        self.assertIs(events.OrderVerdict.HELD_ALREADY, verdict)


class SoakEndpointTest(standin_helper.StandInTestCase):
    async def test_run_of_the_soak_leaves_its_slot(self):
        """Guards against a subclass that replaces how a run ends.

        Its runs would seem to go on, and no adapter would be replaced.
        """
        endpoint = soak.Endpoint('i-1', '127.0.0.1:1', 's', '127.0.0.1:2')
        application = direct_endpoint.web.Application()
        endpoint.add_to(application)
        url = await self.listen(application)
        session = self.closing(outgoing.open_session())
        headers = {'Expect-Instance': 'i-1', 'Request-Id': 'r1'}
        with contextlib.redirect_stdout(io.StringIO()):
            reply = await outgoing.call(
                session, 'POST', f'{url}/x', HANG_S * 1000, headers=headers
            )
        self.assertEqual(b'answer to r1', reply.body)
        self.assertEqual([], endpoint.model.running)


class UnlimitedTest(DirectEndpointTestCase):
    slots = None
    places = 0

    async def test_without_slots_every_request_begins_at_once(self):
        for number in range(8):
            await self.send_running(number)
        self.assertEqual([], self.endpoint.model.waiting)
