"""What the soak holds against the programs: each promise can be broken."""

import random
import types
import unittest

from tools.soak import _admissions
from tools.soak import _answers
from tools.soak import _callers
from tools.soak import _operator
from tools.soak import _promises
from tools.soak import _schedule
from tools.soak import _streams

KEY = 'key-1'
GATEWAY = 'g1'
QUARANTINED = b'{"kind": "quarantined"}'


class PromiseTestCase(unittest.TestCase):
    """An account of made-up requests, runs and faults."""

    def setUp(self):
        self.exchanges = []
        self.runs = []
        self.arrivals = []
        self.admissions = _admissions.NOTHING
        self.streams = []
        self.operator = types.SimpleNamespace(
            key=KEY,
            taken_away={},
            named=[],
            large=[],
            limits=[_operator.Confirmed('limit', 1000, 0.0)],
        )
        declaring = _operator.Operator(None, random.Random(1))
        declaring.large = [_operator.Confirmed('route', '/v2/', 100.0)]
        declaring.declare()
        self.operator.most_runs = declaring.most_runs
        self.schedule = types.SimpleNamespace(
            faults=[],
            left={},
            words=[],
            world=types.SimpleNamespace(gateways=[GATEWAY], models=['m0']),
        )

    def request(
        self,
        sent=100.0,
        status=200,
        ran=1,
        paused=False,
        started=1,
        waited=0.01,
        version=None,
        **changes,
    ):
        """Add a request that ran so often; return its id."""
        request_id = f'id-{len(self.exchanges)}'
        values = {
            'path': '/p/x',
            'key': KEY,
            'tokens': 200,
            'adapter': '',
            'ended': sent + 0.1,
            'body': f'answer to {request_id}'.encode(),
        }
        headers = {'Tenant': _operator.WORKSPACE}
        headers |= changes.pop('headers', {})
        self.exchanges.append(
            _callers.Exchange(
                request_id,
                gateway=GATEWAY,
                sent=sent,
                status=status,
                **(values | changes),
            )
        )
        self.runs += [
            {
                'ran': request_id,
                'at': sent + waited,
                'instance': 'i-p0',
                'version': version,
                'headers': headers,
            }
        ] * ran
        self.arrivals.append(
            {
                'got': request_id,
                'at': sent + 0.01,
                'instance': 'i-p0',
                'started': started,
                'paused': paused,
            }
        )
        return request_id

    def word(self, kind, value=0.0, since=100.0, until=200.0):
        self.schedule.words = [
            _schedule.Word(kind, 'i-p0', since, value, until)
        ]

    def fault(self, kind, target, since, until):
        fault = _schedule.Fault(kind, target, since, until)
        self.schedule.faults.append(fault)

    def verdict(self, name):
        account = _promises.Account(
            self.exchanges,
            self.runs,
            self.operator,
            self.schedule,
            0.0,
            self.arrivals,
            self.admissions,
            self.streams,
        )
        return account.verdicts()[name]

    def check(self, name, asked, broken):
        verdict = self.verdict(name)
        self.assertEqual(asked, verdict.asked)
        self.assertEqual(broken, len(verdict.broken))


class PromiseTest(PromiseTestCase):
    def test_what_was_never_asked_is_told_apart(self):
        self.check('revoked key ends in time', 0, 0)

    def test_refusal_of_another_request(self):
        self.request(status=503, ran=0, answer_id='id-0')
        self.check('own whole answer', 0, 0)
        self.request(status=503, ran=0, answer_id='id-0')
        self.check('own whole answer', 1, 1)

    def test_answer_of_another_request(self):
        self.request()
        self.request(body=b'answer to id-7')
        self.check('own whole answer', 2, 1)

    def test_cut_answer_that_passes_for_whole(self):
        plan = _answers.Plan('connection', 'events', 'inside')
        sent = plan.sent_body('id-0')
        self.request(body=sent, plan=plan)
        self.request(status=None, plan=plan)
        self.check('cut answer looks cut', 2, 1)
        self.check('own whole answer', 1, 1)

    def test_cut_answer_with_the_bytes_of_a_whole_one(self):
        """Only the connection ends it, between two events: nobody can tell."""
        plan = _answers.Plan('connection', 'events', 'between')
        self.request(body=plan.sent_body('id-0'), plan=plan)
        self.check('cut answer looks cut', 0, 0)
        self.check('own whole answer', 1, 0)

    def test_refused_and_run(self):
        self.request(status=503)
        self.request(status=429, ran=0)
        self.check('not run is true', 2, 1)

    def test_run_more_often_than_its_route_allows(self):
        for path in ('/p/x', '/m/x', '/o/x', '/v2/'):
            self.request(path=path)
            self.request(path=path, ran=2)
        self.check('at most once', 8, 2)
        for path in ('/o/x', '/v2/'):
            self.request(path=path, ran=3)
        self.check('at most once', 10, 4)

    def test_run_though_no_route_was_ever_there(self):
        self.request(path='/v3/')
        self.check('at most once', 1, 1)

    def test_another_adapter(self):
        self.request(adapter='a1', headers={'Model': 'base/a2'})
        self.check('adapter as asked', 1, 1)

    def name_version(self):
        """Name version 3 of an adapter at 100 s."""
        self.operator.named = [_operator.Confirmed('a1', 3, 100.0)]

    def test_version_that_begins_after_its_time(self):
        self.name_version()
        for version in (2, 3):
            self.request(106.0, adapter='a1', version=version)
        self.check('newest version', 2, 1)

    def test_version_that_waits_until_its_time_is_over(self):
        self.name_version()
        for sent, waited in ((99.0, 5.9), (102.0, 2.9), (104.0, 0.9)):
            self.request(sent, waited=waited, adapter='a1', version=2)
        self.check('newest version', 0, 0)
        for sent, waited in ((99.0, 6.1), (102.0, 3.1), (104.0, 1.1)):
            self.request(sent, waited=waited, adapter='a1', version=2)
        self.check('newest version', 3, 3)

    def test_version_where_nothing_kept_a_gateway_from_it(self):
        self.name_version()
        self.request(104.0, waited=1.1, adapter='a1', version=2)
        for kind, target in (
            ('down', 'store'),
            ('deaf', f'{GATEWAY} store'),
            ('narrow', f'{GATEWAY} rate'),
            ('kill', GATEWAY),
            ('silent', 'm0'),
            ('reset', 'm0 link'),
        ):
            with self.subTest(target=target):
                self.fault(kind, target, 97.5, 98.0)
                self.check('newest version', 0, 0)
                self.schedule.faults.clear()
        for kind, target in (
            ('kill', 'g2'),
            ('freeze', 'sm0'),
            ('restart', 'm0'),
        ):
            self.fault(kind, target, 97.5, 105.0)
        self.fault('down', 'store', 105.2, 106.0)
        self.check('newest version', 1, 1)

    def declare_large(self):
        """Declare a route at 100 s that another replaces at 110 s."""
        self.operator.large = [
            _operator.Confirmed('route', '/v2/', 100.0, 99.0),
            _operator.Confirmed('route', '/v3/', 110.0, 109.0),
        ]

    def test_route_that_is_not_there_in_time(self):
        self.declare_large()
        for sent in (102.9, 103.1, 109.0):
            self.request(sent, 404, ran=0, path='/v2/')
        self.request(103.1, path='/v2/')
        self.check('configuration in force in time', 2, 1)

    def test_route_that_is_not_gone_in_time(self):
        self.declare_large()
        self.request(112.9, path='/v2/')
        self.request(113.1, path='/v2/')
        self.request(113.1, 404, ran=0, path='/v2/')
        self.check('configuration in force in time', 2, 1)

    def test_route_at_a_gateway_that_was_cut_off(self):
        self.declare_large()
        self.fault('deaf', f'{GATEWAY} store', 99.0, 101.0)
        self.request(103.1, 404, ran=0, path='/v2/')
        self.check('configuration in force in time', 0, 0)

    def test_request_after_the_endpoint_has_left(self):
        self.schedule.left = {'p0': 90.0}
        self.request(91.0)
        self.request(93.0)
        self.check('nothing new after leaving', 1, 1)
        self.fault('silent', f'{GATEWAY} store', 89.0, 93.0)
        self.check('nothing new after leaving', 1, 0)

    def test_planned_stop_that_cuts_a_request_off(self):
        self.fault('stop', GATEWAY, 100.0, 103.0)
        self.request(99.95, status=None)
        self.check('planned stop cuts nothing', 2, 1)

    def test_key_that_nobody_has(self):
        self.request(key=_operator.UNKNOWN_KEY)
        self.check('unknown key never runs', 1, 1)

    def test_key_that_was_taken_away(self):
        self.operator.taken_away = {'old': 90.0}
        self.request(94.0, key='old')
        self.request(96.0, key='old')
        self.check('revoked key ends in time', 1, 1)

    def test_name_that_a_caller_made_up(self):
        self.request(headers={'Tenant': 'made-up'})
        self.check('workspace of the key', 1, 1)

    def test_key_that_was_passed_on(self):
        self.request(headers={'Api-Key': KEY})
        self.check('key goes nowhere', 1, 1)

    def test_quota_in_a_window_that_slides(self):
        """9,000 and a tenth, and 5,000: 14,900 may be used in 8 s."""
        for number in range(74):
            self.request(number / 10, key=_operator.LIMITED_KEY)
        self.check('quota in every window', 74, 0)
        self.request(7.5, key=_operator.LIMITED_KEY)
        self.check('quota in every window', 75, 1)

    def test_rate_that_is_exceeded(self):
        """One a second: eleven may come in 4 s, from 3 s on."""
        self.word('rate', 1.0)
        for number in range(11):
            self.request(100.0 + number / 10)
        self.check('rate over all gateways', 0, 0)
        for number in range(12):
            self.request(104.0 + number / 10)
        self.check('rate over all gateways', 12, 1)
        self.fault('kill', GATEWAY, 103.0, 103.5)
        self.check('rate over all gateways', 0, 0)

    def test_request_after_an_answer_that_told_of_leaving(self):
        self.word('leaving')
        self.request(100.0)
        self.request(102.0)
        self.request(103.0)
        self.check('nothing after leaving by answers', 1, 1)
        self.fault('freeze', GATEWAY, 101.0, 102.0)
        self.check('nothing after leaving by answers', 1, 0)

    def test_request_to_a_new_start_that_has_not_told_of_leaving(self):
        self.word('leaving')
        self.request(100.0)
        self.request(103.0, started=2)
        self.request(104.0, started=2)
        self.check('nothing after leaving by answers', 2, 0)
        self.request(102.5)
        self.request(105.5, started=2)
        self.check('nothing after leaving by answers', 2, 2)

    def test_requests_in_a_pause(self):
        self.word('pause', 2.0, until=100.3)
        self.request(100.0, status=503, ran=0, paused=True)
        for sent in (100.4, 100.7, 101.0, 102.1):
            self.request(sent)
        self.check('pause is kept', 3, 0)
        self.request(101.5)
        self.check('pause is kept', 4, 1)

    def crash(self, sent, status=502, ran=1, body=b''):
        """Add a request that crashes the endpoint which runs it."""
        path = _callers.CULPRIT_PATH
        self.request(sent, status, ran, path=path, body=body)

    def test_innocent_request_that_is_quarantined(self):
        self.request()
        self.request(status=503, ran=0, body=QUARANTINED)
        self.crash(100.0, 503, ran=0, body=QUARANTINED)
        self.check('only culprits are quarantined', 2, 1)

    def test_crashing_request_that_goes_on_running(self):
        for sent in (100.0, 104.0, 108.0):
            self.crash(sent)
        self.check('crashing request ends refused', 0, 0)
        self.crash(112.05, status=None, ran=0)
        self.crash(112.1, 503, ran=0, body=QUARANTINED)
        self.crash(112.2)
        self.check('crashing request ends refused', 3, 1)

    def test_crashing_request_that_ends_many_endpoints(self):
        """Three more are allowed later than a time after the third."""
        path = f'{_callers.CULPRIT_PATH}-1'
        for sent in (100.0, 100.1, 100.2, 100.3, 102.9, 104.0, 105.0, 106.0):
            self.request(sent, status=502, path=path)
        self.request(107.0, status=502, path=f'{path}0')
        self.check('crashing request ends few endpoints', 1, 0)
        self.request(107.0, status=502, path=path)
        self.check('crashing request ends few endpoints', 1, 1)
        self.fault('kill', GATEWAY, 104.5, 105.5)
        self.check('crashing request ends few endpoints', 1, 0)

    def test_crashing_request_at_a_gateway_that_did_not_hear_of_it(self):
        for sent in (100.0, 104.0, 108.0, 112.2):
            self.crash(sent)
        for target in ('m0 link', 'sm0', GATEWAY, f'{GATEWAY} store'):
            with self.subTest(target=target):
                self.fault('silent', target, 105.0, 106.0)
                self.check('crashing request ends refused', 0, 0)
                self.schedule.faults.clear()
        self.check('crashing request ends refused', 1, 1)

    def test_callers_who_are_not_served_after_all(self):
        for number in range(10):
            self.request(status=200 if number else 503)
        self.check('served after all', 10, 0)
        for _ in range(5):
            self.request(status=503)
        self.check('served after all', 15, 6)

    def test_wait_for_admission_beyond_the_deadline(self):
        """A request whose grant was lost waited on after its deadline."""
        shown_id = self.request(100.0, deadline_ms=4000)
        for until, is_broken in ((104.9, 0), (105.1, 1)):
            wait = _admissions.Wait('r', GATEWAY, 100.1, until, shown_id)
            self.admissions = _admissions.Seen(95.0, (wait,))
            self.check('admission ends in time', 1, is_broken)
        self.admissions = _admissions.Seen(104.5, (wait,))
        self.check('admission ends in time', 1, 0)

    def test_wait_for_admission_without_an_answer(self):
        """The longest deadline counts, as the request is not known."""
        for until, is_broken in ((106.9, 0), (107.1, 1)):
            wait = _admissions.Wait('r', GATEWAY, 100.0, until)
            self.admissions = _admissions.Seen(95.0, (wait,))
            self.check('admission ends in time', 1, is_broken)

    def test_queue_that_is_not_empty_at_the_end(self):
        """A request that its gateway gave up was left in the queue."""
        queues = {'sm0': 0.0, 'sm1': 2.0, 'sm2': None}
        self.admissions = _admissions.Seen(queues=queues)
        self.check('admission queues end empty', 3, 2)


class AdmissionLinesTest(unittest.TestCase):
    """What is read from the log of a gateway and the page of a sidecar."""

    def line(self, second, message, request_id='r', **fields):
        time = f'1970-01-01T00:01:{second:06.3f}Z'
        fields |= {'message': message, 'request_id': request_id}
        return {'time': time, **fields}

    def read(self, *lines):
        waits = _admissions.read_waits('g1', lines, 10.0, 200.0)
        return [(wait.shown_id, wait.since, wait.until) for wait in waits]

    def test_waits_of_one_request(self):
        """The wait after a failed attempt was taken for ended."""
        begin = _admissions.BEGIN
        lines = (
            self.line(1.0, begin),
            self.line(1.5, begin),
            self.line(2.0, 'attempt offered'),
            self.line(3.0, begin),
        )
        waits = [('', 51.0, 52.0), ('', 53.0, 200.0)]
        self.assertEqual(waits, self.read(*lines))
        answered = self.line(4.0, 'answered', shown_id='id-1')
        waits = [('id-1', 51.0, 52.0), ('id-1', 53.0, 54.0)]
        self.assertEqual(waits, self.read(*lines, answered))

    def test_end_that_may_be_among_dropped_lines(self):
        """A wait passed for endless as its end was not logged."""
        begin = _admissions.BEGIN
        other = self.line(5.0, begin, 'other', lines_left_out=7)
        waits = [('', 55.0, 200.0)]
        self.assertEqual(waits, self.read(self.line(1.0, begin), other))

    def test_metric(self):
        page = (
            '# TYPE a_waiting gauge\n'
            'a_waiting{service="x"} 2.0\na_waiting_total 5.0\n'
        )
        self.assertEqual(2.0, _admissions.read_metric(page, 'a_waiting'))
        self.assertIsNone(_admissions.read_metric(page, 'waiting'))


class StreamTest(PromiseTestCase):
    """Streams that are taken up again, beside four endpoints."""

    def setUp(self):
        super().setUp()
        world = self.schedule.world
        world.plain = ['p0', 'p1', 'p2', 'p3']
        world.crashes = list
        world.software_at = lambda name, at: f'v{1 + int(name[1]) % 2}'

    def stream(self, *versions, goes_on=True, sent=100.0):
        """Add a stream that broke after its first event."""
        first = _streams.Try('a', GATEWAY, 1, sent, sent + 1, 200, 1)
        got = len(versions) - 1 if goes_on else 0
        again = _streams.Try('b', GATEWAY, 2, sent + 1, sent + 2, 200, got)
        received = list(enumerate(versions, 1))
        self.streams.append(_streams.Stream([first, again], received))

    def test_stream_of_two_versions(self):
        self.stream('v1', 'v1')
        self.check('stream of one software version', 1, 0)
        self.stream('v1', 'v2')
        self.check('stream of one software version', 2, 1)

    def test_event_that_comes_twice(self):
        self.stream('v1', 'v1')
        self.streams[0].received[1] = (1, 'v1')
        self.check('stream of one software version', 1, 1)

    def test_too_few_streams_go_on(self):
        for number in range(20):
            self.stream('v1', 'v1', goes_on=number >= 2)
        self.check('broken streams go on', 20, 0)
        self.stream('v1', goes_on=False)
        self.check('broken streams go on', 21, 3)

    def test_few_resumptions_say_nothing(self):
        for _ in range(11):
            self.stream('v1', goes_on=False)
        self.check('broken streams go on', 0, 0)

    def test_streams_without_two_endpoints_of_their_version(self):
        for _ in range(20):
            self.stream('v1', goes_on=False)
        self.fault('kill', 'p0', 98.0, 99.0)
        self.check('broken streams go on', 0, 0)

    def test_gateway_out_of_touch_is_not_asked(self):
        for _ in range(20):
            self.stream('v1', goes_on=False)
        self.fault('freeze', GATEWAY, 99.0, 100.5)
        self.check('broken streams go on', 0, 0)
