"""A gateway's decisions about requests that take a stream up again."""

import collections
import dataclasses

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import resumption
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

LISTED_MS = 1000
"""When the list is first read; the routes are known from the start."""

HORIZON_MS = 15_000 + 30_000
"""The timeout of the route, and how long after it callers come back."""

SIDECAR_ADDRESS = '10.0.9.1:80'
SIDECAR = addresses.sidecar_peer(SIDECAR_ADDRESS)


def endpoint(number, version, **changes):
    return direct.plain(
        f'i-{number}',
        f'10.0.0.{number}:80',
        software_version=version,
        **changes,
    )


def beside():
    """Return an endpoint that takes no requests, beside a sidecar."""
    return direct.direct_instance('m-1', SIDECAR_ADDRESS, leaving=True)


class ResumptionTestCase(direct.DirectTestCase):
    """A gateway with one endpoint of ``v1`` and two of ``v2``."""

    rows = (endpoint(1, 'v1'), endpoint(2, 'v2'), endpoint(3, 'v2'))

    def options(self):
        return {'settle_ms': 0, 'retry_reserve': 20.0}

    def configure(self):
        stream = {
            'Kind': 'stream',
            'Resumable': True,
            'MaxAttempts': 2,
            'TimeoutMs': 15_000,
        }
        route = builders.plain_route(**stream)
        self.publish(builders.configuration_record(routes=[route]))
        self.list_instances(*self.rows, at_ms=LISTED_MS)

    def begin_stream(self, caller_id='a', at_ms=1100, status=200, **changes):
        """Let a new stream begin and return the peer of its endpoint."""
        self.send_request(at_ms=at_ms, caller_request_id=caller_id, **changes)
        return self.start_answer(at_ms, status)

    def start_answer(self, at_ms, status=200):
        peer, offer = self.offered()
        started = messages.Started(offer.attempt_id, status, (), None)
        self.receive(started, at_ms, peer)
        return peer

    def resume(self, stream_id='a', at_ms=1200, **changes):
        named = events.Resumption(stream_id)
        return self.send_request(at_ms=at_ms, resumption=named, **changes)

    def link_sidecar(self, at_ms=LISTED_MS, keeps_origins=True):
        self.list_instances(*self.rows, beside(), at_ms=at_ms)
        self.open_link(SIDECAR, events.Role.ENDPOINT)
        self.report(SIDECAR_ADDRESS, at_ms=at_ms, keeps_origins=keeps_origins)

    def assert_refused(self, kind=errors.Kind.STREAM_ORIGIN_UNKNOWN):
        self.assertEqual([], self.offers())
        answer = self.answer()
        self.assertIs(kind, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertGreater(answer.retry_after_ms, 0)

    def version_of(self, peer):
        return self.state.endpoints[peer].instance.software_version


class OwnStreamTest(ResumptionTestCase):
    def test_stream_goes_on_at_its_version(self):
        """Guards against streams with events of two software versions."""
        for number in range(8):
            begun = self.begin_stream(f's{number}')
            self.resume(f's{number}')
            resumed, offer = self.offered()
            self.assertEqual(self.version_of(begun), self.version_of(resumed))
            self.assertEqual(self.version_of(begun), offer.software_version)

    def test_repeat_within_one_answer_keeps_the_version(self):
        """Guards against our own repeat at an endpoint of another version."""
        self.list_instances(
            endpoint(1, 'v1'), endpoint(2, 'v2'), endpoint(4, 'v1'),
            at_ms=1050,
        )  # fmt: skip
        for number in range(6):
            begun = self.begin_stream(f's{number}')
            self.resume(f's{number}')
            self.fail_attempt(
                errors.Kind.ENDPOINT_UNREACHABLE, at_ms=1300 + number
            )
            if self.version_of(begun) == 'v2':
                self.assertEqual([], self.offers())
            else:
                again, _ = self.offered()
                self.assertEqual('v1', self.version_of(again))

    def test_second_resumption_names_either_request(self):
        """Guards against a chain of tries that loses its first request."""
        begun = self.begin_stream('a')
        self.resume('a', caller_request_id='b')
        self.start_answer(1250)
        for stream_id in ('a', 'b'):
            self.resume(stream_id, at_ms=1300)
            resumed, _ = self.offered()
            self.assertEqual(self.version_of(begun), self.version_of(resumed))

    def test_first_request_without_an_answer_is_no_origin(self):
        """Guards against a version taken from an attempt without events."""
        self.send_request(at_ms=1100, caller_request_id='a')
        self.resume('a')
        self.assert_refused()

    def test_streams_dropped_beyond_the_limit_leave_nothing(self):
        """Guards against memory that only grows at a busy gateway."""
        self.link_sidecar()
        self.state.origins.limit = 10
        for number in range(20):
            self.begin_stream(f's{number}')
        self.feed(events.Ticked(3000, 0.5))
        self.assertEqual(10, len(self.state.origins))
        self.assertEqual(10, len(self.state.streams_told))

    def break_streams(self, count):
        """Let streams begin and break; return by endpoint how many did."""
        broken = collections.Counter()
        for number in range(count):
            self.begin_stream(f's{number}')
            active = self.state.requests[f'r{self.sent_count}']
            lost = messages.Failed(
                active.attempt_id,
                errors.Kind.STREAM_BROKEN,
                errors.Ran.UNKNOWN,
            )
            broken[active.endpoint] += 1
            self.receive(lost, 1150, active.endpoint)
        return broken

    def test_stream_goes_on_where_no_run_was_cut_off(self):
        """Guards against a next start that the list doesn't show yet.

        It may have another version than the start that cut off the stream.
        """
        self.list_instances(endpoint(2, 'v2'), at_ms=1050)
        self.break_streams(4)
        self.list_instances(endpoint(2, 'v2'), endpoint(3, 'v2'), at_ms=1200)
        for number in range(4):
            self.resume(f's{number}', at_ms=1210)
            self.assertEqual('i-3', self.offered()[0])

    def test_stream_goes_on_where_the_list_has_been_read_since(self):
        """Guards against an endpoint that is avoided for good."""
        rows = endpoint(2, 'v2'), endpoint(3, 'v2')
        self.list_instances(rows[0], at_ms=1050)
        self.break_streams(8)
        self.list_instances(*rows, at_ms=3200)
        names = set()
        for number in range(8):
            self.resume(f's{number}', at_ms=3210)
            names.add(self.offered()[0])
        self.assertEqual({'i-2', 'i-3'}, names)

    def test_stream_goes_on_where_a_run_was_cut_off_everywhere(self):
        """Guards against refusals after many channels were reset at once."""
        self.list_instances(endpoint(2, 'v2'), at_ms=1050)
        self.break_streams(1)
        self.resume('s0', at_ms=1210)
        self.assertEqual('i-2', self.offered()[0])

    def test_stream_goes_on_where_all_of_its_version_are_ejected(self):
        """Guards against refusals after many channels were reset at once.

        Ejection leaves half of a service, which may have no endpoint of the
        version.
        """
        begun = self.begin_stream('a')
        version = self.version_of(begun)
        for endpoint_state in self.state.endpoints.values():
            if endpoint_state.instance.software_version == version:
                endpoint_state.ejected_until_ms = 5000
        self.resume('a')
        resumed, _ = self.offered()
        self.assertEqual(version, self.version_of(resumed))
        for _ in range(6):
            self.send_request(at_ms=1300)
            other, _ = self.offered()
            self.assertNotEqual(version, self.version_of(other))

    def test_error_of_an_endpoint_is_no_origin(self):
        """Guards against a version taken from an answer without events."""
        self.begin_stream('a', status=404)
        self.resume('a')
        self.assert_refused()

    def test_two_streams_with_one_id_have_no_origin(self):
        """Guards against an id that a caller uses for two streams."""
        begun = {self.version_of(self.begin_stream('a')) for _ in range(12)}
        self.assertEqual({'v1', 'v2'}, begun)
        self.resume('a')
        self.assert_refused()

    def test_origin_is_kept_as_long_as_a_caller_may_come_back(self):
        """Guards against origins that are dropped too soon, or never."""
        begun = self.begin_stream('a', deadline_ms=15_000)
        last_ms = 1100 + HORIZON_MS - 1
        self.list_instances(*self.rows, at_ms=last_ms)
        self.resume('a', at_ms=last_ms, caller_request_id='')
        resumed, _ = self.offered()
        self.assertEqual(self.version_of(begun), self.version_of(resumed))
        self.feed(events.Ticked(last_ms + 2000, 0.5))
        self.assertEqual(0, len(self.state.origins))
        self.assertEqual({}, self.state.streams_told)


def start(started_ms, version, number=1):
    """Return a start of an endpoint under one name and address."""
    incarnation = messages.Incarnation(f'i-{number}', started_ms)
    return dataclasses.replace(
        endpoint(number, version),
        instance=str(incarnation),
        incarnation=incarnation,
    )


class ReplacedStartTest(ResumptionTestCase):
    """``i-1`` crashes and starts again at once, with another version."""

    rows = (start(1, 'v1'),)
    after = (start(9, 'v2'), endpoint(2, 'v1'))

    def send_first(self):
        """Send the first request of a stream; return the answer's head."""
        self.send_request(at_ms=1100, caller_request_id='a')
        peer, offer = self.offered()
        head = messages.Started(offer.attempt_id, 200, (), None)
        return events.MessageReceived(1400, peer, head)

    def test_resumed_answer_that_begins_after_its_start_was_replaced(self):
        """Guards against a stream that is mixed though the list told of it.

        The request was sent before the list showed the new start, and its
        answer begins after that.
        """
        self.begin_stream('a')
        self.resume('a')
        peer, offer = self.offered()
        self.list_instances(*self.after, at_ms=1300)
        head = messages.Started(offer.attempt_id, 200, (), None)
        self.receive(head, 1400, peer)
        self.assertEqual([], self.of_type(effects.BeginAnswer))

    def test_stream_that_begins_after_its_start_was_replaced(self):
        """Guards against an origin taken from a start that has ended."""
        head = self.send_first()
        self.list_instances(*self.after, at_ms=1300)
        self.feed(head)
        self.resume('a', at_ms=1500)
        self.assert_refused()

    def test_stream_under_way_when_its_start_is_replaced(self):
        """Guards against an origin that the list later shows to be wrong.

        The new start has answered before the list showed it.
        """
        self.link_sidecar()
        self.begin_stream('a')
        self.list_instances(*self.after, beside(), at_ms=1300)
        (told,) = self.sent(messages.StreamsBegan)
        self.assertEqual('', told.origins[0].software_version)
        self.resume('a', at_ms=1500)
        self.assert_refused()

    def test_start_replaced_by_one_of_the_same_version(self):
        """Guards against refusals where there is nothing to mix."""
        head = self.send_first()
        self.list_instances(start(9, 'v1'), endpoint(2, 'v2'), at_ms=1300)
        self.feed(head)
        self.resume('a', at_ms=1500)
        self.assertEqual('i-1@9', self.offered()[0])

    def test_start_that_is_listed_again(self):
        """Guards against a start that is in doubt for as long as it lives."""
        head = self.send_first()
        self.list_instances(*self.after, at_ms=1300)
        self.list_instances(*self.rows, at_ms=1350)
        self.feed(head)
        self.resume('a', at_ms=1500)
        self.assertEqual('i-1@1', self.offered()[0])

    def test_entry_that_expires_while_a_stream_runs(self):
        """Guards against refusals because a live endpoint's entry lapsed."""
        head = self.send_first()
        self.list_instances(endpoint(2, 'v1'), at_ms=1300)
        self.feed(head)
        self.resume('a', at_ms=1500)
        self.assertEqual('i-2', self.offered()[0])


class UnknownStreamTest(ResumptionTestCase):
    def test_unknown_malformed_or_unnamed_stream_is_refused(self):
        """Guards against guesses where two versions serve."""
        self.begin_stream('a')
        for stream_id in ('nobody', ''):
            self.resume(stream_id)
            self.assert_refused()

    def test_stream_of_another_workspace_is_unknown(self):
        """Guards against a caller who names a stream of somebody else."""
        self.assertNotEqual(
            resumption.stream_key('one', 'a'),
            resumption.stream_key('other', 'a'),
        )
        self.assertNotEqual(
            resumption.stream_key('on', 'ea'),
            resumption.stream_key('one', 'a'),
        )

    def test_sidecar_knows_a_stream_of_another_gateway(self):
        """Guards against an origin that only its first gateway has."""
        self.link_sidecar()
        self.resume('a')
        (wanted,) = self.sent(messages.OriginWanted)
        self.assertEqual([], self.offers())
        told = messages.StreamOrigin(
            wanted.stream, builders.PLAIN_SERVICE, 'v1', 5000
        )
        answered = messages.OriginAnswered(wanted.stream, told)
        self.receive(answered, 1204, SIDECAR)
        self.assertEqual('i-1', self.offered()[0])

    def test_stream_that_no_sidecar_knows_is_refused_at_once(self):
        """Guards against requests that wait although all have answered."""
        self.link_sidecar()
        self.resume('a')
        (wanted,) = self.sent(messages.OriginWanted)
        answered = messages.OriginAnswered(wanted.stream, None)
        self.receive(answered, 1204, SIDECAR)
        self.assert_refused()

    def test_silent_sidecar_is_not_waited_for(self):
        """Guards against requests that wait for a sidecar that hangs."""
        self.link_sidecar()
        self.resume('a', at_ms=1200)
        self.feed(events.Ticked(1340, 0.5))
        self.assertEqual([], self.of_type(effects.AnswerError))
        self.feed(events.Ticked(1350, 0.5))
        self.assert_refused()

    def test_closed_link_ends_the_wait(self):
        """Guards against a wait for an answer that can't come."""
        self.link_sidecar()
        self.resume('a', at_ms=1200)
        self.feed(events.LinkClosed(1210, SIDECAR))
        self.feed(events.Ticked(1350, 0.5))
        self.assert_refused()


class NewGatewayTest(ResumptionTestCase):
    """A gateway that started a moment ago and has no links yet."""

    def options(self):
        return {'settle_ms': 2000}

    def test_new_gateway_waits_for_its_first_link(self):
        """Guards against a refusal a moment before a sidecar is linked."""
        self.feed(events.Started(1100, 'g1-1'))
        self.resume('a', at_ms=1200)
        self.assertEqual([], self.of_type(effects.AnswerError))
        self.link_sidecar(at_ms=1250)
        self.feed(events.Ticked(1260, 0.5))
        self.assertEqual(1, len(self.sent(messages.OriginWanted)))

    def test_new_gateway_without_links_refuses_soon(self):
        """Guards against requests that wait for links until they expire."""
        self.feed(events.Started(1100, 'g1-1'))
        self.resume('a', at_ms=1200)
        for at_ms in range(1250, 1800, 50):
            self.feed(events.Ticked(at_ms, 0.5))
            if self.of_type(effects.AnswerError):
                break
        self.assert_refused()
        self.assertLessEqual(at_ms, 1700)


class OnlyVersionTest(ResumptionTestCase):
    """A service of which all listed endpoints have one version."""

    rows = (endpoint(1, 'v1'), endpoint(2, 'v1'))

    def watch(self, from_ms, until_ms, *rows):
        for at_ms in range(from_ms, until_ms, 1000):
            self.list_instances(*(rows or self.rows), at_ms=at_ms)

    def test_stream_goes_on_where_one_version_has_served_all_along(self):
        """Guards against refusals where there is nothing to mix."""
        end_ms = LISTED_MS + HORIZON_MS + 1000
        self.watch(LISTED_MS, end_ms)
        for stream_id in ('nobody', ''):
            self.resume(stream_id, at_ms=end_ms)
            self.offered()

    def test_sidecar_knows_better_than_a_list_that_lags(self):
        """Guards against a version that another gateway has read first."""
        end_ms = LISTED_MS + HORIZON_MS + 1000
        self.watch(LISTED_MS, end_ms)
        self.link_sidecar(at_ms=end_ms)
        self.resume('a', at_ms=end_ms)
        self.assertEqual([], self.offers())
        (wanted,) = self.sent(messages.OriginWanted)
        told = messages.StreamOrigin(
            wanted.stream, builders.PLAIN_SERVICE, 'v2', 5000
        )
        answered = messages.OriginAnswered(wanted.stream, told)
        self.receive(answered, end_ms + 4, SIDECAR)
        self.assert_refused(errors.Kind.SOFTWARE_VERSION_GONE)

    def test_stream_that_no_sidecar_knows_goes_on_at_the_only_version(self):
        """Guards against refusals where there is nothing to mix."""
        end_ms = LISTED_MS + HORIZON_MS + 1000
        self.watch(LISTED_MS, end_ms)
        self.link_sidecar(at_ms=end_ms)
        self.resume('a', at_ms=end_ms)
        (wanted,) = self.sent(messages.OriginWanted)
        answered = messages.OriginAnswered(wanted.stream, None)
        self.receive(answered, end_ms + 4, SIDECAR)
        self.offered()

    def test_short_history_is_no_proof(self):
        """Guards against a gateway that takes its own start for that of all.

        Another version may have begun the stream and have left before.
        """
        end_ms = LISTED_MS + HORIZON_MS - 1000
        self.watch(LISTED_MS, end_ms)
        self.resume('', at_ms=end_ms)
        self.assert_refused()

    def test_history_with_a_gap_is_no_proof(self):
        """Guards against a version that served while the list was not read."""
        end_ms = LISTED_MS + HORIZON_MS + 1000
        self.watch(LISTED_MS, 20_000)
        self.watch(30_000, end_ms)
        self.resume('', at_ms=end_ms)
        self.assert_refused()

    def test_version_that_left_a_moment_ago_counts(self):
        """Guards against streams of a version that was just replaced."""
        end_ms = LISTED_MS + HORIZON_MS + 1000
        self.watch(LISTED_MS, 20_000, *self.rows, endpoint(3, 'v0'))
        self.watch(20_000, end_ms)
        self.resume('', at_ms=end_ms)
        self.assert_refused()

    def test_unknown_version_is_no_version(self):
        """Guards against endpoints that don't say what they run."""
        self.rows = (endpoint(1, ''), endpoint(2, ''))
        end_ms = LISTED_MS + HORIZON_MS + 20_000
        self.watch(LISTED_MS, end_ms)
        self.resume('', at_ms=end_ms)
        self.assert_refused()

    def told(self, watched_ms, *versions, ago_ms=500):
        listed = tuple(messages.ListedVersion(x, ago_ms) for x in versions)
        history = messages.SoftwareHistory(
            builders.PLAIN_SERVICE, watched_ms, ago_ms, listed
        )
        self.receive(history, LISTED_MS + 10, SIDECAR)

    def test_new_gateway_learns_what_was_listed_before(self):
        """Guards against a gateway that refuses all after each start."""
        self.link_sidecar()
        self.told(HORIZON_MS, 'v1')
        self.resume('', at_ms=1200)
        self.offered()

    def test_new_gateway_learns_of_a_version_that_has_left(self):
        """Guards against a stream of a version listed before the start."""
        self.link_sidecar()
        self.told(HORIZON_MS, 'v1', 'v0')
        self.resume('', at_ms=1200)
        self.assert_refused()

    def test_old_history_is_no_proof(self):
        """Guards against versions that served while no gateway told of it."""
        self.link_sidecar()
        self.told(HORIZON_MS, 'v1', ago_ms=20_000)
        self.resume('', at_ms=1200)
        self.assert_refused()


class FirstStartTest(OnlyVersionTest):
    """A gateway that starts when the system starts for the first time."""

    def options(self):
        return super().options() | {'is_first_start': True}

    def test_short_history_is_no_proof(self):
        """Guards against refusals where no stream can have begun before."""
        self.resume('', at_ms=1200)
        self.offered()

    def test_old_history_is_no_proof(self):
        """What others tell does not shorten what this gateway knows."""
        self.link_sidecar()
        self.told(HORIZON_MS, 'v1', ago_ms=20_000)
        self.resume('', at_ms=1200)
        self.offered()


class ChangedEndpointTest(ResumptionTestCase):
    """What is at an address changes while a stream is resumed."""

    def resume_at_v1(self):
        while self.version_of(self.begin_stream(f's{self.sent_count}')) != (
            'v1'
        ):
            pass
        self.resume(f's{self.sent_count - 1}')
        peer, _ = self.offered()
        self.assertEqual('i-1', peer)

    def test_no_endpoint_of_the_version_is_refused_at_once(self):
        """Guards against requests that wait for a version that is gone."""
        self.begin_stream('a')
        version = self.state.origins.entries[
            resumption.stream_key('', 'a')
        ].software_version
        others = [x for x in self.rows if x.software_version != version]
        self.list_instances(*others, at_ms=1150)
        self.resume('a')
        self.assert_refused(errors.Kind.SOFTWARE_VERSION_GONE)

    def test_leaving_endpoint_of_the_version_is_not_waited_for(self):
        """Guards against requests that wait for an endpoint that leaves."""
        self.begin_stream('a')
        rows = [dataclasses.replace(x, leaving=True) for x in self.rows[:1]]
        rows += [dataclasses.replace(x, leaving=True) for x in self.rows[1:]]
        self.list_instances(*rows, endpoint(9, 'v3'), at_ms=1150)
        self.resume('a')
        self.assert_refused(errors.Kind.SOFTWARE_VERSION_GONE)

    def test_entry_that_names_another_version_ends_the_attempt(self):
        """Guards against an answer of a version listed while it was sent."""
        self.resume_at_v1()
        peer, offer = self.offered()
        self.list_instances(endpoint(1, 'v2'), *self.rows[1:], at_ms=1250)
        started = messages.Started(offer.attempt_id, 200, (), None)
        self.receive(started, 1300, peer)
        self.assertEqual([], self.of_type(effects.BeginAnswer))
        self.assertEqual(1, len(self.sent(messages.Cancel)))
        self.assertIs(errors.Ran.UNKNOWN, self.answer().ran)

    def test_address_with_another_start_ends_the_attempt(self):
        """Guards against an answer of what has taken the address."""
        self.resume_at_v1()
        peer, offer = self.offered()
        taken = direct.plain('i-7', '10.0.0.1:80', software_version='v2')
        self.list_instances(*self.rows, taken, at_ms=1250)
        started = messages.Started(offer.attempt_id, 200, (), None)
        self.receive(started, 1300, peer)
        self.assertEqual([], self.of_type(effects.BeginAnswer))

    def test_new_stream_at_a_changed_address_has_no_origin(self):
        """Guards against an origin taken from an outdated list."""
        self.send_request(at_ms=1100, caller_request_id='a')
        peer, offer = self.offered()
        address = self.state.endpoints[peer].instance.address
        taken = direct.plain('i-7', address, software_version='v3')
        self.list_instances(*self.rows, taken, at_ms=1150)
        started = messages.Started(offer.attempt_id, 200, (), None)
        self.receive(started, 1160, peer)
        self.assertEqual(1, len(self.of_type(effects.BeginAnswer)))
        self.resume('a')
        self.assert_refused()


class ReportedStartTest(direct.DirectTestCase):
    """A sidecar reports another start than the list has."""

    def configure(self):
        route = builders.route(Resumable=True, MaxAttempts=2)
        self.publish(builders.configuration_record(routes=[route]))

    def test_start_that_is_not_listed_takes_no_resumed_stream(self):
        """Guards against a restart under the same name as another version."""
        first = messages.Incarnation('i-1', 1_790_000_000_000)
        second = messages.Incarnation('i-1', 1_790_000_040_000)
        row = direct.direct_instance(
            str(first),
            '10.0.0.1:80',
            incarnation=first,
            software_version='v1',
        )
        other = direct.direct_instance(
            'i-2', '10.0.0.2:80', software_version='v2'
        )
        self.list_instances(row, other)
        peer = addresses.sidecar_peer('10.0.0.1:80')
        self.open_link(peer, events.Role.ENDPOINT)
        self.report('10.0.0.1:80', epoch=str(first), keeps_origins=True)
        stream = resumption.stream_key('', 'a')
        origin = resumption.Origin(builders.MODEL_SERVICE, 'v1', 60_000)
        self.state.origins.record(stream, origin, 0)
        named = events.Resumption('a')
        self.send_request(direct.MODEL_PATH, at_ms=100, resumption=named)
        self.assertEqual(str(first), self.offered()[0])
        self.report('10.0.0.1:80', epoch=str(second), keeps_origins=True)
        self.send_request(direct.MODEL_PATH, at_ms=200, resumption=named)
        self.assertEqual([], self.offers())
        kind = errors.Kind.SOFTWARE_VERSION_GONE
        self.assertIs(kind, self.answer().kind)


class ToldTest(ResumptionTestCase):
    def test_sidecars_are_told_before_the_answer_begins(self):
        """Guards against a stream whose origin dies with its gateway."""
        self.link_sidecar()
        self.begin_stream('a')
        kinds = [
            type(getattr(effect, 'message', effect))
            for effect in self.effects
            if isinstance(effect, effects.Send | effects.BeginAnswer)
        ]
        self.assertEqual([messages.StreamsBegan, effects.BeginAnswer], kinds)

    def test_older_sidecars_are_not_told(self):
        """Guards against origins given to sidecars that don't keep them."""
        self.link_sidecar(keeps_origins=False)
        self.begin_stream('a')
        self.assertEqual([], self.sent(messages.StreamsBegan))

    def test_streams_that_may_not_be_resumed_are_not_told(self):
        """Guards against messages and memory for streams of other routes."""
        route = builders.plain_route(Kind='stream', Resumable=False)
        self.publish(builders.configuration_record(8, routes=[route]))
        self.link_sidecar()
        self.begin_stream('a')
        self.assertEqual([], self.sent(messages.StreamsBegan))
        self.assertEqual(0, len(self.state.origins))
