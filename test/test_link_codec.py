"""Tests of the encoding of messages."""

import dataclasses
import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from berylhollow.link import _codec
from berylhollow import messages
from test import link_builders as build

DRAWING = build.Drawing(
    colour=build.Colour.BLUE,
    points=(build.Point(1, 2.5), build.Point(3)),
    origin=build.Point(-1),
    names=frozenset({'a'}),
    sizes=(4, 'wide'),
    labels={'top': build.Point(9)},
    visible=False,
)


class CodecTest(unittest.TestCase):
    def setUp(self):
        self.codec = _codec.Codec(build.TAGS)

    def decode(self, *rows):
        return self.codec.decode(cbor2.dumps(list(rows)))

    def test_what_is_encoded_comes_back(self):
        sent = [
            DRAWING,
            build.note(1, b'x'),
            build.Drawing(DRAWING.colour, ()),
        ]
        parts = [self.codec.encode(message) for message in sent]
        self.assertEqual(sent, self.codec.decode(_codec.encode_list(parts)))

    def test_array_is_tag_and_fields_in_order(self):
        data = self.codec.encode(build.note(5, b'x'))
        self.assertEqual([10, 'note', 5, b'x'], cbor2.loads(data))

    def test_newer_peer(self):
        """During a rollout the peer may run a newer version.

        Its messages with an unknown tag or enum value are skipped and
        counted, and new trailing fields are ignored. All others arrive.
        """
        known = self.decode(
            [99, 'new'],
            [11, 'green', []],
            [10, 'note', 5, b'x', 'new field'],
        )
        self.assertEqual([build.note(5, b'x')], known)
        self.assertEqual(2, self.codec.skipped)

    def test_older_peer_leaves_out_trailing_fields(self):
        expected = build.Drawing(build.Colour.RED, (build.Point(4),))
        self.assertEqual([expected], self.decode([11, 'red', [[4]]]))

    def test_what_does_not_fit_is_an_error(self):
        for row in (
            'text',
            [],
            ['10', 'note', 5, b'x'],
            [True, 'note', 5, b'x'],
            [10, 'note', 5],
            [10, 'note', True, b'x'],
            [10, 'note', 5.0, b'x'],
            [10, 'note', '5', b'x'],
            [10, b'note', 5, b'x'],
            [11, 'red', [['4']]],
            [11, 'red', {}],
            [11, ['red'], []],
            [11, 'red', [], None, [], [1]],
            [11, 'red', [], None, [], [1, 'a'], {'top': 1}],
        ):
            with self.subTest(row=row), self.assertRaises(_codec.CodecError):
                self.decode(row)

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(strategies.binary(max_size=60))
    def test_noise_raises_nothing_but_its_own_error(self, noise):
        for data in (noise, b'\x9f' + noise + b'\xff'):
            try:
                self.codec.decode(data)
            except _codec.CodecError:
                continue

    def test_deep_nesting_is_an_error(self):
        with self.assertRaises(_codec.CodecError):
            self.codec.decode(b'\x81' * 10_000 + b'\x00')

    def test_announced_but_missing_items_are_an_error(self):
        with self.assertRaises(_codec.CodecError):
            self.codec.decode(b'\x9b\x00\x00\x00\xff\xff\xff\xff\xff')

    def test_every_declared_message_can_travel(self):
        _codec.Codec(messages.TAGS)

    def test_field_that_can_not_travel_is_refused_at_once(self):
        @dataclasses.dataclass(frozen=True)
        class Wrong:
            thing: complex

        with self.assertRaises(TypeError):
            _codec.Codec({1: Wrong})
