"""Tests of numbered streams over links that break."""

import unittest

import hypothesis
from hypothesis import strategies

from berylhollow import messages
from berylhollow import stream

LIMIT = stream.MINIMUM_LIMIT_BYTES


def sender_and_frames(payloads=(), limit=LIMIT):
    sender = stream.StreamSender('a1', limit)
    return sender, [sender.push(payload) for payload in payloads]


class SenderTest(unittest.TestCase):
    def test_unacknowledged_frames_are_bounded(self):
        for payload in (b'', bytes(1000)):
            sender, _ = sender_and_frames()
            while not sender.is_paused:
                sender.push(payload)
            with self.assertRaises(stream.PausedError):
                sender.push(payload)
            self.assertLess(sender.stored_bytes, LIMIT + 1100)
            sender.acknowledge(1)
            self.assertFalse(sender.is_paused)

    def test_resume_before_what_is_kept_or_beyond_what_was_sent(self):
        sender, frames = sender_and_frames([b'a', b'b', b'c'])
        sender.acknowledge(1)
        sender.acknowledge(0)
        self.assertEqual(frames[1:], sender.resume(1))
        self.assertEqual([], sender.resume(3))
        for wanted in (0, 4):
            with self.assertRaises(stream.ResumeImpossibleError):
                sender.resume(wanted)
        with self.assertRaises(stream.CorruptError):
            sender.acknowledge(4)

    def test_nothing_follows_the_end(self):
        sender, _ = sender_and_frames([b'a'])
        end = sender.finish()
        with self.assertRaises(stream.StreamError):
            sender.push(b'b')
        self.assertEqual([end], sender.resume(1))
        sender.acknowledge(2)
        self.assertTrue(sender.is_fully_acknowledged)


class ReceiverTest(unittest.TestCase):
    def setUp(self):
        self.receiver = stream.StreamReceiver('a1')

    def test_without_its_end_a_stream_is_not_complete(self):
        """The connection to an engine breaks in the middle of an answer.

        The caller must not mistake the partial answer for a complete one.
        """
        sender, frames = sender_and_frames([b'a', b'b'])
        for frame in frames:
            self.receiver.accept(frame)
        self.assertFalse(self.receiver.complete)
        self.receiver.accept(sender.finish())
        self.assertTrue(self.receiver.complete)

    def test_missing_frame_is_a_gap(self):
        sender, frames = sender_and_frames([b'a', b'b', b'c'])
        self.receiver.accept(frames[0])
        for frame in (frames[2], sender.finish()):
            with self.assertRaises(stream.GapError):
                self.receiver.accept(frame)
        self.assertEqual(1, self.receiver.resume().next_sequence)
        self.assertFalse(self.receiver.complete)

    def test_contradicting_end(self):
        self.receiver.accept(messages.Data('a1', 0, b'a'))
        with self.assertRaises(stream.CorruptError):
            self.receiver.accept(messages.End('a1', 0))
        self.receiver.accept(messages.End('a1', 1))
        for late in (messages.Data('a1', 1, b'b'), messages.End('a1', 2)):
            with self.assertRaises(stream.CorruptError):
                self.receiver.accept(late)

    def test_frame_of_an_older_attempt_is_dropped(self):
        """Frames of the first attempt arrive after a retry has begun.

        Accepting them would mix two answers into one.
        """
        self.assertIsNone(self.receiver.accept(messages.Data('a0', 0, b'old')))
        self.assertIsNone(self.receiver.accept(messages.End('a0', 0)))
        self.assertEqual(2, self.receiver.late)
        self.assertFalse(self.receiver.complete)
        self.assertEqual(
            b'a', self.receiver.accept(messages.Data('a1', 0, b'a'))
        )

    def test_slow_caller_is_not_acknowledged(self):
        """Only frames that the caller consumed are acknowledged."""
        sender, _ = sender_and_frames()
        for _ in range(stream.ACKNOWLEDGE_FRAMES):
            self.receiver.accept(sender.push(b'x'))
        self.assertIsNone(self.receiver.due_acknowledgement())
        self.receiver.mark_consumed(stream.ACKNOWLEDGE_FRAMES)
        due = self.receiver.due_acknowledgement()
        self.assertEqual(stream.ACKNOWLEDGE_FRAMES, due.next_sequence)
        self.assertIsNone(self.receiver.due_acknowledgement())

    def test_lost_acknowledgement_does_not_hold_up_the_stream(self):
        """An acknowledgement is lost with its link.

        The sender is paused until it arrives, and the receiver waits for
        more frames: without a second acknowledgement the answer hangs.
        """
        sender, _ = sender_and_frames()
        while not sender.is_paused:
            self.receiver.accept(sender.push(bytes(1000)))
            self.receiver.mark_consumed()
        self.assertIsNotNone(self.receiver.due_acknowledgement())
        self.receiver.resume()
        again = self.receiver.due_acknowledgement()
        sender.acknowledge(again.next_sequence)
        self.assertFalse(sender.is_paused)


class Exchange:
    """A sender and a receiver, and the frames in flight between them.

    A link keeps frames in order. After a reconnect, frames of the old link
    may arrive after the first ones of the new link, in order, or never.
    """

    def __init__(self, payloads):
        self.sender, _ = sender_and_frames()
        self.receiver = stream.StreamReceiver('a1')
        self.unsent = list(payloads)
        self.old_link = []
        self.new_link = []
        self.received = []

    def send(self):
        if self.sender.is_paused or self.sender.finished:
            return
        if self.unsent:
            self.new_link.append(self.sender.push(self.unsent.pop(0)))
        else:
            self.new_link.append(self.sender.finish())

    def arrive(self, frames):
        if not frames:
            return
        try:
            payload = self.receiver.accept(frames.pop(0))
        except stream.GapError:
            self.resume()
            return
        if payload is not None:
            self.received.append(payload)
            self.receiver.mark_consumed()

    def acknowledge(self, arrives=True):
        message = self.receiver.due_acknowledgement()
        if message is not None and arrives:
            self.sender.acknowledge(message.next_sequence)

    def resume(self):
        self.old_link = self.new_link
        resume = self.receiver.resume()
        self.new_link = self.sender.resume(resume.next_sequence)

    def perform(self, step):
        actions = {
            'send': self.send,
            'arrive': lambda: self.arrive(self.new_link),
            'arrive old': lambda: self.arrive(self.old_link),
            'acknowledge': self.acknowledge,
            'lose acknowledgement': lambda: self.acknowledge(False),
            'break': self.resume,
            'repeat': lambda: self.new_link.extend(self.new_link[-1:]),
            'lose': lambda: self.new_link.clear(),
        }
        actions[step]()

    def finish(self):
        """Reconnect, then deliver everything without further faults."""
        self.resume()
        for _ in range(2 * len(self.unsent) + len(self.sender.stored) + 2):
            self.acknowledge()
            self.send()
            self.arrive(self.new_link)


STEPS = strategies.sampled_from(
    ['send', 'arrive'] * 3
    + ['arrive old', 'acknowledge', 'lose acknowledgement']
    + ['break', 'repeat', 'lose']
)
PAYLOADS = strategies.lists(
    strategies.one_of(
        strategies.binary(max_size=3),
        strategies.integers(0, 9000).map(bytes),
    ),
    max_size=60,
)


class ExchangeTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    @hypothesis.given(PAYLOADS, strategies.lists(STEPS, max_size=300))
    def test_payloads_arrive_once_in_order_or_not_completely(
        self, payloads, steps
    ):
        """Links break at any point, and repeat or lose frames in flight.

        The caller always has a prefix of the answer, and the whole answer
        once the stream is complete. Every stream can be completed.
        """
        exchange = Exchange(payloads)
        for step in steps:
            exchange.perform(step)
            received = exchange.received
            self.assertEqual(payloads[: len(received)], received)
            if exchange.receiver.complete:
                self.assertEqual(payloads, received)
        exchange.finish()
        self.assertTrue(exchange.receiver.complete)
        self.assertEqual(payloads, exchange.received)
        exchange.receiver.resume()
        exchange.acknowledge()
        self.assertTrue(exchange.sender.is_fully_acknowledged)
