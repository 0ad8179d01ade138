"""Records with any value in any field, from the store through the reducer."""

import copy
import itertools

import hypothesis
from hypothesis import strategies

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow import platform
from berylhollow.platform import _order
from berylhollow import routes
from berylhollow.util import addresses
from berylhollow import workspaces
from test.hosted import test_gateway_direct as direct
from test.loader import loader_helper
from test.platform import test_foreign_entries
from test import platform_builders as builders

SETTINGS = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None
)
ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80')
LONG = ['a3@' + '9' * 5000]
"""An adapter whose version has more digits than Python reads."""

VALUES = strategies.one_of(
    strategies.sampled_from(
        (None, True, '', 'x', [], {}, [{}], [''], ['x'], ['a3@x'], LONG)
    ),
    strategies.sampled_from((0, 1, -1, 2, 1000, 2**31, 2**53, 10**400)),
    strategies.sampled_from((0.0, 1e-9, 0.5, 1.5, 1e15, 1e300, -0.5)),
    strategies.floats(),
    strategies.text(max_size=6),
)
CONFIGURATION = builders.configuration(
    routes=[
        builders.route(Resumable=True, MaxAttempts=2),
        builders.plain_route(
            TrafficSplit=[
                {'Service': builders.PLAIN_SERVICE, 'Weight': 0.7},
                {'Service': builders.MODEL_SERVICE, 'Weight': 0.3},
            ]
        ),
    ],
    workspaces=[builders.workspace('w', 'key', **builders.quota(10_000_000))],
    engine={
        'Stride': 4,
        'WeightsMb': 75_000,
        'Models': [
            {
                'Name': builders.MODEL,
                'Adapters': 3000,
                'WeightsMb': 60_000,
                'AdapterMb': 100,
            }
        ],
    },
)
STATE = test_foreign_entries.ReportTest.REPORT | {
    'AtHand': {'InMemory': ['m'], 'OnDisk': ['n']}
}
ENTRY = builders.entry(born=1_790_000_000_000, RemainingMs=5000)


def paths(value):
    """Yield the way to each value inside a document, and their parents."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (key,)
        for path in paths(inner):
            yield (key, *path)


def replaced(document, path, value):
    """Return a copy of a document with another value at a path."""
    document = copy.deepcopy(document)
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return document


def changes(document):
    """Return a strategy of documents with up to two other values."""
    change = strategies.tuples(
        strategies.sampled_from(list(paths(document))), VALUES
    )

    def apply(changed):
        result = document
        for path, value in changed:
            try:
                result = replaced(result, path, value)
            except (KeyError, IndexError, TypeError):
                continue
        return result

    return strategies.lists(change, min_size=1, max_size=2).map(apply)


class AnyValueTest(direct.DirectTestCase):
    """A gateway that serves while records with odd values come in."""

    def configure(self):
        self.publish(builders.keyed('config', CONFIGURATION))

    def decoded(self, name, entry):
        try:
            return platform.decode_instance(builders.keyed(name, entry))[1]
        except routes.MalformedRecordError:
            return None

    def serve(self, at_ms):
        """Send requests, and play them to their ends."""
        for path, adapter in itertools.product(
            (direct.MODEL_PATH, direct.PLAIN_PATH), (None, 'a3')
        ):
            self.send_request(
                path,
                at_ms,
                adapter,
                prompt_tokens=9,
                credential=workspaces.digest('key'),
            )
            for peer, offer in self.offers():
                attempt = offer.attempt_id
                started = messages.Started(attempt, 200, (), offer.adapter)
                self.receive(started, at_ms + 20, peer)
                self.receive(messages.Data(attempt, 0, b'x'), at_ms + 20, peer)
                self.receive(messages.End(attempt, 1), at_ms + 20, peer)
                for done in self.of_type(effects.CompleteAnswer):
                    relayed = events.AnswerRelayed(
                        at_ms + 20, done.request_id, done.attempt_id, 200
                    )
                    self.feed(relayed)
                    self.served += 1

    def play(self, record, entry):
        """Serve before and after a record and an entry."""
        self.served = 0
        usual = self.decoded('i-2', builders.entry(ADDRESSES[1]))
        odd = self.decoded('i-1', entry | {'Address': ADDRESSES[0]})
        self.list_instances(usual)
        for address in ADDRESSES:
            peer = addresses.sidecar_peer(address)
            self.open_link(peer, events.Role.ENDPOINT)
            self.report(address)
        self.serve(100)
        news = builders.version_record('a3', 2)
        self.publish(builders.keyed('config', record), news, at_ms=500)
        self.list_instances(*[x for x in (odd, usual) if x], at_ms=500)
        for at_ms in range(550, 9000, 450):
            self.feed(events.Ticked(at_ms, 0.5))
            self.serve(at_ms)
        self.list_instances(usual, at_ms=9000)
        self.feed(events.Ticked(9050, 0.5))

    def test_requests_are_served_without_odd_values(self):
        """Guards against plays whose requests are all refused."""
        self.play(CONFIGURATION | {'Version': 8}, ENTRY)
        self.assertGreater(self.served, 20)

    @SETTINGS
    @hypothesis.given(record=changes(CONFIGURATION))
    def test_no_configuration_makes_the_reducer_fail(self, record):
        """Guards against a record that ends every gateway that reads it."""
        self.setUp()
        self.play(record | {'Version': 8}, ENTRY)

    @SETTINGS
    @hypothesis.given(entry=changes(ENTRY))
    def test_no_entry_makes_the_reducer_fail(self, entry):
        """Guards against an entry that ends every gateway that reads it."""
        self.setUp()
        self.play(CONFIGURATION | {'Version': 8}, entry)


class EndpointStateTest(loader_helper.LoaderTestCase):
    """A sidecar whose endpoint reports odd values."""

    def read(self, document, at_ms):
        """Read a state of the endpoint, unless it is malformed."""
        try:
            state = _order._parse_state(document)
        except routes.MalformedRecordError:
            return
        reported = events.AdaptersReported(
            at_ms=at_ms,
            read=self.state.reads,
            orders=state.orders,
            models=state.models,
            busy=state.has_order_in_progress,
            held=state.held,
            loading=state.loading,
            waiting=state.waiting,
            running=state.running,
            started_ms=state.started_ms,
            local_models=state.local_models,
        )
        self.feed(reported)

    def play(self, document):
        self.send_demands(loader_helper.demand('a1', version='2'))
        for at_ms in range(0, 4000, 200):
            self.read(document, at_ms)
            self.feed(events.Ticked(at_ms, 0.5))
            self.send_demands(loader_helper.demand('a1'), at_ms=at_ms)

    def test_version_with_thousands_of_digits_ends_no_sidecar(self):
        """Guards against an endpoint that ends the sidecar beside it."""
        models = [{'Name': 'm', 'Adapters': ['a1@' + '9' * 5000]}]
        self.play(STATE | {'Models': models})

    @SETTINGS
    @hypothesis.given(document=changes(STATE))
    def test_no_state_makes_the_reducer_fail(self, document):
        """Guards against an endpoint that ends the sidecar beside it."""
        self.setUp()
        self.play(document)
