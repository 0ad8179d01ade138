"""Tests of claims: a key runs at most once, also when the log fails."""

from berylhollow import claims
from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from berylhollow.standin import faults
from berylhollow.standin import log
from test import builders
from test import helper

HOUR_MS = 3600 * 1000


class ClaimTestCase(helper.ReducerTestCase):
    """One log, and gateways that are started on it one after the other."""

    def setUp(self):
        self.log = log.LogModel()
        self.requests = 0

    def start_gateway(self, name='g1', incarnation='i1', **options):
        state = builders.gateway_state(name, claim_partitions=1, **options)
        self.begin(gateway.reduce, state)
        self.feed(
            events.Started(0, incarnation),
            events.InstancesListed(0, (builders.instance('e1'),)),
            events.LinkOpened(0, 'e1', events.Role.ENDPOINT, 'i1'),
        )
        return state

    def send(self, key='k', at_ms=0, settle=True, **changes):
        self.requests += 1
        request = builders.request(
            f'r{self.requests}',
            key=key,
            **({'fingerprint': 'same'} | changes),
        )
        self.feed(events.RequestArrived(at_ms, request))
        if settle:
            self.answer_log(self.log, at_ms)

    def offers(self):
        return self.sent(messages.Offer)

    def answer(self):
        (answer,) = self.of_type(effects.AnswerError)
        return answer

    def finish(self, body=b'done', at_ms=0):
        attempt_id = self.offers()[0].attempt_id
        request_id = attempt_id.split('.')[0]
        self.feed(
            events.AnswerRelayed(at_ms, request_id, attempt_id, 200, (), body),
            events.Ticked(at_ms + 100),
        )
        self.answer_log(self.log, at_ms + 100)


class ClaimTest(ClaimTestCase):
    def test_first_claim_runs(self):
        self.start_gateway()
        self.send()
        self.assertEqual(1, len(self.offers()))

    def test_two_gateways_race_for_a_key(self):
        """Guards against a request that runs twice.

        The caller sends the same key through two gateways at once, and both
        append before either reads. A check made before the append would let
        both run.
        """
        first = self.start_gateway('g1', 'i1')
        self.send(settle=False)
        first_effects = self.effects
        self.start_gateway('g2', 'i2')
        self.send(settle=False)
        self.answer_log(self.log)
        self.assertEqual(1, len(self.offers()))
        self.state, self.effects = first, first_effects
        self.answer_log(self.log)
        self.assertEqual([], self.offers())
        self.assertIs(errors.Kind.KEY_IN_PROGRESS, self.answer().kind)

    def test_lost_answer_of_an_append_is_settled_by_reading(self):
        """Guards against refusing a request whose claim is on the log.

        The append takes effect but its answer is lost, which must not be
        treated as a failed append.
        """
        self.start_gateway()
        self.send(settle=False)
        fault = faults.PlatformFault.APPEND_ANSWER_LOST
        self.log.faults.start(fault, 0, 1)
        self.answer_log(self.log)
        self.assertEqual(1, len(self.offers()))

    def test_log_outage_is_answered_not_run(self):
        self.start_gateway()
        self.log.faults.start(faults.PlatformFault.LOG_DOWN, 0)
        self.send()
        self.assertEqual([], self.offers())
        self.assertIs(errors.Kind.CLAIMS_UNAVAILABLE, self.answer().kind)
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)

    def test_late_claim_of_a_refused_request_does_not_hold_the_key(self):
        """Guards against a key that is blocked for hours after an outage.

        The append's answer is lost and the gateway refuses the request; the
        claim arrives on the log after its NOT_RUN entry. It must not hold
        the key, since its gateway has already given it up.
        """
        self.start_gateway()
        self.send(settle=False)
        (late,) = self.of_type(effects.Append)
        unknown = events.Certainty.UNKNOWN
        self.feed(
            events.AppendFailed(0, late.stream, late.append_id, unknown),
            events.Ticked(2000),
            events.Ticked(2600),
        )
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)
        self.answer_log(self.log, 2600)
        self.log.append(late.stream, late.data, 2700)
        self.start_gateway('g2', 'i2')
        self.send(at_ms=3000)
        self.assertEqual(1, len(self.offers()))


class ResendTest(ClaimTestCase):
    def test_finished_key_gets_the_stored_answer(self):
        self.start_gateway()
        self.send()
        self.finish(b'booked')
        self.start_gateway('g2', 'i2')
        self.send(at_ms=HOUR_MS)
        (stored,) = self.of_type(effects.AnswerStored)
        self.assertEqual(b'booked', stored.body)
        self.assertEqual([], self.offers())

    def test_resend_without_a_stored_answer_gets_already_ran(self):
        self.start_gateway()
        self.send()
        self.finish(body=None)
        self.send(at_ms=1000)
        self.assertIs(errors.Kind.ALREADY_RAN, self.answer().kind)

    def test_unsettled_key_of_a_gateway_that_died(self):
        """Guards against a second run after every process was replaced.

        The gateway dies with the request in flight, every process is
        replaced, and an hour later the caller sends the key again. The key's
        state must be on the log, not in a process.
        """
        self.start_gateway()
        self.send()
        self.start_gateway('g9', 'i9')
        self.send(at_ms=HOUR_MS)
        self.assertEqual([], self.offers())
        self.assertIs(errors.Kind.OUTCOME_UNKNOWN, self.answer().kind)
        self.assertIs(errors.Ran.UNKNOWN, self.answer().ran)

    def test_refused_request_frees_its_key(self):
        self.start_gateway()
        self.send()
        refused = messages.Failed(
            self.offers()[0].attempt_id,
            errors.Kind.LEAVING,
            errors.Ran.NOT_RUN,
        )
        self.receive(refused)
        self.feed(events.Ticked(100))
        self.answer_log(self.log, 100)
        self.start_gateway('g2', 'i2')
        self.send(at_ms=200)
        self.assertEqual(1, len(self.offers()))

    def test_other_request_with_the_same_key_is_refused(self):
        self.start_gateway()
        self.send()
        self.send(fingerprint='other', at_ms=100)
        self.assertIs(errors.Kind.KEY_REUSED, self.answer().kind)

    def test_caller_that_disconnects_gets_the_answer_on_resend(self):
        self.start_gateway()
        self.send()
        offers = self.effects
        self.feed(events.CallerGone(10, 'r1'))
        self.assertEqual([], self.sent(messages.Cancel))
        self.effects = offers
        self.finish(b'booked')
        self.send(at_ms=1000)
        self.assertEqual(1, len(self.of_type(effects.AnswerStored)))


class LedgerTest(ClaimTestCase):
    def test_trimmed_stream_is_read_from_its_oldest_record(self):
        limits = log.LogLimits(retention_ms=2 * HOUR_MS)
        self.log = log.LogModel(limits)
        self.start_gateway(claim_window_ms=HOUR_MS)
        self.send(key='old')
        self.start_gateway('g2', 'i2', claim_window_ms=HOUR_MS)
        self.send(key='new', at_ms=3 * HOUR_MS, settle=False)
        self.answer_log(self.log, 3 * HOUR_MS)
        self.feed(events.Ticked(3 * HOUR_MS + 600))
        self.answer_log(self.log, 3 * HOUR_MS + 600)
        self.assertEqual(1, len(self.offers()))

    def test_garbage_on_the_stream_is_skipped(self):
        self.log.append('claims-0', b'\xff\x00garbage', 0)
        self.start_gateway()
        self.send()
        self.assertEqual(1, len(self.offers()))

    def test_entries_are_equal_after_encoding_and_decoding(self):
        key = claims.digest_key('caller', 'service', 'key')
        answer = claims.StoredAnswer(
            201, (messages.Header('a', 'b'),), b'body'
        )
        batch = [
            claims.Claim(key, 'c1', b'print', 1000),
            claims.Settled(key, 'c1', claims.Outcome.RAN, answer),
        ]
        self.assertEqual(batch, claims.decode(claims.encode(batch)))
