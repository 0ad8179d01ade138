"""A gateway's decisions about endpoints that it sends requests to itself."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from berylhollow import platform
from berylhollow import routes
from berylhollow.util import addresses
from test import builders as samples
from test import helper
from test import platform_builders as builders

MODEL_PATH = '/lohu930/x'
PLAIN_PATH = '/puxa403/x'
PORT = 7380
ASKED = 8


def row(name, address, service=builders.MODEL_SERVICE, **changes):
    values = {
        'service': service,
        'address': address,
        'direct': True,
        'capacity': 64,
        'models': (builders.MODEL,),
    }
    return samples.instance(name, **(values | changes))


def plain(name, address, **changes):
    values = {'service': builders.PLAIN_SERVICE, 'models': ()}
    return row(name, address, **(values | changes))


class DirectTestCase(helper.ReducerTestCase):
    """A gateway that knows the routes of the builders."""

    def setUp(self):
        follower = routes.RouteFollower(
            platform.CONFIGURATION_STREAM, platform.decode_news
        )
        options = {
            'policy': 'quick-reload',
            'sidecar_port': PORT,
            'needs_instances': True,
            'lost_retry_free': False,
            'attempts': 4,
            'retry_reserve': 2.0,
        } | self.options()
        state = gateway.State(
            gateway.Options(instance='g1', **options), follower
        )
        self.begin(gateway.reduce, state)
        self.sent_count = 0
        self.configure()

    def configure(self):
        self.publish(builders.configuration_record())

    def options(self):
        return {}

    def publish(self, *records, at_ms=0):
        entries = tuple(
            messages.LogEntry(offset, 0, data)
            for offset, data in enumerate(records)
        )
        stream = platform.CONFIGURATION_STREAM
        self.feed(events.LogRead(at_ms, stream, entries, 0, len(records)))

    def list(self, *rows, at_ms=0):
        return self.feed(events.InstancesListed(at_ms, rows))

    def ask(self, path=PLAIN_PATH, at_ms=0, adapter=None, **changes):
        self.sent_count += 1
        named = adapter and messages.AdapterVersion(
            builders.adapter_name(adapter), ''
        )
        request = samples.request(
            f'r{self.sent_count}',
            host=builders.HOST,
            path=path,
            adapter=named,
            **changes,
        )
        return self.feed(events.RequestArrived(at_ms, request, 0.5))

    def offers(self):
        return [
            (effect.peer, effect.message)
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.Offer)
        ]

    def offered(self):
        """Return whom the last event sent a request to, and the offer."""
        (offer,) = self.offers()
        return offer

    def chosen(self, at_ms=200):
        """Return the endpoints that some requests are sent to."""
        names = set()
        for _ in range(ASKED):
            self.ask(at_ms=at_ms)
            names |= {name for name, _ in self.offers()}
        return names

    def fail_attempt(self, kind, ran=errors.Ran.NOT_RUN, at_ms=0):
        peer, offer = self.offered()
        failed = messages.Failed(offer.attempt_id, kind, ran)
        return self.receive(failed, at_ms, peer)

    def answer(self):
        (answer,) = self.of_type(effects.AnswerError)
        return answer

    def report(self, address, *adapters, at_ms=0, **changes):
        values = {
            'instance': 'side',
            'service': builders.MODEL_SERVICE,
            'failure_domain': '',
            'epoch': '',
            'ready': True,
            'leaving': False,
            'slots': tuple(
                messages.SlotReport(number, adapter, True, 0)
                for number, adapter in enumerate(adapters)
            ),
            'wanted': (),
            'running': 0,
            'queued': 0,
            'capacity': 0,
            'revision': 0,
        }
        report = messages.Report(**(values | changes))
        return self.receive(report, at_ms, addresses.beside(address))


class StartTest(DirectTestCase):
    """A gateway that has not read its routes yet."""

    def configure(self):
        """Wait: the list of endpoints comes first."""

    def test_list_before_the_routes_opens_links_as_soon(self):
        """All processes start again, the list comes before the routes.

        Which endpoints have a sidecar is known by the routes; the links, and
        with them every load, waited for the next list, half a second later.
        """
        self.list(row('i-1', '10.0.0.1:80'))
        self.assertEqual([], self.of_type(effects.OpenLink))
        self.publish(builders.configuration_record(), at_ms=10)
        self.feed(events.Ticked(50, 0.5))
        (opened,) = self.of_type(effects.OpenLink)
        self.assertEqual(addresses.beside('10.0.0.1:80'), opened.peer)


class PlainTest(DirectTestCase):
    def test_request_goes_straight_to_an_endpoint_of_its_route(self):
        self.list(plain('i-1', '10.0.0.1:80'), row('i-2', '10.0.0.2:80'))
        self.ask()
        self.assertEqual('i-1', self.offered()[0])

    def test_unknown_path_is_no_route(self):
        self.list(plain('i-1', '10.0.0.1:80'))
        self.ask('/nowhere/')
        self.assertIs(errors.Kind.NOT_FOUND, self.answer().kind)

    def test_not_run_is_offered_elsewhere(self):
        self.list(plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.2:80'))
        self.ask()
        first, _ = self.offered()
        self.fail_attempt(errors.Kind.ENDPOINT_UNREACHABLE)
        self.assertNotEqual(first, self.offered()[0])

    def test_request_that_may_have_run_is_not_run_again(self):
        """A booking is sent, the connection breaks before its answer.

        Sent again it might run twice; the caller is told that it may have
        run, never that it has not.
        """
        self.list(plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.2:80'))
        self.ask()
        self.fail_attempt(errors.Kind.ENGINE_RESTARTED, errors.Ran.UNKNOWN)
        self.assertEqual([], self.offers())
        self.assertIs(errors.Ran.UNKNOWN, self.answer().ran)


class GoneTest(DirectTestCase):
    def test_endpoint_that_was_replaced_gets_nothing_more(self):
        """All endpoints were restarted; the list shows the old ones on.

        For some seconds every request was offered to names that are over,
        refused by whoever is at the address now, and ran out of retries.
        """
        rows = (plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.2:80'))
        self.list(*rows)
        self.ask()
        gone, _ = self.offered()
        self.fail_attempt(errors.Kind.ENDPOINT_REPLACED)
        self.list(*rows)
        for _ in range(4):
            self.ask()
            self.assertNotEqual(gone, self.offered()[0])

    def test_of_two_at_one_address_the_last_to_write_lives(self):
        self.list(plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.1:80'))
        for _ in range(3):
            self.ask()
            self.assertEqual('i-2', self.offered()[0])

    def test_leaving_is_told_once(self):
        """An endpoint whose address another has taken is still listed.

        It was told of as leaving at every read of the list: a dozen lines
        for each restart, which hid the one that mattered.
        """
        rows = (plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.1:80'))
        self.list(*rows)
        self.list(*rows)
        told = [log.text for log in self.of_type(effects.Log)]
        self.assertNotIn('endpoint is leaving', told)

    def test_leaving_endpoint_gets_nothing_new(self):
        self.list(plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.2:80'))
        self.list(
            plain('i-1', '10.0.0.1:80', leaving=True),
            plain('i-2', '10.0.0.2:80'),
        )
        for _ in range(3):
            self.ask()
            self.assertEqual('i-2', self.offered()[0])

    def test_endpoint_that_left_the_list_gets_nothing_new(self):
        """Its answers are still owed, so it is remembered for a while."""
        rows = (plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.2:80'))
        self.list(*rows)
        self.ask()
        busy, _ = self.offered()
        self.list(*[other for other in rows if other.instance != busy])
        self.ask()
        self.assertNotEqual(busy, self.offered()[0])


class BudgetTest(DirectTestCase):
    def options(self):
        return {'retry_reserve': 2.0, 'retry_share': 0.1}

    def test_lost_attempts_take_from_the_budget_too(self):
        """Endpoints break off half of all requests for some seconds.

        Each lost request was sent again at no charge: the repeats came to
        half of the traffic, far over what all gateways may send together.
        """
        rows = [plain(f'i-{n}', f'10.0.0.{n}:80') for n in range(1, 9)]
        self.publish(
            builders.configuration_record(
                8, routes=[builders.plain_route(Kind='safe', MaxAttempts=2)]
            )
        )
        self.list(*rows)
        again = 0
        for _ in range(20):
            self.ask()
            self.fail_attempt(errors.Kind.ENGINE_RESTARTED, errors.Ran.UNKNOWN)
            again += len(self.offers())
        self.assertEqual(2 + 1, again)

    def test_runs_stay_within_what_the_route_allows(self):
        self.publish(
            builders.configuration_record(
                8, routes=[builders.plain_route(Kind='safe', MaxAttempts=1)]
            )
        )
        self.list(plain('i-1', '10.0.0.1:80'), plain('i-2', '10.0.0.2:80'))
        self.ask()
        self.assertFalse(self.offered()[1].another)
        self.fail_attempt(errors.Kind.ENDPOINT_FAILED, errors.Ran.RAN)
        self.assertEqual([], self.offers())


class AdapterTest(DirectTestCase):
    def setUp(self):
        super().setUp()
        self.peer = addresses.beside('10.0.0.1:80')
        self.list(row('i-1', '10.0.0.1:80'))
        self.open_link(self.peer, events.Role.ENDPOINT)
        self.name = builders.adapter_name()

    def named(self, version='1'):
        return messages.AdapterVersion(self.name, version)

    def test_request_waits_until_its_adapter_is_reported(self):
        self.report('10.0.0.1:80')
        self.ask(MODEL_PATH, adapter='a3')
        self.assertEqual([], self.offers())
        (demands,) = self.sent(messages.AdapterDemands)
        self.assertEqual(('i-1', 6), (demands.endpoint, demands.slots))
        self.assertEqual([1], [entry.waiting for entry in demands.entries])
        self.report('10.0.0.1:80', self.named(), at_ms=250)
        peer, offer = self.offered()
        self.assertEqual(('i-1', self.named()), (peer, offer.adapter))

    def use(self, wanted):
        """Have the adapter used while others are, or are not, waited for."""
        self.report('10.0.0.1:80', self.named(), wanted=wanted)
        self.feed(events.Ticked(1500, 0.5))
        self.ask(MODEL_PATH, adapter='a3', at_ms=1510)
        return self.offered()

    def test_slot_that_falls_free_is_told_at_the_next_tick(self):
        """All slots of an endpoint are in use and requests wait for one.

        A run ended, and the sidecar, which can't see whose it was, heard of
        it up to 400 ms later; the slot stood empty all that time.
        """
        peer, offer = self.use((messages.AdapterVersion('other', '1'),))
        self.feed(events.Ticked(1550, 0.5))
        (demands,) = self.sent(messages.AdapterDemands)
        self.assertEqual([1], [x.in_flight for x in demands.entries])
        failed = messages.Failed(
            offer.attempt_id,
            errors.Kind.ENDPOINT_FAILED,
            errors.Ran.RAN,
        )
        self.receive(failed, 1560, peer)
        self.feed(events.Ticked(1600, 0.5))
        (demands,) = self.sent(messages.AdapterDemands)
        self.assertEqual([0], [x.in_flight for x in demands.entries])

    def test_use_is_told_now_and_then_where_nobody_waits(self):
        self.use(())
        self.feed(events.Ticked(1550, 0.5))
        self.assertEqual([], self.sent(messages.AdapterDemands))

    def closed_links(self):
        return [effect.peer for effect in self.of_type(effects.CloseLink)]

    def test_link_without_reports_is_given_up(self):
        """A connection goes silent without a reset.

        It looked open for ever, and nothing was loaded for this gateway at
        the endpoint beside it.
        """
        self.report('10.0.0.1:80', at_ms=100)
        closed = {}
        for at_ms in range(150, 3000, 50):
            self.feed(events.Ticked(at_ms, 0.5))
            if self.closed_links():
                closed[at_ms] = self.closed_links()
        self.assertEqual({2600: [self.peer]}, closed)

    def test_link_with_reports_stays(self):
        for at_ms in range(100, 6000, 100):
            if at_ms % 1000 == 0:
                self.report('10.0.0.1:80', at_ms=at_ms)
            self.feed(events.Ticked(at_ms, 0.5))
            self.assertEqual([], self.closed_links())

    def test_gateway_that_was_paused_blames_no_sidecar(self):
        """The gateway's instance froze for four seconds.

        What the sidecars said meanwhile waits to be read. Sixty links closed
        at once would have to be opened again, and nothing be known for that
        time of what is loaded where.
        """
        self.report('10.0.0.1:80', at_ms=100)
        self.feed(events.Ticked(150, 0.5))
        self.feed(events.Ticked(4150, 0.5))
        self.assertEqual([], self.closed_links())

    def told_until(self, end_ms):
        """Return when the sidecar was told something, tick by tick."""
        moments = []
        for at_ms in range(1550, end_ms, 50):
            self.feed(events.Ticked(at_ms, 0.5))
            if self.sent(messages.AdapterDemands):
                moments.append(at_ms)
        return moments

    def test_endpoint_in_use_is_told_of_more_often_than_an_idle_one(self):
        """Sixty gateways told sixty sidecars all they hold every 400 ms.

        Nearly all of it was of endpoints that they had nothing at. Only an
        adapter that is in use has to be known as such all the time, or it
        would be evicted under its request.
        """
        self.use(())
        self.assertEqual([1900, 2300, 2700], self.told_until(3050))

    def test_idle_endpoint_is_told_of_before_the_last_word_lapses(self):
        self.report('10.0.0.1:80', self.named())
        self.feed(events.Ticked(1500, 0.5))
        self.assertEqual([3000, 4500], self.told_until(5000))

    def test_prompt_that_waits_is_told_at_the_next_tick(self):
        """Each gateway sees its own share of what waits at an endpoint.

        Of sixty-eight it was next to nothing: all sent to the same holder,
        which looked idle to each, and one in six callers was late.
        """
        self.report('10.0.0.1:80', self.named())
        self.feed(events.Ticked(1500, 0.5))
        self.ask(MODEL_PATH, adapter='a3', at_ms=1510, prompt_tokens=2000)
        self.feed(events.Ticked(1550, 0.5))
        (demands,) = self.sent(messages.AdapterDemands)
        self.assertEqual(2000, demands.waiting_tokens)

    def test_prompt_of_a_request_that_waits_for_its_adapter_counts(self):
        """Requests that wait for a load all begin when it ends.

        Uncounted, they made the endpoint that was loading look like the
        least busy one, and twenty prompts met there in one instant.
        """
        self.report('10.0.0.1:80')
        self.ask(MODEL_PATH, adapter='a3', prompt_tokens=2000)
        (demands,) = self.sent(messages.AdapterDemands)
        self.assertEqual(2000, demands.waiting_tokens)
        self.report('10.0.0.1:80', self.named(), at_ms=250)
        endpoint = self.state.endpoints['i-1']
        self.assertEqual(2000, endpoint.waiting_tokens)

    def test_request_that_gives_up_waiting_counts_no_more(self):
        self.report('10.0.0.1:80')
        self.ask(MODEL_PATH, adapter='a3', prompt_tokens=2000)
        for at_ms in range(0, 1000, 50):
            self.feed(events.Ticked(at_ms, 0.5))
        self.assertEqual({}, self.state.requests)
        self.assertEqual(0, self.state.endpoints['i-1'].waiting_tokens)

    def test_wait_ends_with_a_true_not_run(self):
        self.report('10.0.0.1:80')
        self.ask(MODEL_PATH, adapter='a3')
        for at_ms in range(0, 1000, 50):
            self.feed(events.Ticked(at_ms, 0.5))
            if self.of_type(effects.AnswerError):
                break
        self.assertIs(errors.Ran.NOT_RUN, self.answer().ran)
        self.assertGreater(self.answer().retry_after_ms, 0)

    def test_superseded_version_serves_while_the_new_one_is_loaded(self):
        self.report('10.0.0.1:80', self.named())
        self.publish(builders.version_record('a3', 2), at_ms=1000)
        self.ask(MODEL_PATH, adapter='a3', at_ms=1100)
        self.assertEqual(self.named(), self.offered()[1].adapter)

    def test_superseded_version_serves_nothing_after_that(self):
        self.report('10.0.0.1:80', self.named())
        self.publish(builders.version_record('a3', 2), at_ms=1000)
        self.ask(MODEL_PATH, adapter='a3', at_ms=9000)
        self.assertEqual([], self.offers())

    def test_endpoint_without_its_model_gets_nothing(self):
        self.report('10.0.0.1:80', ready=False)
        self.ask(MODEL_PATH)
        self.assertEqual([], self.offers())

    def test_without_its_sidecar_the_list_says_what_is_held(self):
        held = row('i-1', '10.0.0.1:80', adapters=(self.named(),))
        self.report('10.0.0.1:80')
        self.feed(events.LinkClosed(100, self.peer))
        self.list(held, at_ms=200)
        self.ask(MODEL_PATH, adapter='a3', at_ms=200)
        self.assertEqual('i-1', self.offered()[0])


class CallerGoneTest(DirectTestCase):
    def test_run_ends_with_its_caller_also_if_it_may_not_be_repeated(self):
        self.list(plain('i-1', '10.0.0.1:80'))
        self.ask()
        _, offer = self.offered()
        self.feed(events.CallerGone(10, 'r1'))
        (cancel,) = self.sent(messages.Cancel)
        self.assertEqual(offer.attempt_id, cancel.attempt_id)


class ReadinessTest(DirectTestCase):
    def test_not_informed_before_the_list_is_read(self):
        self.assertFalse(self.state.informed)
        self.list(plain('i-1', '10.0.0.1:80'))
        self.assertTrue(self.state.informed)


class CrashTest(DirectTestCase):
    """A request that crashes whoever runs it, among innocent ones."""

    def options(self):
        return {'retry_reserve': 0.0}

    def crash(self, number, fingerprint):
        """Run a request at a new incarnation, which ends with it."""
        name = f'i-{number}'
        self.list(plain(name, '10.0.0.1:80'), at_ms=number)
        self.ask(fingerprint=fingerprint, at_ms=number)
        if not self.offers():
            return False
        self.fail_attempt(
            errors.Kind.ENGINE_RESTARTED, errors.Ran.UNKNOWN, at_ms=number
        )
        later = plain(f'i-{number + 1}', '10.0.0.1:80')
        self.list(plain(name, '10.0.0.1:80'), later, at_ms=number)
        return True

    def test_request_that_crashes_endpoints_is_stopped(self):
        """One request takes an endpoint down each time that it is sent.

        Its caller sends it again and again; after two endpoints that ended
        with it alone it is refused, as not run.
        """
        ran = [self.crash(number, 'bad') for number in range(1, 6)]
        self.assertEqual([True, True, False, False, False], ran)
        self.ask(fingerprint='bad')
        self.assertIs(errors.Kind.QUARANTINED, self.answer().kind)
        self.ask(fingerprint='good')
        self.assertEqual(1, len(self.offers()))

    def test_broken_connection_to_a_living_endpoint_is_no_crash(self):
        """Endpoints lose answers for a while and live on."""
        self.list(plain('i-1', '10.0.0.1:80'))
        for _ in range(5):
            self.ask(fingerprint='same')
            self.fail_attempt(errors.Kind.ENGINE_RESTARTED, errors.Ran.UNKNOWN)
        self.ask(fingerprint='same')
        self.assertEqual(1, len(self.offers()))

    def test_request_that_runs_well_is_cleared(self):
        self.crash(1, 'same')
        self.ask(fingerprint='same')
        _, offer = self.offered()
        self.feed(
            events.AnswerRelayed(2, offer.request_id, offer.attempt_id, 200)
        )
        self.assertEqual({}, self.state.suspects.suspicions)
