"""Kill, pause and replace our processes under load, over real sockets."""

import asyncio
import itertools

from test import process_helper

LONG_MS = 120_000
UNSETTLED = ('key_in_progress', 'outcome_unknown')


class ProcessFaultTest(process_helper.ProcessTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.answers = {}
        self.bookings = {}

    async def load(self, gateways, count):
        """Chat and book through gateways in turn, a few at once."""
        turns = itertools.cycle(gateways)
        tasks = [
            asyncio.create_task(self.one(next(turns), number))
            for number in range(count)
        ]
        await asyncio.gather(*tasks)

    async def one(self, gateway, number):
        await asyncio.sleep(number * 0.01)
        adapter = process_helper.ADAPTERS[number % 3]
        text = f'question-{number}'
        self.answers[text, adapter] = await self.chat(gateway, text, adapter)
        key = f'key-{number}'
        self.bookings[key] = await self.book(gateway, key)

    def refused(self):
        """Return the bookings that were refused as not run."""
        return [x for x in self.bookings.values() if x.ran == 'not_run']

    def check_answers(self):
        """Each whole answer is its caller's own, of its own adapter."""
        whole = 0
        for (text, adapter), outcome in self.answers.items():
            if outcome.status == 200:
                whole += 1
                self.assertIn(f'[{adapter}@1] {text} ', outcome.text)
        return whole

    async def check_bookings(self):
        """No key ran twice; whole ran once, "not run" not at all."""
        runs = await self.runs_by_key()
        for key, outcome in self.bookings.items():
            ran = runs.get(key, 0)
            self.assertLessEqual(ran, 1, key)
            if outcome.status == 200:
                self.assertEqual(1, ran, key)
            if outcome.ran == 'not_run':
                self.assertEqual(0, ran, key)
        return runs

    async def resend(self, gateway, unsettled=()):
        """Send every key again; a second run would be a second booking.

        A key that ran gets its stored answer. After a kill one of the kinds
        in ``unsettled`` may come instead: the gateway died with the whole
        answer given and its outcome not yet on the log.
        """
        for key in self.bookings:
            again = await self.book(gateway, key)
            kind = again.body.get('kind')
            if self.bookings[key].status == 200 and kind not in unsettled:
                self.assertEqual(self.bookings[key].body, again.body)
            self.bookings[key] = again
        return await self.check_bookings()

    async def test_killed_gateway_doubles_and_mixes_nothing(self):
        """A foreman's truck is booked twice after a gateway died.

        A gateway is killed with chats and bookings in flight and replaced;
        callers send their keys again through the other one. Cause: keys
        that are known only to the process that took them.
        """
        first, second = self.gateways
        load = asyncio.create_task(self.load(self.gateways, 40))
        await asyncio.sleep(0.2)
        await first.replace()
        await load
        self.assertGreaterEqual(self.check_answers(), 20)
        await self.check_bookings()
        await self.resend(second, UNSETTLED)

    async def test_killed_sidecar_is_replaced_under_load(self):
        """Answers of one caller end up with another after a restart.

        A sidecar is killed and replaced at the same address while answers
        are on their way. Cause: attempts told apart by the link alone.
        """
        load = asyncio.create_task(self.load(self.gateways, 40))
        await asyncio.sleep(0.2)
        await self.sidecars[0].replace()
        await self.plain.replace()
        await load
        self.check_answers()
        await self.check_bookings()
        await self.until_whole(self.gateways[0])
        await self.resend(self.gateways[1])

    async def test_paused_gateway_wakes_up_without_a_second_run(self):
        """A number is ported twice by a gateway that slept.

        A gateway is paused with claims in flight; callers give up and send
        their keys through the other gateway; then the first goes on. Cause:
        a holder that acts after its time.
        """
        first, second = self.gateways
        load = asyncio.create_task(self.load([first], 20))
        await asyncio.sleep(0.1)
        async with self.paused(first):
            elsewhere = [
                await self.book(second, f'key-{number}')
                for number in range(20)
            ]
        await load
        self.check_answers()
        runs = await self.runs_by_key()
        self.assertEqual({1}, set(runs.values()))
        self.assertTrue(any(x.status == 200 for x in elsewhere))

    async def test_log_outage_refuses_keys_and_nothing_else(self):
        """Bookings made during an outage of the log are made twice later.

        The log goes down under load and comes back; callers send again
        what was refused. Cause: a run without a claim.
        """
        await self.inject('log_down', LONG_MS)
        load = asyncio.create_task(self.load(self.gateways, 20))
        async with asyncio.timeout(process_helper.WAIT_S):
            while not self.refused():
                await asyncio.sleep(process_helper.POLL_S)
        await self.inject('log_down', 0)
        await load
        self.assertEqual(20, self.check_answers())
        await self.check_bookings()
        async with asyncio.timeout(process_helper.WAIT_S):
            while (await self.book(self.gateways[0], 'late')).status != 200:
                await asyncio.sleep(process_helper.POLL_S)
        runs = await self.resend(self.gateways[1])
        self.assertEqual({1}, set(runs.values()))

    async def test_planned_stop_of_every_role_cuts_off_nothing(self):
        """A rolling upgrade breaks the answers that are on their way.

        A sidecar, then a gateway is stopped with SIGTERM under load. Cause:
        a stop that doesn't wait for what is in flight.
        """
        first, second = self.gateways
        load = asyncio.create_task(self.load([second], 40))
        self.answers_of_first = asyncio.create_task(
            self.chat(first, 'last-words')
        )
        await asyncio.sleep(0.1)
        codes = [await self.sidecars[0].terminate(), await first.terminate()]
        await load
        self.assertEqual([0, 0], codes)
        self.assertEqual(200, (await self.answers_of_first).status)
        self.assertEqual(40, self.check_answers())
        booked = [x for x in self.bookings.values() if x.status == 200]
        self.assertEqual(40, len(booked))
        await self.check_bookings()
