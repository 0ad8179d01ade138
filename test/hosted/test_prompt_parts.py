"""How many endpoints a bad part of prompts may end, and what that costs."""

import itertools
import unittest

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import crash_fleet
from test.hosted import prompt_fleet
from test.hosted import test_gateway_direct
from test import platform_builders as builders

SIZES = ((4, 7), (8, 12))
PARTS = ((1, 10), (2, 20), (3, 35))
"""First parts, and second ones after each."""


class PromptBoundTest(unittest.TestCase):
    """Requests with a bad part keep coming, at any gateway, none like another.

    Few of them reach endpoints, and sound requests that share their first part
    keep beginning.
    """

    def check(self, disturb=None, changes=None, **prompts):
        for (gateways, endpoints), seed in itertools.product(SIZES, (1, 2)):
            with self.subTest(gateways=gateways, seed=seed, **prompts):
                setup = crash_fleet.Setup(
                    gateways=gateways,
                    endpoints=endpoints,
                    model=True,
                    seed=seed,
                    **(changes or {}),
                )
                fleet = prompt_fleet.PromptFleet(
                    setup, prompt_fleet.Prompts(**prompts)
                )
                if disturb is not None:
                    disturb(fleet)
                fleet.play()
                self.assertLessEqual(
                    fleet.late_runs(), prompt_fleet.MAX_LATE_RUNS
                )
                self.assertGreaterEqual(
                    fleet.sound_share(), prompt_fleet.LEAST_SHARE
                )

    def test_bad_second_part_ends_few_endpoints(self):
        """Guards against requests that are only known as a whole."""
        for culprit_ms in (100, 400, 2500):
            self.check(culprit_ms=culprit_ms)

    def test_bad_part_of_two_ends_few_endpoints(self):
        """Guards against a search that needs many kinds of requests."""
        self.check(firsts=1, seconds=2)

    def test_bad_first_part_ends_few_endpoints(self):
        """Guards against a search that blames each second part instead."""
        self.check(bad_first=True)
        self.check(firsts=1, seconds=9, bad_first=True)

    def test_two_bad_parts_end_few_endpoints(self):
        """Guards against a search for one part that explains all ends."""
        self.check(bad=2)

    def test_bad_part_beside_a_request_that_is_bad_as_a_whole(self):
        """Guards against a sound part that is refused for its request."""
        self.check(whole_ms=400)

    def test_bound_holds_beside_answers_that_are_broken_off(self):
        """Guards against a part that waits for each answer cut beside it."""
        self.check(changes={'broken_share': 0.1})

    def test_bound_holds_over_slow_links(self):
        """Guards against a first part that is blamed for two later ones."""
        self.check(changes={'link_ms': 80}, bad=2)

    def test_bound_holds_while_gateways_are_killed(self):
        """Guards against a search that starts anew with each gateway."""

        def kill(fleet):
            for number, at_ms in enumerate(range(5050, 60_000, 3000)):
                name = f'g{number % fleet.setup.gateways + 1}'
                fleet.at(at_ms, fleet.kill_gateway, name)
                fleet.at(at_ms + 500, fleet.start_gateway, name)

        self.check(kill)

    def test_bound_holds_while_all_sidecars_start_again_at_once(self):
        """Guards against a search that is lost with the sidecars."""

        def restart(fleet):
            for at_ms in (5150, 9000, 20_000):
                fleet.at(at_ms, fleet.restart_sidecars, 700)

        self.check(restart)

    def test_endpoints_lost_together_quarantine_no_part(self):
        """Guards against refusals after a failure domain loses power."""

        def lose(fleet):
            count = fleet.setup.endpoints // 2
            for at_ms in (12_000, 20_000):
                fleet.at(at_ms, fleet.lose_endpoints, count, 400)

        self.check(lose, bad=0)
        self.check(lose)

    def test_part_that_ran_well_before_ends_few_endpoints(self):
        """Guards against answers of the past that clear a bad part."""
        for culprit_ms in (100, 400):
            self.check(turns_bad=True, culprit_ms=culprit_ms)

    def test_endpoints_lost_one_by_one_hold_no_request(self):
        """Guards against shared parts that are blamed for a lost domain.

        Eight of 26 endpoints are lost within 9 s, and no request is at fault.
        """
        for (firsts, seconds), seed in itertools.product(PARTS, (1, 2)):
            with self.subTest(firsts=firsts, seconds=seconds, seed=seed):
                setup = crash_fleet.Setup(
                    gateways=21, endpoints=26, model=True, seed=seed
                )
                prompts = prompt_fleet.Prompts(
                    firsts=firsts, seconds=seconds, bad=0, until_ms=24_000
                )
                fleet = prompt_fleet.PromptFleet(setup, prompts)
                fleet.at(10_000, fleet.lose_endpoints, 8, 1100)
                fleet.play()
                self.assertGreater(fleet.logs['run cut off'], 0)
                self.assertEqual(set(), fleet.refused())
                self.assertEqual(set(), fleet.held)


class PartTest(test_gateway_direct.DirectTestCase):
    """A gateway that lost runs of requests with parts in their prompts."""

    PARTS = ('f', 'b')

    def setUp(self):
        super().setUp()
        rows = [
            test_gateway_direct.plain(f'i-{n}', f'10.0.0.{n}:80')
            for n in (1, 2, 3)
        ]
        self.list_instances(*rows)

    def options(self):
        return {'retry_reserve': 0.0}

    def send(self, at_ms, parts=PARTS):
        self.send_request(at_ms=at_ms, shared_parts=parts)

    def write(self, at_ms):
        """Begin to write the answer of the last request; return its offer."""
        peer, offer = self.offered()
        for message in (
            messages.Started(offer.attempt_id, 200, (), None),
            messages.Data(offer.attempt_id, 0, b'x'),
        ):
            self.receive(message, at_ms, peer)
        return peer, offer

    def crash(self, number, at_ms, keys, is_probe=True):
        """Hear of an end elsewhere under a request with these keys."""
        runs = [messages.LostRun(int(is_probe), 50, 0, is_probe)] * len(keys)
        crashed = messages.Crashed(
            f'i-{number} at g9',
            builders.PLAIN_SERVICE,
            tuple(keys),
            tuple(runs),
        )
        self.receive(crashed, at_ms, 'sidecar')

    def suspect(self, part, at_ms):
        return self.state.suspects.is_suspect(f'part:{part}', at_ms)

    def test_run_that_lives_on_clears_its_parts(self):
        """Guards against sound parts that wait for the end of an answer."""
        self.crash(7, 0, ('other', 'part:f', 'part:b'), is_probe=False)
        self.send(10)
        self.write(20)
        self.feed(events.Ticked(450, 0.5))
        self.assertTrue(self.suspect('b', 450))
        self.feed(events.Ticked(520, 0.5))
        self.assertFalse(self.suspect('b', 520))
        self.assertFalse(self.suspect('f', 520))

    def test_run_that_is_cut_off_clears_nothing(self):
        """Guards against a bad part that is cleared as it begins to write."""
        self.crash(7, 0, ('other', 'part:b'), is_probe=False)
        self.send(10)
        peer, offer = self.write(20)
        kind = errors.Kind.STREAM_BROKEN
        failed = messages.Failed(offer.attempt_id, kind, errors.Ran.UNKNOWN)
        self.receive(failed, 60, peer)
        self.feed(events.Ticked(700, 0.5))
        self.assertTrue(self.suspect('b', 700))

    def lose_parts(self, number, at_ms):
        """Hear of two runs that an endpoint cut off; return what is logged."""
        logs = []
        for key in ('x', 'part:b', 'y', 'part:b'):
            lost = messages.RunLost(key, f'i-{number}', False)
            self.receive(lost, at_ms, 'sidecar')
            logs += [log.text for log in self.of_type(effects.Log)]
        return logs

    def test_part_that_ran_well_is_not_held_after_a_loss(self):
        """Guards against sound parts that wait for a run after each loss."""
        self.send(0)
        self.write(20)
        self.feed(events.Ticked(520, 0.5))
        logs = self.lose_parts(2, 1000)
        self.assertIn('loss not held against a sound part', logs)
        self.send(1020)
        _, offer = self.offered()
        self.assertFalse(offer.is_probe)

    def test_clearing_takes_the_way_of_the_loss(self):
        """Guards against a clearing that overtakes the loss it is for."""
        rows = [test_gateway_direct.plain('i-1', '10.0.0.1:80')]
        addresses_beside = [f'10.0.1.{n}:80' for n in range(4)]
        for address in addresses_beside:
            row = test_gateway_direct.direct_instance(f'm-{address}', address)
            rows.append(row)
        self.list_instances(*rows)
        for address in addresses_beside:
            peer = addresses.sidecar_peer(address)
            self.open_link(peer, events.Role.ENDPOINT)
        parts = tuple(f'p{n}' for n in range(8))
        self.send(0, parts)
        self.write(20)
        self.feed(events.Ticked(520, 0.5))
        self.send(1000, parts)
        peer, offer = self.write(1020)
        kind = errors.Kind.STREAM_BROKEN
        failed = messages.Failed(offer.attempt_id, kind, errors.Ran.UNKNOWN)
        self.receive(failed, 1060, peer)
        ways = {messages.RunLost: {}, messages.Cleared: {}}
        for send in self.of_type(effects.Send):
            way = ways.get(type(send.message))
            if way is not None and 'part:' in send.message.fingerprint:
                way[send.message.fingerprint] = send.peer
        self.assertEqual(8, len(ways[messages.Cleared]))
        self.assertEqual(ways[messages.RunLost], ways[messages.Cleared])

    def test_run_excuses_few_losses_of_its_parts(self):
        """Guards against a part that begins to crash endpoints later."""
        self.send(0)
        self.write(20)
        self.feed(events.Ticked(520, 0.5))
        for number, is_probe in ((1, False), (2, False), (3, True)):
            self.lose_parts(number, 1000 * number)
            self.send(1000 * number + 20)
            _, offer = self.offered()
            self.assertIs(is_probe, offer.is_probe)

    def test_cleared_loss_is_not_counted_when_its_end_is_listed(self):
        """Guards against a second suspicion some seconds after the first."""
        self.send(0)
        peer, offer = self.write(20)
        kind = errors.Kind.STREAM_BROKEN
        failed = messages.Failed(offer.attempt_id, kind, errors.Ran.UNKNOWN)
        self.receive(failed, 60, peer)
        cleared = messages.Cleared('part:b', (peer,))
        self.receive(cleared, 64, 'sidecar')
        self.receive(messages.RunLost('part:b', peer, False), 66, 'sidecar')
        rows = [
            test_gateway_direct.plain(f'i-{n}', f'10.0.0.{n}:80')
            for n in (1, 2, 3)
            if f'i-{n}' != peer
        ]
        self.list_instances(*rows, at_ms=4000)
        self.assertFalse(self.suspect('b', 4000))
        self.assertTrue(self.suspect('f', 4000))

    def test_short_answer_clears_only_if_its_endpoint_lives_on(self):
        """Guards against a bad part whose answers end before the crash."""
        for number, lost in enumerate((True, False)):
            at_ms = 10_000 * number
            self.crash(7 + number, at_ms, ('x', 'part:b'), is_probe=False)
            self.send(at_ms + 10)
            peer, offer = self.write(at_ms + 20)
            relayed = events.AnswerRelayed(
                at_ms + 40, offer.request_id, offer.attempt_id, 200
            )
            self.feed(relayed)
            if lost:
                told = messages.RunLost('y', peer, False)
                self.receive(told, at_ms + 80, 'sidecar')
            self.feed(events.Ticked(at_ms + 530, 0.5))
            self.assertIs(lost, self.suspect('b', at_ms + 530))

    def test_short_answer_that_is_read_slowly_does_not_live_on(self):
        """Guards against a bad part that slow callers of its answers clear.

        The endpoint has sent the whole answer and crashes a moment later.
        """
        for number, lost in enumerate((True, False)):
            at_ms = 10_000 * number
            self.crash(7 + number, at_ms, ('x', 'part:b'), is_probe=False)
            self.send(at_ms + 10)
            peer, offer = self.write(at_ms + 20)
            end = messages.End(offer.attempt_id, 1)
            self.receive(end, at_ms + 40, peer)
            if lost:
                told = messages.RunLost('y', peer, False)
                self.receive(told, at_ms + 80, 'sidecar')
            self.feed(events.Ticked(at_ms + 530, 0.5))
            self.assertIs(lost, self.suspect('b', at_ms + 530))
            relayed = events.AnswerRelayed(
                at_ms + 900, offer.request_id, offer.attempt_id, 200
            )
            self.feed(relayed)

    def test_answer_that_is_broken_off_makes_no_part_suspect_at_once(self):
        """Guards against refusals wherever a popular part loses an answer."""
        self.receive(messages.RunLost('x', 'i-1', False), 0, 'sidecar')
        self.receive(messages.RunLost('part:b', 'i-1', False), 0, 'sidecar')
        for at_ms in (10, 20):
            self.send(at_ms)
            self.assertEqual(1, len(self.offers()))
            _, offer = self.offered()
            self.assertFalse(offer.is_probe)

    def test_endpoint_that_cut_several_runs_makes_parts_suspect(self):
        """Guards against a bad part that goes on until an end is listed."""
        for key in ('x', 'part:b', 'y', 'part:b'):
            self.receive(messages.RunLost(key, 'i-1', False), 0, 'sidecar')
        self.send(10)
        _, offer = self.offered()
        self.assertTrue(offer.is_probe)
        self.send(20)
        self.assertEqual([], self.offers())

    def test_first_part_waits_for_nothing_after_one_end(self):
        """Guards against refusals after each end: most requests share it."""
        self.crash(7, 0, ('x', 'part:f', 'part:b'), is_probe=False)
        for at_ms in (10, 20):
            self.send(at_ms, ('f', 'c'))
            _, offer = self.offered()
            self.assertFalse(offer.is_probe)
        self.crash(8, 1000, ('y', 'part:f', 'part:d'), is_probe=False)
        self.send(1010, ('f', 'c'))
        _, offer = self.offered()
        self.assertTrue(offer.is_probe)

    def test_lost_probe_is_held_against_one_part(self):
        """Guards against a first part that is blamed for a later one."""
        self.crash(7, 0, ('x', 'part:f', 'part:b'), is_probe=False)
        self.send(10)
        active = next(iter(self.state.requests.values()))
        self.assertEqual(('part:b',), active.probe_for)

    def test_part_with_most_crashes_is_blamed(self):
        """Guards against a bad first part that hides behind later ones."""
        self.crash(7, 0, ('x', 'part:f', 'part:b'), is_probe=False)
        self.crash(8, 5000, ('y', 'part:f'))
        self.send(5010)
        self.assertEqual([], self.offers())
        self.feed(events.Ticked(5510, 0.5))
        self.send(12_100)
        active = next(iter(self.state.requests.values()))
        self.assertEqual(('part:f',), active.probe_for)

    def test_request_with_a_quarantined_part_is_refused(self):
        """Guards against a new request for each crash; the log names it."""
        for number in (7, 8, 9):
            keys = (f'x{number}', 'part:b')
            self.crash(number, number * 1000, keys, is_probe=number > 7)
        self.send(9100)
        answer = self.answer()
        self.assertIs(errors.Kind.QUARANTINED, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        (line,) = [
            dict(log.fields)
            for log in self.of_type(effects.Log)
            if log.text == 'quarantined request refused'
        ]
        self.assertEqual('part:b', line['key'])
        self.send(9200, ('f', 'c'))
        self.assertEqual(1, len(self.offers()))

    def test_stronger_suspect_at_the_same_end_explains_it(self):
        """Guards against a probe that a culprit's crash interrupts."""
        for number in (6, 7, 8):
            self.crash(number, number * 1000, ('bad',), is_probe=number > 6)
        self.crash(5, 7500, ('x', 'part:f'), is_probe=False)
        self.crash(8, 8000, ('y', 'part:f'))
        self.crash(9, 9000, ('z', 'part:f'))
        self.assertEqual(2, self.state.suspects.crashes('part:f'))

    def test_parts_are_no_company_of_their_request(self):
        """Guards against a culprit that ends one endpoint more."""
        for number in (7, 8):
            keys = ('same', 'part:f', 'part:b')
            self.crash(number, number * 1000, keys, is_probe=number > 7)
        quarantined_ms = self.state.suspects.quarantined_ms('same', 8100)
        self.assertGreater(quarantined_ms, 0)
