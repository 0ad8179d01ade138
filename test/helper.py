"""Shared base of the reducers' tests: feed events, keep the effects."""

import unittest

from berylhollow import effects
from berylhollow import events
from berylhollow import messages


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
        return self.effects

    def receive(self, message, at_ms=0, peer='e1'):
        return self.feed(events.MessageReceived(at_ms, peer, message))

    def of_type(self, effect_type):
        return [item for item in self.effects if type(item) is effect_type]

    def sent(self, message_type):
        """Return the messages of a type that the last events sent."""
        return [
            item.message
            for item in self.of_type(effects.Send)
            if type(item.message) is message_type
        ]

    def failure(self):
        """Return the only Failed message that was sent."""
        (failed,) = self.sent(messages.Failed)
        return failed
