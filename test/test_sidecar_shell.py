"""Tests of the sidecar's shell, between a gateway's link and stand-ins."""

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
    """A sidecar between stand-ins, and a gateway linked to it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.platform_url = await self.serve_platform()
        self.handler = link_builders.RecordingHandler()

    def make_shell(self, reduce=sidecar.reduce, **changes):
        settings = make_settings(
            self.platform_url, self.endpoint_url, **changes
        )
        state = builders.sidecar_state(
            status_poll_ms=10, report_ms=10, farewell_ms=10
        )
        return _shell.Shell(settings, reduce, state, lambda *_: None)

    async def serve(self, reduce=sidecar.reduce, **changes):
        self.endpoint_url = await self.serve_engine(self.platform_url)
        self.shell = self.make_shell(reduce, **changes)
        await self.shell.start()
        self.stack.push_async_callback(self.shell.close)

    async def connect(self):
        """Link a gateway to the sidecar."""
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
        await self.handler.until(self.ready)
        return link

    def of_type(self, message_type):
        return [
            message
            for message in self.handler.messages
            if isinstance(message, message_type)
        ]

    def ready(self):
        reports = self.of_type(messages.Report)
        return bool(reports) and reports[-1].ready


class AnswerTest(ShellTestCase):
    async def test_offer_is_loaded_run_and_relayed(self):
        await self.serve()
        link = await self.connect()
        link.send(builders.offer(body=BODY))
        await self.handler.until(lambda: self.of_type(messages.End))
        (started,) = self.of_type(messages.Started)
        self.assertEqual('a1@1', str(started.adapter))
        parts = self.of_type(messages.Data)
        body = b''.join(part.payload for part in parts)
        self.assertTrue(body.rstrip().endswith(b'data: [DONE]'))
        self.assertEqual(len(parts), self.of_type(messages.End)[0].count)

    async def test_graceful_stop_finishes_what_runs(self):
        """A rollout cuts off the answers that are being read.

        The sidecar is told to stop while an answer is on its way. Cause: a
        stop that closes the links before the last frame is on them.
        """
        await self.serve()
        link = await self.connect()
        link.send(builders.offer(body=BODY))
        await self.handler.until(lambda: self.of_type(messages.Started))
        self.assertEqual(0, await self.shell.stop())
        await self.handler.until(lambda: self.handler.downs)
        (end,) = self.of_type(messages.End)
        self.assertEqual(len(self.of_type(messages.Data)), end.count)

    async def test_stop_waits_for_a_gateway_to_fetch_the_end(self):
        """A rollout leaves a caller with half an answer.

        The gateway's link breaks as the last frames are on it, and the
        sidecar ends before the gateway is back. Cause: an answer that was
        sent taken for one that has arrived.
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
        await self.handler.until(lambda: self.of_type(messages.End))
        parts = len(self.of_type(messages.Data))
        self.assertEqual(parts, self.of_type(messages.End)[0].count)
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
    async def test_full_link_is_relieved_without_acknowledgements(self):
        """An answer stops in the middle and never goes on.

        Its link was full as its next part came; what was sent before is
        acknowledged already. Cause: only an acknowledgement wakes it.
        """
        await self.serve()
        await self.connect()
        relieved = asyncio.Event()
        self.shell.links.relieve = lambda peer: relieved.set()
        link = self.shell.links.by_peer['g1']
        link.queued_bytes = link.options.congested_bytes + 1
        self.assertTrue(self.shell.links.congested('g1'))
        link.queued_bytes = 0
        await relieved.wait()


class PortTest(ShellTestCase):
    async def test_second_sidecar_ends_before_it_orders_anything(self):
        """A request is answered by an adapter that it did not ask for.

        Two sidecars each take the engine for their own; one loads over a
        slot on which the other has a request. Cause: a replacement that may
        start while its predecessor is alive, or only paused.
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

        The reducer fails half way through an event and goes on with pins
        that were counted wrongly. Cause: a defect that is logged and
        survived.
        """

        def reduce(state, event):
            raise ZeroDivisionError

        with self.assertLogs(level='ERROR'):
            await self.serve(reduce)
            self.assertEqual(1, await self.shell.ended)


class LoadTest(sidecar_helper.RunTestCase):
    async def failure(self, error):
        """Return what is reported of a load that fails like this."""
        self.control.load_error = error
        tasks = shell.Tasks()
        calls = _endpoint_calls.EndpointCalls(
            self.control, self.feed, clock.MonotonicClock(), tasks
        )
        adapter = builders.adapter()
        order = effects.LoadAdapter('o1', 0, adapter, 1, 'epoch-1', 1000)
        self.fed.clear()
        with self.assertLogs(level='WARNING'):
            calls.load(order)
            return await self.until(events.LoadFailed)

    async def test_only_a_refused_or_unsent_order_is_not_done(self):
        """A request is answered by an adapter that it did not ask for.

        A load's answer is lost, the slot is taken for unchanged, and the
        load takes effect. Cause: an order of unknown outcome taken for one
        that was never carried out.
        """
        unknown = events.Certainty.UNKNOWN
        not_done = events.Certainty.NOT_DONE
        reasons = events.LoadFailure
        cases = (
            (outgoing.MaybeDone('lost'), unknown, reasons.NO_ANSWER),
            (outgoing.NotDone('down'), not_done, reasons.NO_ANSWER),
            (_refused('stale_fence'), not_done, reasons.STALE_FENCE),
            (_refused('wrong_epoch'), not_done, reasons.WRONG_EPOCH),
            (_refused('weights_unavailable'), not_done, reasons.WEIGHTS),
            (_refused('rate_limited'), not_done, reasons.RATE),
            (_refused('unknown_slot'), not_done, reasons.REFUSED),
            (ValueError('a defect'), unknown, reasons.NO_ANSWER),
        )
        for error, certainty, reason in cases:
            with self.subTest(str(error)):
                failed = await self.failure(error)
                self.assertEqual(certainty, failed.certainty)
                self.assertEqual(reason, failed.reason)


def _refused(kind):
    return outgoing.Refused(kind, 409)
