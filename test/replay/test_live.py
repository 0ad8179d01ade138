"""Tests of the live replay against stand-ins that answer as a gateway."""

import contextlib
import hashlib
import io
import json
import pathlib
import tempfile
import unittest

from aiohttp import web

from berylhollow import replay
from berylhollow.replay import _live_calls
from berylhollow.ui import _program
from berylhollow.util import exits

Verdict = _live_calls.Verdict
MODEL = replay.TraceRequest(
    0, 'firm-1', 'assistant', 'a001', '1', output_tokens=4
)
ORDER = replay.TraceRequest(
    0, 'firm-1', 'register', idempotent=False, key='order-1'
)
WHOLE_TEXTS = (' 1', ' 2', ' 3')


def text_of(call):
    """Return the user's message of a model call."""
    return json.loads(call.body)['messages'][-1]['content']


def chunk(text, model='a001@1'):
    choice = {'delta': {'content': text}}
    value = {'id': 'run-1', 'model': model, 'choices': [choice]}
    return f'data: {json.dumps(value)}\n\n'.encode()


def stream(call, texts=WHOLE_TEXTS, end=b'data: [DONE]\n\n', owner=None):
    first = f'[a001@1] {owner or text_of(call)}'
    return b''.join(chunk(text) for text in (first, *texts)) + end


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.call = _live_calls.make(MODEL, 0, 'run')

    def judge(self, body, ended=True, status=200, error=''):
        received = _live_calls.Received(status, body, ended, error)
        return _live_calls.judge(self.call, received)

    def test_a_whole_stream(self):
        judgement = self.judge(stream(self.call))
        self.assertEqual(Verdict.WHOLE, judgement.verdict)

    def test_an_answer_to_another_request(self):
        """A caller reads an answer that is whole and is not its own.

        Two requests are in flight, and a late frame of one attempt is given
        to the other's caller. Only the repeated message tells.
        """
        judgement = self.judge(stream(self.call, owner='run-9'))
        self.assertEqual(Verdict.WRONG, judgement.verdict)

    def test_another_adapter(self):
        body = stream(self.call).replace(b'a001@1', b'a002@1')
        self.assertEqual(Verdict.WRONG, self.judge(body).verdict)

    def test_a_change_of_adapter_on_the_way(self):
        """The text switches to another adapter in the middle.

        A load was ordered over a slot that a request was using, so its
        remaining tokens come from the new adapter.
        """
        body = stream(self.call, (' 1', ' [a002@1]', ' 3'))
        self.assertEqual(Verdict.WRONG, self.judge(body).verdict)

    def test_a_stream_that_ends_early_as_if_whole(self):
        """A caller sees a clean end before the answer is whole.

        The connection to the engine broke, and the end of what had come was
        taken for the end of the answer.
        """
        for body in (
            stream(self.call, (' 1',)),
            stream(self.call, end=b''),
            stream(self.call, (' 1', ' 3')),
        ):
            verdict = self.judge(body).verdict
            self.assertNotEqual(Verdict.WHOLE, verdict)
            self.assertIn(verdict, _live_calls.FINDINGS)

    def test_a_stream_that_breaks_visibly_is_an_error(self):
        body = stream(self.call, (' 1',), end=b'')
        judgement = self.judge(body, ended=False, error='connection_broken')
        self.assertEqual(Verdict.ERROR, judgement.verdict)
        self.assertEqual('connection_broken', judgement.kind)
        self.assertEqual('unknown', judgement.ran)

    def test_an_error_event_names_its_kind(self):
        event = {'error': {'kind': 'engine_restarted', 'ran': 'unknown'}}
        end = f'\n\nevent: error\ndata: {json.dumps(event)}\n\n'.encode()
        judgement = self.judge(stream(self.call, (' 1',), end), ended=False)
        self.assertEqual(Verdict.ERROR, judgement.verdict)
        self.assertEqual('engine_restarted', judgement.kind)

    def test_a_refusal_counts_by_kind_and_ran(self):
        body = json.dumps({'kind': 'overloaded', 'ran': 'not_run'}).encode()
        judgement = self.judge(body, status=503)
        self.assertEqual(
            (Verdict.ERROR, 'overloaded', 'not_run'),
            (judgement.verdict, judgement.kind, judgement.ran),
        )

    def test_an_answer_that_is_not_streamed(self):
        self.call = _live_calls.make(MODEL, 3, 'run')
        self.assertFalse(self.call.stream)
        message = {'content': self.call.expected}
        value = {'model': 'a001@1', 'choices': [{'message': message}]}
        whole = json.dumps(value).encode()
        self.assertEqual(Verdict.WHOLE, self.judge(whole).verdict)
        cut = self.judge(whole[:-3]).verdict
        self.assertEqual(Verdict.CUT_SHORT, cut)
        other = whole.replace(b'run-3', b'run-4')
        self.assertEqual(Verdict.WRONG, self.judge(other).verdict)

    def test_a_resent_key_is_the_same_request(self):
        first = _live_calls.make(ORDER, 0, 'run')
        again = _live_calls.make(ORDER, 7, 'run')
        self.assertEqual(first.body, again.body)
        self.assertEqual(first.path, again.path)


class Gateway:
    """Answers orders and model requests; ``runs`` names each new run."""

    def __init__(self, run_twice=False):
        self.run_twice = run_twice
        self.received = []
        self.faults = []

    async def order(self, request):
        self.received.append(request)
        number = len(self.received) if self.run_twice else 1
        return web.json_response(
            {
                'request': f'run-{number}',
                'key': request.headers['Idempotency-Key'],
                'path': request.path.removeprefix('/v1/services/register'),
                'body_digest': hashlib.sha256(
                    await request.read()
                ).hexdigest(),
            }
        )

    async def chat(self, request):
        self.received.append(request)
        value = await request.json()
        call = _live_calls.Call(MODEL, '', {}, json.dumps(value).encode())
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(stream(call))
        await response.write_eof()
        return response

    async def fault(self, request):
        self.faults.append(await request.json())
        return web.json_response({})


class LiveReplayTest(unittest.IsolatedAsyncioTestCase):
    async def play(self, gateway, items, **options):
        application = web.Application()
        application.router.add_post('/v1/chat/completions', gateway.chat)
        application.router.add_post('/faults', gateway.fault)
        application.router.add_post('/v1/services/{path:.*}', gateway.order)
        runner = web.AppRunner(application)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = runner.addresses[0][1]
        url = f'http://127.0.0.1:{port}'
        live = replay.LiveOptions(
            (url,), fault_urls={'engine-1': url}, **options
        )
        return await replay.LiveReplay(items, live).run()

    async def test_requests_and_faults_are_played(self):
        gateway = Gateway()
        faults = (
            replay.TraceFault(0, 'crash', 'engine-1'),
            replay.TraceFault(0, 'crash', 'engine-9'),
        )
        result = await self.play(gateway, [MODEL, *faults, ORDER])
        self.assertEqual([{'fault': 'crash'}], gateway.faults)
        self.assertEqual((1, 1), (result.faults_begun, result.faults_skipped))
        self.assertEqual(0, result.findings)
        for service in result.services:
            self.assertEqual({'whole': 1}, service.verdicts)
        self.assertEqual(2, len(gateway.received))

    async def test_two_runs_of_one_key_are_found(self):
        """A number is ported twice, and both answers look right.

        A caller sends its key again through another gateway while the claim
        of the first is not yet seen, and both give the order to an endpoint.
        """
        once = await self.play(Gateway(), [ORDER, ORDER])
        self.assertEqual(0, once.findings)
        twice = await self.play(Gateway(run_twice=True), [ORDER, ORDER])
        self.assertEqual(1, twice.findings)
        self.assertEqual(
            {'whole': 1, 'doubled': 1}, twice.services[0].verdicts
        )

    async def test_more_than_may_be_open_is_not_sent(self):
        gateway = Gateway()
        result = await self.play(gateway, [ORDER] * 3, most_open=1)
        self.assertEqual(
            {'whole': 1, 'not_sent': 2}, result.services[0].verdicts
        )
        self.assertEqual(1, len(gateway.received))

    async def test_a_gateway_that_is_gone_was_never_reached(self):
        live = replay.LiveOptions(('http://127.0.0.1:1',))
        result = await replay.LiveReplay([ORDER], live).run()
        self.assertEqual({'not_connected': 1}, result.services[0].errors)
        self.assertEqual({'not_run': 1}, result.services[0].ran)


class LiveCommandTest(unittest.TestCase):
    def call(self, *words):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'trace.jsonl'
            replay.write_trace(path, [ORDER])
            out, err = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(out):
                with contextlib.redirect_stderr(err):
                    code = _program.main(
                        ['replay', '--trace', str(path), *words]
                    )
        return code, out.getvalue(), err.getvalue()

    def test_a_host_name_is_refused(self):
        code, _, err = self.call('--live', 'http://localhost:8080')
        self.assertEqual(exits.ExitCode.INVALID, code)
        self.assertIn('must be an IP literal', err)

    def test_neither_live_nor_settings(self):
        code, _, err = self.call()
        self.assertEqual(exits.ExitCode.INVALID, code)
        self.assertIn('--settings, or --live', err)

    def test_the_result_as_json(self):
        code, out, _ = self.call(
            '--live', 'http://127.0.0.1:1', '--format', 'json'
        )
        self.assertEqual(exits.ExitCode.OK, code)
        (service,) = json.loads(out)['services']
        self.assertEqual('register', service['service'])


if __name__ == '__main__':
    unittest.main()
