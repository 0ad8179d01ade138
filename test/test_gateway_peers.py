"""Tests of the choice of peers to link to, and of retries."""

import collections
import math

from berylhollow import effects
from berylhollow import events
from berylhollow import gateway
from berylhollow.gateway import _peers
from test import builders
from test import helper


def states(count, **options):
    names = [f'g{number}' for number in range(count)]
    rows = tuple(
        builders.instance(name, events.Role.GATEWAY) for name in names
    )
    for name in names:
        state = builders.gateway_state(name, **options)
        gateway.reduce(state, events.InstancesListed(0, rows))
        yield state


class PeerTest(helper.ReducerTestCase):
    def test_refused_link_is_tried_again_after_a_pause(self):
        self.begin(gateway.reduce, builders.gateway_state('g1'))
        row = builders.instance('g2', events.Role.GATEWAY)
        self.feed(events.InstancesListed(0, (row,)), events.Ticked(1))
        self.assertEqual(1, len(self.of_type(effects.OpenLink)))
        self.feed(events.LinkRefused(2, 'g2'), events.Ticked(3))
        self.assertEqual([], self.of_type(effects.OpenLink))
        self.feed(events.Ticked(1000))
        self.assertEqual(1, len(self.of_type(effects.OpenLink)))

    def test_few_links_reach_every_gateway_in_few_hops(self):
        count = 64
        links = collections.defaultdict(set)
        for state in states(count, peer_fanout=4):
            name = state.options.instance
            for peer in _peers.chosen_peers(state):
                links[name].add(peer)
                links[peer].add(name)
        self.assertLessEqual(max(map(len, links.values())), 8)
        reached, hops = {'g0'}, 0
        while len(reached) < count:
            reached |= {peer for name in reached for peer in links[name]}
            hops += 1
        self.assertLessEqual(hops, 2 * math.log2(count))
