"""Shared base of the reducers' tests: feed events, keep the effects."""

import unittest

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow.standin import failures


class ReducerTestCase(unittest.TestCase):
    """Drive one reducer; ``self.effects`` is what the last event gave."""

    def begin(self, reduce, state):
        self.reduce = reduce
        self.state = state
        self.effects = []
        self.feed(events.Started(0, 'incarnation-1'))

    def feed(self, *given):
        self.effects = []
        for event in given:
            self.state, done = self.reduce(self.state, event)
            self.effects += done
        for log in self.of_type(effects.Log):
            self.assertNotIn('traceback', dict(log.fields))
        return self.effects

    def receive(self, message, at_ms=0, peer='e1'):
        return self.feed(events.MessageReceived(at_ms, peer, message))

    def answer_log(self, model, at_ms=0):
        """Carry appends and reads out at a log until none is asked for."""
        kept = self.effects
        while True:
            calls = [item for item in self.effects if _is_call(item)]
            if not calls:
                break
            self.feed(*[answer_call(model, call, at_ms) for call in calls])
            kept = [*kept, *self.effects]
        self.effects = kept

    def of_type(self, effect_type):
        return [item for item in self.effects if type(item) is effect_type]

    def sent(self, message_type):
        """Return the messages of a type that the last events sent."""
        return [
            item.message
            for item in self.of_type(effects.Send)
            if type(item.message) is message_type
        ]

    def logged(self, message):
        """Return the fields of the last events' log lines with a message."""
        return [
            dict(item.fields)
            for item in self.of_type(effects.Log)
            if item.text == message
        ]

    def open_link(self, peer, role, at_ms=0, incarnation='i1'):
        return self.feed(events.LinkOpened(at_ms, peer, role, incarnation))

    def failure(self):
        """Return the only Failed message that was sent."""
        (failed,) = self.sent(messages.Failed)
        return failed


def _is_call(effect):
    return isinstance(effect, effects.Append | effects.ReadLog)


def answer_call(model, call, at_ms):
    """Carry one append or read out and return what came of it."""
    if isinstance(call, effects.ReadLog):
        return _read(model, call, at_ms)
    try:
        offset = model.append(call.stream, call.data, at_ms)
    except failures.AnswerLost:
        unknown = events.Certainty.UNKNOWN
        return events.AppendFailed(at_ms, call.stream, call.append_id, unknown)
    except failures.StandInError:
        not_done = events.Certainty.NOT_DONE
        return events.AppendFailed(
            at_ms, call.stream, call.append_id, not_done
        )
    return events.Appended(at_ms, call.stream, call.append_id, offset)


def _read(model, call, at_ms):
    try:
        read = model.read(call.stream, call.from_offset, 100, at_ms)
    except failures.OffsetGone as e:
        return events.LogReadFailed(at_ms, call.stream, e.first_offset)
    except failures.StandInError:
        return events.LogReadFailed(at_ms, call.stream)
    entries = read.records
    return events.LogRead(
        at_ms, call.stream, entries, read.first_offset, read.next_offset
    )
