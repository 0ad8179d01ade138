"""Messages with any values, from a link through the reducer of each role.

Links join processes of this project only, but of several versions.
"""

import dataclasses
import enum
import types
import typing

import hypothesis
from hypothesis import strategies

from berylhollow import events
from berylhollow.link import _codec
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test.loader import loader_helper
from test import platform_builders as builders

SETTINGS = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80')
SIDECARS = tuple(map(addresses.sidecar_peer, ADDRESSES))
PEERS = (*SIDECARS, 'i-1', 'i-2', 'g2', 'nobody')
TEXTS = (
    *PEERS,
    '',
    'r1',
    'r1.1',
    'r2.1',
    'f',
    'a3',
    builders.adapter_name(),
    builders.MODEL,
    builders.MODEL_SERVICE,
    builders.PLAIN_SERVICE,
    'v1',
    'w',
)
NUMBERS = (0, 1, -1, 2, 7, 1000, 2**31, 2**63, -(2**63), 10**30)


def values(hint):
    """Return a strategy of what a link may decode for a type."""
    plain = {
        int: strategies.sampled_from(NUMBERS) | strategies.integers(0, 9),
        str: strategies.sampled_from(TEXTS) | strategies.text(max_size=5),
        bytes: strategies.binary(max_size=40),
        bool: strategies.booleans(),
        float: strategies.sampled_from((0.0, 0.5, -1.0, 1e300))
        | strategies.floats(),
        type(None): strategies.none(),
    }
    if hint in plain:
        return plain[hint]
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return strategies.sampled_from(list(hint))
    if dataclasses.is_dataclass(hint):
        return instances(hint)
    return composite_values(hint)


def composite_values(hint):
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return strategies.one_of(*map(values, arguments))
    if origin is tuple and arguments[-1] is not Ellipsis:
        return strategies.tuples(*map(values, arguments))
    if origin is tuple:
        return strategies.lists(values(arguments[0]), max_size=3).map(tuple)
    if origin is frozenset:
        return strategies.frozensets(values(arguments[0]), max_size=3)
    return strategies.dictionaries(*map(values, arguments), max_size=3)


def instances(cls):
    hints = typing.get_type_hints(cls)
    fields = {x.name: values(hints[x.name]) for x in dataclasses.fields(cls)}
    return strategies.builds(cls, **fields)


def any_message():
    """Return a strategy of messages as they come out of a link."""
    codec = _codec.Codec(messages.TAGS)

    def travel(message):
        data = _codec.encode_list([codec.encode(message)])
        try:
            return codec.decode(data)
        except _codec.CodecError:
            return []

    tables = [instances(cls) for cls in messages.TAGS.values()]
    return strategies.one_of(*tables).map(travel)


def received():
    pairs = strategies.tuples(strategies.sampled_from(PEERS), any_message())
    return strategies.lists(pairs, max_size=6)


class GatewayTest(direct.DirectTestCase):
    @SETTINGS
    @hypothesis.given(given=received())
    def test_no_message_makes_a_gateway_fail(self, given):
        """Guards against a peer that ends the gateway it is linked to."""
        self.setUp()
        self.list_instances(
            direct.direct_instance('i-1', ADDRESSES[0]),
            direct.plain('i-2', ADDRESSES[1]),
        )
        for peer in SIDECARS:
            self.open_link(peer, events.Role.ENDPOINT)
        for address in ADDRESSES:
            self.report(address, keeps_origins=True)
        self.open_link('g2', events.Role.GATEWAY)
        self.name_version(2, at_ms=50)
        at_ms = 100
        self.send_request(direct.MODEL_PATH, at_ms, fingerprint='f')
        self.send_request(direct.PLAIN_PATH, at_ms, fingerprint='f')
        for peer, decoded in given:
            for message in decoded:
                self.receive(message, at_ms, peer)
            at_ms += 30
            self.feed(events.Ticked(at_ms, 0.5))
            self.send_request(direct.MODEL_PATH, at_ms, 'a3', prompt_tokens=9)
        for at_ms in (1000, 3000, 9000):
            self.feed(events.Ticked(at_ms, 0.5))


class LentRateTest(loader_helper.LoaderTestCase):
    def test_rate_without_end_does_not_travel(self):
        """Guards against a gateway that ends the sidecar it is linked to."""
        codec = _codec.Codec(messages.TAGS)
        for rate_per_s in (float('inf'), float('nan')):
            wanted = messages.RateWanted('i-1', rate_per_s, 1)
            data = _codec.encode_list([codec.encode(wanted)])
            with self.assertRaises(_codec.CodecError):
                codec.decode(data)


class SidecarTest(loader_helper.LoaderTestCase):
    @SETTINGS
    @hypothesis.given(given=received())
    def test_no_message_makes_a_sidecar_fail(self, given):
        """Guards against a peer that ends the sidecar it is linked to."""
        self.setUp()
        self.open_link('g2', events.Role.GATEWAY)
        self.send_demands(loader_helper.demand('a3'))
        self.report()
        at_ms = 100
        for peer, decoded in given:
            for message in decoded:
                self.receive(message, at_ms, peer)
            at_ms += 30
            self.feed(events.Ticked(at_ms, 0.5))
            self.send_demands(loader_helper.demand('a3'), at_ms=at_ms)
        for at_ms in (1000, 3000, 9000):
            self.report(at_ms=at_ms)
            self.feed(events.Ticked(at_ms, 0.5))
        self.feed(events.LinkClosed(at_ms, 'g2'))
