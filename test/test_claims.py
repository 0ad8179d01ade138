"""Tests of claims: a key runs at most once, whatever becomes of the log."""

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
    """One log, and gateways that come and go."""

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
        """A customer's number is ported twice.

        The caller sends the same key through two gateways at once; both
        append before either reads. Cause: a check before the append.
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
        """A booking is refused though its claim is on the log.

        The append takes effect and its answer is lost. Cause: a lost
        answer taken for a failed append.
        """
        self.start_gateway()
        self.send(settle=False)
        fault = faults.PlatformFault.APPEND_ANSWER_LOST
        self.log.faults.start(fault, 0, 1)
        self.answer_log(self.log)
        self.assertEqual(1, len(self.offers()))

    def test_outage_is_a_true_not_run(self):
        self.start_gateway()
        self.log.faults.start(faults.PlatformFault.LOG_DOWN, 0)
        self.send()
        self.assertEqual([], self.offers())
        self.assertIs(errors.Kind.CLAIMS_UNAVAILABLE, self.answer().kind)
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)

    def test_late_claim_of_a_refused_request_does_not_hold_the_key(self):
        """A booking can't be made for hours after a short outage.

        The append's answer is lost and the gateway refuses; the record
        arrives after the entry that says so. Cause: a claim whose owner
        has already given up holds the key.
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

    def test_answer_that_is_not_kept_is_told(self):
        self.start_gateway()
        self.send()
        self.finish(body=None)
        self.send(at_ms=1000)
        self.assertIs(errors.Kind.ALREADY_RAN, self.answer().kind)

    def test_unsettled_key_of_a_gateway_that_died(self):
        """A resend books a second excavator after everything was replaced.

        The gateway dies with the booking in flight; every process is
        replaced; an hour later the caller sends the key again. Cause: the
        memory of a key kept in a process.
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

    def test_caller_that_hangs_up_can_learn_how_it_ended(self):
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

    def test_garbage_on_the_stream_is_passed_over(self):
        self.log.append('claims-0', b'\xff\x00garbage', 0)
        self.start_gateway()
        self.send()
        self.assertEqual(1, len(self.offers()))

    def test_entries_survive_the_wire(self):
        key = claims.digest_key('caller', 'service', 'key')
        answer = claims.StoredAnswer(
            201, (messages.Header('a', 'b'),), b'body'
        )
        batch = [
            claims.Claim(key, 'c1', b'print', 1000),
            claims.Settled(key, 'c1', claims.Outcome.RAN, answer),
        ]
        self.assertEqual(batch, claims.decode(claims.encode(batch)))
