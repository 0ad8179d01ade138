"""Parts of streams in the form in which they are sent."""

import dataclasses
import random
import unittest

from berylhollow import messages
from berylhollow import stream_parts


def part(*records):
    return messages.StreamPart('operators', 5, 5 + len(records), records, 'g1')


class StreamPartsTest(unittest.TestCase):
    def test_parts_come_back_as_they_were(self):
        chance = random.Random(1)
        for sizes in ((), (0,), (9000,), (0, 20_000, 1, 300_000)):
            sent = part(*map(chance.randbytes, sizes))
            compressed = stream_parts.compress(sent)
            with self.subTest(sizes=sizes):
                self.assertEqual(sent, stream_parts.decompress(compressed))

    def test_small_part_stays_as_it_is(self):
        sent = part(b'x' * 100)
        self.assertIs(sent, stream_parts.compress(sent))

    def test_records_that_would_fill_the_memory_stay_as_they_are(self):
        sent = part(bytes(stream_parts.MAX_SIZE_BYTES))
        self.assertIs(sent, stream_parts.compress(sent))

    def test_part_that_is_not_what_it_states_is_corrupt(self):
        """Another writer's part must not end or fill the process."""
        sent = stream_parts.compress(part(b'x' * 20_000, b'y' * 20_000))
        for changes in (
            {'data': b'no zlib'},
            {'data': sent.data[:-1]},
            {'size_bytes': sent.size_bytes - 1},
            {'size_bytes': sent.size_bytes + 1},
            {'size_bytes': stream_parts.MAX_SIZE_BYTES + 1},
        ):
            with (
                self.subTest(changes=list(changes)),
                self.assertRaises(stream_parts.CorruptPartError),
            ):
                stream_parts.decompress(dataclasses.replace(sent, **changes))
