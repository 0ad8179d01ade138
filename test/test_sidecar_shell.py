"""Tests of the sidecar's shell with a gateway's link and stand-ins."""

import asyncio

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import link as links
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import settings as all_settings
from berylhollow import shell
from berylhollow import sidecar
from berylhollow.sidecar import _endpoint_calls
from berylhollow.sidecar import _shell
from test import builders
from test import link_builders
from test import sidecar_helper
from test import standin_helper

KEY = 'the key that all instances share'
BODY = b'{"model": "a1@1", "prompt": "hello", "max_tokens": 5, "stream": true}'


def make_settings(platform_url, endpoint_url, **changes):
    return all_settings.parse(
        {
            'instance': 'e1',
            'failure_domain': 'sul-a',
            'link_key': KEY,
            'platform': {'url': platform_url},
            'service': builders.SERVICE,
            'endpoint': {'url': endpoint_url},
            'listen': {'port': 0},
            'status_poll_ms': 10,
            'tick_ms': 5,
            **changes,
        },
        all_settings.Role.SIDECAR,
    )


class ShellTestCase(standin_helper.StandInTestCase):
    """Runs a sidecar with stand-ins and a gateway linked to it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform_url = await self.serve_platform()
        self.handler = link_builders.RecordingHandler()

    def make_shell(self, reduce=sidecar.reduce, **changes):
        settings = make_settings(
            self.platform_url, self.endpoint_url, **changes
        )
        state = builders.sidecar_state(
            status_poll_ms=10, report_ms=10, link_close_timeout_ms=10
        )
        return _shell.Shell(settings, reduce, state, lambda *_: None)

    async def serve(self, reduce=sidecar.reduce, **changes):
        self.endpoint_url = await self.serve_engine(self.platform_url)
        self.shell = self.make_shell(reduce, **changes)
        await self.shell.start()
        self.stack.push_async_callback(self.shell.close)

    async def connect(self):
        """Link a gateway to the sidecar and wait for a ready report."""
        client = links.LinkClient(
            '127.0.0.1',
            self.shell.links.server.port,
            KEY.encode(),
            links.Identity('g1', 'gateway', 'i1'),
            self.handler,
        )
        link = client.start()
        self.stack.push_async_callback(client.wait)
        self.stack.callback(link.close)
        await self.handler.until(lambda: self.handler.ups)
        await self.handler.until(self.is_ready)
        return link

    def received(self, message_type):
        return [
            message
            for message in self.handler.messages
            if isinstance(message, message_type)
        ]

    def is_ready(self):
        reports = self.received(messages.Report)
        return bool(reports) and reports[-1].ready


class AnswerTest(ShellTestCase):
    async def test_offer_is_loaded_run_and_relayed(self):
        await self.serve()
        link = await self.connect()
        link.send(builders.offer(body=BODY))
        await self.handler.until(lambda: self.received(messages.End))
        (started,) = self.received(messages.Started)
        self.assertEqual('a1@1', str(started.adapter))
        parts = self.received(messages.Data)
        body = b''.join(part.payload for part in parts)
        self.assertTrue(body.rstrip().endswith(b'data: [DONE]'))
        self.assertEqual(len(parts), self.received(messages.End)[0].count)

    async def test_graceful_stop_finishes_what_runs(self):
        """A rollout cuts off answers that are being relayed.

        The sidecar is told to stop during an answer. Cause: the stop closes
        the links before the last frame is sent.
        """
        await self.serve()
        link = await self.connect()
        link.send(builders.offer(body=BODY))
        await self.handler.until(lambda: self.received(messages.Started))
        self.assertEqual(0, await self.shell.stop())
        await self.handler.until(lambda: self.handler.downs)
        (end,) = self.received(messages.End)
        self.assertEqual(len(self.received(messages.Data)), end.count)

    async def test_stop_waits_for_a_gateway_to_resume_an_answer(self):
        """A rollout leaves a caller with a truncated answer.

        The gateway's link breaks while it carries the last frames, and the
        sidecar exits before the gateway has linked again. Cause: an answer
        that was sent is taken for one that has arrived.
        """
        await self.serve()
        link = await self.connect()
        self.handler.message = lambda *_: None
        link.send(builders.offer(body=BODY))
        runs = self.shell.runs.runs
        while not any(run.sender.finished for run in runs.values()):
            await asyncio.sleep(0.001)
        link.abort(links.Reason.LOST)
        while self.shell.links.by_peer:
            await asyncio.sleep(0.001)
        stop = asyncio.create_task(self.shell.stop())
        await self.shell.ended
        self.handler = link_builders.RecordingHandler()
        link = await self.connect()
        link.send(messages.Resume('r1.1', 0))
        await self.handler.until(lambda: self.received(messages.End))
        parts = len(self.received(messages.Data))
        self.assertEqual(parts, self.received(messages.End)[0].count)
        link.send(messages.Acknowledge('r1.1', parts + 1))
        self.assertEqual(0, await stop)

    async def test_newer_link_of_a_gateway_replaces_the_older(self):
        await self.serve()
        await self.connect()
        self.handler = link_builders.RecordingHandler()
        await self.connect()
        self.assertEqual(1, len(self.shell.links.by_peer))
        self.assertEqual(['g1'], list(self.shell.driver.state.links))


class CongestionTest(ShellTestCase):
    async def test_congested_link_recovers_without_acknowledgements(self):
        """An answer stalls in the middle for ever.

        Its link was congested when the next chunk arrived, and all frames
        sent before are acknowledged already. Cause: only an acknowledgement
        lets the answer continue.
        """
        await self.serve()
        await self.connect()
        writable = asyncio.Event()
        self.shell.links.on_writable = lambda peer: writable.set()
        link = self.shell.links.by_peer['g1']
        link.queued_bytes = link.options.congested_bytes + 1
        self.assertTrue(self.shell.links.is_congested('g1'))
        link.queued_bytes = 0
        await writable.wait()


class PortTest(ShellTestCase):
    async def test_second_sidecar_exits_before_it_sends_orders(self):
        """A request is answered by an adapter that it did not ask for.

        Two sidecars control the same engine, and one loads into a slot in
        which the other runs a request. Cause: a replacement may start while
        its predecessor is alive or paused.
        """
        await self.serve()
        port = self.shell.links.server.port
        fed = []

        def reduce(state, event):
            fed.append(event)
            return state, []

        second = self.make_shell(reduce, listen={'port': port})
        with self.assertRaises(_shell.PortTakenError) as caught:
            await second.start()
        self.assertIn(f'127.0.0.1:{port} is taken', str(caught.exception))
        self.assertEqual([], fed)


class DefectTest(ShellTestCase):
    async def test_defect_in_the_reducer_ends_the_process(self):
        """An adapter in use is evicted after an error in the log.

        The reducer fails half way through an event and continues with wrong
        pin counts. Cause: the process logs the error and keeps running.
        """

        def reduce(state, event):
            raise ZeroDivisionError

        with self.assertLogs(level='ERROR'):
            await self.serve(reduce)
            self.assertEqual(1, await self.shell.ended)


class LoadTest(sidecar_helper.RunTestCase):
    async def load_failure(self, error):
        """Return the event fed for a load that raises ``error``."""
        self.control.load_error = error
        tasks = shell.Tasks()
        calls = _endpoint_calls.EndpointCalls(
            self.control, self.feed, clock.MonotonicClock(), tasks
        )
        adapter = builders.adapter()
        order = effects.LoadAdapter('o1', 0, adapter, 1, 'epoch-1', 1000)
        self.fed_events.clear()
        with self.assertLogs(level='WARNING'):
            calls.load(order)
            return await self.wait_for_event(events.LoadFailed)

    async def test_only_refused_and_unsent_orders_are_not_done(self):
        """A request is answered by an adapter that it did not ask for.

        The answer to a load is lost, the slot is assumed to be unchanged,
        and the load takes effect. Cause: an order of unknown outcome is
        treated as not carried out.
        """
        unknown = events.Certainty.UNKNOWN
        not_done = events.Certainty.NOT_DONE
        reasons = events.LoadFailure
        cases = (
            (outgoing.CallOutcomeUnknown('lost'), unknown, reasons.NO_ANSWER),
            (outgoing.CallNotSent('down'), not_done, reasons.NO_ANSWER),
            (_refused('stale_fence'), not_done, reasons.STALE_FENCE),
            (_refused('wrong_epoch'), not_done, reasons.WRONG_EPOCH),
            (_refused('weights_unavailable'), not_done, reasons.WEIGHTS),
            (_refused('rate_limited'), not_done, reasons.RATE),
            (_refused('unknown_slot'), not_done, reasons.REFUSED),
            (ValueError('a defect'), unknown, reasons.NO_ANSWER),
        )
        for error, certainty, reason in cases:
            with self.subTest(str(error)):
                failed = await self.load_failure(error)
                self.assertEqual(certainty, failed.certainty)
                self.assertEqual(reason, failed.reason)


def _refused(kind):
    return outgoing.CallRefused(kind, 409)
