"""Tests of a whole deployment over real sockets."""

import asyncio
import json

from test import whole_helper


class WholeTest(whole_helper.WholeTestCase):
    async def test_each_caller_gets_its_own_answer_of_its_adapter(self):
        """A receptionist reads the summary of another firm's call.

        Many callers ask two gateways at once for more adapters than the
        engines have slots; adapters are loaded and evicted all along.
        """
        await self.begin()

        async def ask(number):
            adapter = f'a{number % 6}@{1 + number % 2}'
            text = f'question {number}'
            member = self.gateways[number % 2]
            answer = await self.chat(member, adapter, text, X_Caller='c')
            self.assertEqual(answer.status, 200, answer.text)
            self.assertFalse(answer.broken)
            self.assertIn(f'[{adapter}] {text}"', answer.text)
            self.assertTrue(answer.text.endswith('data: [DONE]\n\n'))

        await asyncio.gather(*(ask(number) for number in range(60)))
        runs = [run for x in self.engines for run in await self.runs(x)]
        self.assertEqual(len(runs), 60)
        self.assertFalse([run for run in runs if run['wrong_adapter']])

    async def test_adapter_in_use_stays_while_another_is_wanted(self):
        """The second half of an answer comes from another firm's adapter.

        Long answers hold every slot of the only engine when a caller asks
        for one adapter more; loaded over a slot in use, it would finish
        what that slot had begun.
        """
        await self.begin(engines=1)
        long = [
            asyncio.create_task(
                self.chat(self.gateways[0], f'a{n}@1', 'x', max_tokens=1500)
            )
            for n in range(2)
        ]
        state = self.engines[0].shell.driver.state
        await self.until(lambda: len(state.running) == 2)
        other = await self.chat(self.gateways[1], 'a2@1', 'other')
        self.assertIn('[a2@1] other"', other.text)
        for number, answer in enumerate(await asyncio.gather(*long)):
            self.assertFalse(answer.broken)
            self.assertIn(f'[a{number}@1] x"', answer.text)
        runs = await self.runs(self.engines[0])
        self.assertEqual(len(runs), 3)
        self.assertFalse([run for run in runs if run['wrong_adapter']])

    async def test_key_sent_through_two_gateways_runs_once(self):
        """One excavator is booked and two trucks come.

        A caller that heard nothing sends its booking again, with the same
        key, through another gateway, while the first is still running.
        """
        await self.begin(engines=0, plain=2)
        answers = await asyncio.gather(
            *(
                self.order(member, 'booking', Idempotency_Key='k-1')
                for member in self.gateways * 4
            )
        )
        self.assertEqual(len(await self.order_runs()), 1)
        again = await self.order(
            self.gateways[1], 'booking', Idempotency_Key='k-1'
        )
        self.assertEqual(len(await self.order_runs()), 1)
        kept = [a.text for a in (*answers, again) if a.status == 200]
        self.assertTrue(kept)
        self.assertEqual(len(set(kept)), 1)

    async def test_lost_answer_of_an_order_is_not_sent_again(self):
        """A number is ported twice.

        The service runs the order and its connection breaks before the
        answer: nobody knows, and only the caller may decide what next.
        """
        await self.begin(engines=0, plain=2)
        for member in self.plain:
            await self.fault(member.url, 'reset_after_run')
        answer = await self.order(
            self.gateways[0], 'port', Idempotency_Key='k-2'
        )
        self.assertEqual(json.loads(answer.text)['ran'], 'unknown')
        self.assertEqual(len(await self.order_runs()), 1)

    async def test_stop_of_a_sidecar_and_a_gateway_cuts_off_nothing(self):
        """A technician's steps end half-way because of an upgrade."""
        await self.begin()
        streams = [
            asyncio.create_task(
                self.chat(self.gateways[0], 'a1@1', f't{n}', max_tokens=300)
            )
            for n in range(12)
        ]
        states = [member.shell.driver.state for member in self.engines]
        await self.until(lambda: any(state.running for state in states))
        stops = await asyncio.gather(
            self.engines[0].shell.stop(), self.gateways[0].shell.stop()
        )
        self.assertEqual(stops, [0, 0])
        for number, answer in enumerate(await asyncio.gather(*streams)):
            self.assertEqual((answer.status, answer.broken), (200, False))
            self.assertIn(f'[a1@1] t{number}"', answer.text)
            self.assertTrue(answer.text.endswith('data: [DONE]\n\n'))

    async def test_engine_restart_never_ends_an_answer_cleanly(self):
        """Half of a fault report passes for the whole of it.

        The engine restarts in the middle of a stream. The caller must see
        an error; the next request is answered, after a load, as before.
        """
        await self.begin(engines=1)
        stream = asyncio.create_task(
            self.chat(self.gateways[0], 'a1@1', 'x', max_tokens=100_000)
        )
        while not await self.runs(self.engines[0]):
            await asyncio.sleep(whole_helper.POLL_S)
        await self.fault(self.engines[0].url, 'restart')
        answer = await stream
        self.assertTrue(answer.broken or answer.status >= 500)
        self.assertNotIn('[DONE]', answer.text)
        again = await self.chat(self.gateways[1], 'a1@1', 'y')
        self.assertEqual(again.status, 200, again.text)
        self.assertIn('[a1@1] y"', again.text)
