"""Endpoints that leave while a gateway can't read the list of them."""

import unittest

from test.hosted import store_cut

CONTACT_MS = 3000
"""So long after the store is back a gateway keeps every promise again."""

LEAVE_MS = 2000
"""So long an endpoint that left the list may still be sent requests."""

CUT = store_cut.Span(5000, 17_000)
PHASES = range(0, 1400, 100)
"""When a cut ends against the gateway's own calls, which take turns of it."""


def scene(*leaves_ms):
    writers = [
        store_cut.Writer(f'i-{number}', 130 * number, at_ms)
        for number, at_ms in enumerate([*leaves_ms, None, None], 1)
    ]
    return store_cut.Scene(writers)


class LeavingTest(unittest.TestCase):
    """A gateway alone is cut off; the store serves all others."""

    def late(self, leaves_ms, *cuts):
        """Return when an endpoint that had left was sent requests."""
        played = scene(leaves_ms)
        played.store.cuts = cuts
        back_ms = cuts[0].over_ms
        played.play(cuts[-1].over_ms + 8000)
        self.assertTrue(played.offered_to('i-1', 0))
        self.assertTrue(played.offered_to('i-2', back_ms))
        bound_ms = max(leaves_ms + LEAVE_MS, back_ms + CONTACT_MS)
        return played.offered_to('i-1', bound_ms)

    def test_endpoint_that_left_while_the_gateway_was_cut_off(self):
        """Callers got 504 of an endpoint that had left twelve seconds ago.

        Their gateway was cut off from the store while it left, though the
        store served all others. The first read after the cut has the removal,
        up to 1.4 s late; it was taken for a lapse of an outage, held back for
        2.3 s and ended only by the next read: `removal held back` and `held
        removal takes effect` in the log of the gateway show all three.
        """
        for phase_ms in PHASES:
            cut = store_cut.Span(CUT.begun_ms, CUT.over_ms + phase_ms)
            with self.subTest(phase_ms=phase_ms):
                self.assertEqual([], self.late(8000, cut))

    def test_endpoint_that_left_just_before_the_cut_ended(self):
        for phase_ms in PHASES:
            cut = store_cut.Span(CUT.begun_ms, CUT.over_ms + phase_ms)
            with self.subTest(phase_ms=phase_ms):
                self.assertEqual([], self.late(cut.over_ms - 100, cut))

    def test_store_is_lost_again_just_after_a_cut(self):
        """The gateway has read that the endpoint left, and is cut off again.

        It sent there for as long as the second cut took: the removal was held
        back, and the end of the hold wanted another read.
        """
        for pause_ms in range(1500, 2400, 100):
            again = store_cut.Span(
                CUT.over_ms + pause_ms, CUT.over_ms + 12_000
            )
            with self.subTest(pause_ms=pause_ms):
                self.assertEqual([], self.late(8000, CUT, again))

    def test_endpoint_that_left_while_the_gateway_stood_still(self):
        """A process that stood still for seconds takes that for an outage."""
        for phase_ms in PHASES:
            freeze = store_cut.Span(CUT.begun_ms, CUT.over_ms + phase_ms)
            leaves_ms = freeze.over_ms - 100
            played = scene(leaves_ms)
            played.freezes = (freeze,)
            played.play(freeze.over_ms + 8000)
            bound_ms = freeze.over_ms + CONTACT_MS
            with self.subTest(phase_ms=phase_ms):
                self.assertEqual([], played.offered_to('i-1', bound_ms))


class LapseTest(unittest.TestCase):
    def test_service_whose_entries_all_lapsed_is_served_on(self):
        """The store is down for all; on its return every entry is gone.

        Endpoints that live write again within two seconds. Taken at its word
        the list would have callers refused by a service that is well.
        """
        for phase_ms in PHASES:
            with self.subTest(phase_ms=phase_ms):
                self.lapse(store_cut.Span(5000, 12_000 + phase_ms))

    def test_second_outage_follows_before_any_endpoint_is_back(self):
        """Endpoints had half a second to write again and could not.

        As long as the store is lost again, the hold must not run out.
        """
        outage = store_cut.Span(5000, 12_000)
        again = store_cut.Span(12_500, 17_000)
        played = scene()
        played.store.outages = (outage, again)
        played.play(11_500)
        for writer in played.writers:
            played.store.drop(writer.name)
            writer.held_ms = again.over_ms + 700
        played.play(again.over_ms + 8000)
        self.assertEqual([], played.refused)

    def lapse(self, outage):
        played = scene()
        played.store.outages = (outage,)
        played.play(outage.over_ms - 500)
        for writer in played.writers:
            played.store.drop(writer.name)
            writer.held_ms = outage.over_ms + 700 + writer.phase_ms
        played.play(outage.over_ms + 8000)
        self.assertEqual([], played.refused)
        for writer in played.writers:
            self.assertTrue(
                played.offered_to(writer.name, outage.over_ms + CONTACT_MS)
            )
