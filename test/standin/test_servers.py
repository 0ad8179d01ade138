"""Tests of the HTTP stand-ins through the project's own clients."""

import asyncio
import dataclasses
import json

from berylhollow import endpoint
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from test import standin_helper


def chat_request(
    adapter, text, request_id, max_tokens=4, stream=True, path='chat/'
):
    body = {
        'model': adapter,
        'messages': [{'role': 'user', 'content': text}],
        'prompt': text,
        'max_tokens': max_tokens,
        'stream': stream,
    }
    return endpoint.EndpointRequest(
        'POST',
        f'/v1/{path}completions',
        (messages.Header('X-Request-Id', request_id),),
        json.dumps(body).encode(),
    )


async def read(answer) -> bytes:
    return b''.join([chunk async for chunk in answer.chunks()])


class ClientTestCase(standin_helper.StandInTestCase):
    async def fault(self, url, fault, for_ms=60_000):
        session = self.closing(outgoing.open_session())
        value = {'fault': fault, 'for_ms': for_ms}
        await outgoing.call(session, 'POST', f'{url}/faults', json=value)

    async def runs(self, url, path):
        session = self.closing(outgoing.open_session())
        reply = await outgoing.call(session, 'GET', url + path)
        return reply.value()['runs']


class PlatformTest(ClientTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.url = await self.serve_platform()
        self.log = self.closing(log_service.LogClient(self.url))

    async def test_append_and_read(self):
        offsets = [await self.log.append('a/b', bytes([n])) for n in range(3)]
        result = await self.log.read('a/b', 1)
        self.assertEqual(offsets, [0, 1, 2])
        self.assertEqual([x.data for x in result.records], [b'\1', b'\2'])
        self.assertEqual((result.first_offset, result.next_offset), (0, 3))

    async def test_read_waits_for_the_first_record(self):
        reading = asyncio.create_task(self.log.read('s', 0, wait_ms=50_000))
        await asyncio.sleep(0)
        await self.log.append('other', b'')
        await self.log.append('s', b'late')
        self.assertEqual((await reading).records[0].data, b'late')

    async def test_lost_answer_is_maybe_done_and_was_done(self):
        """A lost response must not be taken for a failed append.

        The log keeps the record but its response is lost. A caller that
        retries publishes an operator's change twice.
        """
        await self.fault(self.url, 'append_answer_lost')
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.log.append('s', b'x')
        self.assertEqual(len((await self.log.read('s', 0)).records), 1)

    async def test_outage_refuses(self):
        await self.fault(self.url, 'log_down')
        with self.assertRaises(outgoing.CallRefused) as caught:
            await self.log.append('s', b'x')
        self.assertEqual(caught.exception.kind, 'unavailable')
        await self.fault(self.url, 'log_down', 0)
        self.assertEqual((await self.log.read('s', 0)).records, ())

    async def test_retired_offset_names_the_first_kept(self):
        url = await self.serve_platform(log={'retention_ms': 1})
        log = self.closing(log_service.LogClient(url))
        await log.append('s', b'')
        with self.assertRaises(log_service.OffsetGone) as caught:
            while True:
                await log.read('s', 0)
        self.assertEqual(caught.exception.first_offset, 1)

    async def test_instances_are_registered_changed_and_removed(self):
        client = self.closing(log_service.InstanceClient(self.url))
        entry = log_service.Instance(
            'i-1', log_service.Role.ENDPOINT, 's', 'd', 'r', '127.0.0.1:9'
        )
        await client.put(entry)
        self.assertEqual(await client.list(), (entry,))
        await client.delete('i-1')
        self.assertEqual(await client.list(), ())

    async def test_unchanged_instance_list_is_not_sent_again(self):
        """Rereading an unchanged list must not transfer it again.

        A hundred rows a second cost a gateway more than the rest of its
        control work. The second read sends the ETag of the first and gets
        a 304; a change is still seen.
        """
        client = self.closing(log_service.InstanceClient(self.url))
        entry = log_service.Instance(
            'i-1', log_service.Role.ENDPOINT, 's', 'd', 'r', '127.0.0.1:9'
        )
        await client.put(entry)
        first = await client.list()
        self.assertIs(await client.list(), first)
        await client.put(dataclasses.replace(entry, service='other'))
        (changed,) = await client.list()
        self.assertEqual('other', changed.service)


class EngineTest(ClientTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform_url = await self.serve_platform()
        self.url = await self.serve_engine(self.platform_url)
        self.engine = self.closing(endpoint.EngineClient(self.url))
        self.requests = self.closing(
            endpoint.EndpointClient(self.url, engine=True)
        )

    async def load(self, adapter='a@1', slot=0, fence=1):
        status = await self.engine.status()
        await self.engine.load(
            endpoint.SlotOrder(
                f'load-{slot}',
                slot,
                fence,
                status.epoch,
                standin_helper.adapter(adapter),
            )
        )

    async def assert_refused(self, kind, awaitable):
        with self.assertRaises(outgoing.CallRefused) as caught:
            await awaitable
        self.assertEqual(caught.exception.kind, kind)

    async def test_loaded_adapter_answers_in_a_stream(self):
        await self.load()
        slot = (await self.engine.status()).slots[0]
        self.assertEqual(str(slot.adapter), 'a@1')
        self.assertEqual(slot.state, endpoint.SlotState.READY)
        answer = await self.requests.open(chat_request('a@1', 'hej', 'r-1'))
        text = (await read(answer)).decode()
        self.assertEqual(str(answer.adapter), 'a@1')
        self.assertTrue(answer.epoch)
        self.assertIn('[a@1] hej', text)
        self.assertIn('"completion_tokens": 4', text)
        self.assertTrue(text.endswith('data: [DONE]\n\n'))
        [run] = await self.runs(self.url, '/engine/runs')
        self.assertEqual((run['request'], run['ran']), ('r-1', ['a@1']))

    async def test_both_forms_answer_whole(self):
        await self.load()
        for path in ('', 'chat/'):
            answer = await self.requests.open(
                chat_request('a@1', 'hej', 'r', stream=False, path=path)
            )
            self.assertEqual(answer.status, 200)
            self.assertIn(b'[a@1] hej 1 2 3', await read(answer))

    async def test_adapter_that_is_not_loaded_did_not_run(self):
        request = chat_request('b@1', 'x', 'r')
        await self.assert_refused(
            'adapter_not_loaded', self.requests.open(request)
        )
        self.assertEqual(await self.runs(self.url, '/engine/runs'), [])

    async def test_old_fence_and_lost_weights_refuse_a_load(self):
        await self.load(fence=5)
        await self.assert_refused('stale_fence', self.load('b@1', fence=4))
        await self.assert_refused(
            'unknown_adapter', self.load('missing-x@1', slot=1, fence=5)
        )
        await self.fault(self.platform_url, 'weights_down')
        await self.assert_refused(
            'weights_unavailable', self.load('b@1', slot=1, fence=5)
        )

    async def test_load_with_a_lost_answer_took_effect(self):
        await self.fault(self.url, 'load_answer_lost')
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.load()
        slot = (await self.engine.status()).slots[0]
        self.assertEqual(slot.state, endpoint.SlotState.READY)

    async def test_crash_breaks_streams_and_empties_slots(self):
        """An engine crash must not look like the end of a stream.

        Otherwise a client would take a truncated response for a complete
        one. The stream must end with an error.
        """
        await self.load()
        answer = await self.requests.open(
            chat_request('a@1', 'x', 'r-1', max_tokens=1_000_000)
        )
        epoch = answer.epoch
        await self.fault(self.url, 'restart')
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await read(answer)
        status = await self.engine.status()
        self.assertNotEqual(status.epoch, epoch)
        self.assertEqual(status.slots[0].state, endpoint.SlotState.EMPTY)

    async def test_marked_body_crashes_the_engine(self):
        await self.load()
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await self.requests.open(
                chat_request('a@1', 'crash-this-engine', 'r-1')
            )
        [run] = await self.runs(self.url, '/engine/runs')
        self.assertEqual(run['outcome'], 'broken')

    async def test_cancel_ends_the_stream(self):
        await self.load()
        answer = await self.requests.open(
            chat_request('a@1', 'x', 'r-1', max_tokens=1_000_000)
        )
        self.assertTrue(await self.engine.cancel('r-1'))
        self.assertFalse(await self.engine.cancel('r-1'))
        with self.assertRaises(outgoing.CallOutcomeUnknown):
            await read(answer)

    async def test_client_that_goes_away_frees_the_engine(self):
        await self.load()
        answer = await self.requests.open(
            chat_request('a@1', 'x', 'r-1', max_tokens=1_000_000)
        )
        answer.close()
        while (await self.engine.status()).running:
            await asyncio.sleep(0)
        [run] = await self.runs(self.url, '/engine/runs')
        self.assertEqual(run['outcome'], 'cancelled')


class ServiceTest(ClientTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.url = await self.serve_service()
        self.client = self.closing(
            endpoint.EndpointClient(self.url, engine=False)
        )

    async def call(self):
        return await self.client.open(
            endpoint.EndpointRequest(
                'PUT',
                '/orders/7?x=1',
                (messages.Header('X-Request-Id', 'r-1'),),
                b'body',
                idempotent=False,
            )
        )

    async def test_echoes_and_records_a_call(self):
        value = json.loads(await read(await self.call()))
        self.assertEqual(value['request'], 'r-1')
        self.assertEqual(value['path'], '/orders/7?x=1')
        [run] = await self.runs(self.url, '/stand-in/runs')
        self.assertEqual(run['outcome'], 'finished')

    async def test_resets_differ_in_whether_the_call_ran(self):
        for fault, count in (('reset_before_run', 0), ('reset_after_run', 1)):
            await self.fault(self.url, fault)
            with self.assertRaises(outgoing.CallOutcomeUnknown):
                await self.call()
            await self.fault(self.url, fault, 0)
            runs = await self.runs(self.url, '/stand-in/runs')
            self.assertEqual(len(runs), count)
