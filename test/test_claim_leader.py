"""Tests of claims that a partition's leader appends for many gateways."""

import unittest

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow.gateway import _claim_leader
from berylhollow import messages
from berylhollow.standin import faults
from berylhollow.standin import log
from test import builders
from test import helper

NAMES = ('g1', 'g2', 'g3')
GATEWAY = events.Role.GATEWAY


class LeaderTest(unittest.TestCase):
    """Three gateways that share a log; some may be disconnected."""

    def setUp(self):
        self.log = log.LogModel()
        self.states = {name: self.start(name) for name in NAMES}
        first = self.states['g1']
        self.leader = _claim_leader.leader_of(first, 0) or 'g1'
        self.others = [name for name in NAMES if name != self.leader]
        self.offers = []
        self.answers = []
        self.disconnected = set()
        self.requests = 0

    def start(self, name):
        state = builders.gateway_state(
            name, claim_partitions=1, claim_direct_gateways=1
        )
        rows = [builders.instance(peer, GATEWAY) for peer in NAMES]
        rows.append(builders.instance('e1'))
        gateway.reduce(state, events.Started(0, f'of-{name}'))
        gateway.reduce(state, events.InstancesListed(0, tuple(rows)))
        for peer in NAMES:
            if peer != name:
                opened = events.LinkOpened(0, peer, GATEWAY, f'of-{peer}')
                gateway.reduce(state, opened)
        endpoint = events.LinkOpened(0, 'e1', events.Role.ENDPOINT, 'i1')
        gateway.reduce(state, endpoint)
        return state

    def feed(self, name, event):
        _, done = gateway.reduce(self.states[name], event)
        for effect in done:
            self.carry_out(name, effect, event.at_ms)

    def carry_out(self, name, effect, at_ms):
        if isinstance(effect, effects.Append | effects.ReadLog):
            self.feed(name, helper.answer_call(self.log, effect, at_ms))
        elif isinstance(effect, effects.AnswerError):
            self.answers.append(effect.kind)
        elif isinstance(effect, effects.Send):
            self.deliver(name, effect, at_ms)

    def deliver(self, name, send, at_ms):
        if isinstance(send.message, messages.Offer):
            self.offers.append(name)
        elif send.peer in NAMES and not {name, send.peer} & self.disconnected:
            received = events.MessageReceived(at_ms, name, send.message)
            self.feed(send.peer, received)

    def send(self, name, at_ms=0):
        self.requests += 1
        request = builders.request(
            f'r{self.requests}', key='k', fingerprint='same'
        )
        self.feed(name, events.RequestArrived(at_ms, request))

    def tick(self, at_ms, names=NAMES):
        for name in names:
            self.feed(name, events.Ticked(at_ms))

    def appended(self):
        return self.log.streams['claims-0'].next_offset

    def test_claims_of_many_gateways_are_one_append(self):
        for name in self.others:
            self.send(name)
        self.tick(50)
        self.assertEqual(1, self.appended())
        self.assertEqual(1, len(self.offers))
        self.assertEqual([errors.Kind.KEY_IN_PROGRESS], self.answers)

    def test_gateway_whose_leader_is_gone_appends_by_itself(self):
        """Guards against refusals while one gateway is restarted.

        The leader dies with a forwarded claim that no other gateway has.
        The sender must append the claim itself.
        """
        sender = self.others[0]
        self.disconnected = {self.leader}
        self.send(sender)
        self.feed(sender, events.LinkClosed(10, self.leader))
        self.tick(100, self.others)
        self.tick(200, self.others)
        self.assertEqual([sender], self.offers)

    def test_two_leaders_at_once_let_a_key_run_once(self):
        """Guards against a request that runs twice when the leader changes.

        The sender loses its leader with a claim in flight, so both append
        the claim. The verdict must come from the log, not from the leader.
        """
        first, second = self.others
        self.send(first)
        self.disconnected = {first}
        self.tick(50, [self.leader])
        self.feed(first, events.LinkClosed(60, self.leader))
        self.send(second, at_ms=60)
        for at_ms in (100, 200, 300):
            self.tick(at_ms)
        self.assertEqual([first], self.offers)
        self.assertEqual([errors.Kind.KEY_IN_PROGRESS], self.answers)

    def test_leader_without_a_log_says_not_run(self):
        self.log.faults.start(faults.PlatformFault.LOG_DOWN, 0)
        self.send(self.others[0])
        self.tick(50)
        self.assertEqual([errors.Kind.CLAIMS_UNAVAILABLE], self.answers)

    def test_garbage_from_a_peer_is_not_appended(self):
        message = messages.ClaimsForwarded(0, 'b1', b'\xff')
        received = events.MessageReceived(0, self.others[0], message)
        self.feed(self.leader, received)
        self.tick(50)
        self.assertNotIn('claims-0', self.log.streams)
