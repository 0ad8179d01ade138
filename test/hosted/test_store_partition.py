"""Endpoints that leave while a gateway can't read the endpoint list."""

import unittest

from test.hosted import store_partition

CONTACT_MS = 3000
"""Time after the store's return when a gateway keeps every promise again."""

LEAVE_MS = 2000
"""Time for which an endpoint that left the list may still be sent requests."""

PARTITION = store_partition.Span(5000, 17_000)
PHASES = range(0, 1400, 100)
"""Delays of a partition's end, so that it falls between different reads."""


def new_simulation(*leaves_ms):
    writers = [
        store_partition.Writer(f'i-{number}', 130 * number, at_ms)
        for number, at_ms in enumerate([*leaves_ms, None, None], 1)
    ]
    return store_partition.Simulation(writers)


class LeavingTest(unittest.TestCase):
    """One gateway is cut off; the store serves everyone else."""

    def late_offers(self, leaves_ms, *partitions):
        """Return when requests were sent to an endpoint that had left."""
        simulation = new_simulation(leaves_ms)
        simulation.store.partitions = partitions
        back_ms = partitions[0].end_ms
        simulation.run_until(partitions[-1].end_ms + 8000)
        self.assertTrue(simulation.offer_times('i-1', 0))
        self.assertTrue(simulation.offer_times('i-2', back_ms))
        bound_ms = max(leaves_ms + LEAVE_MS, back_ms + CONTACT_MS)
        return simulation.offer_times('i-1', bound_ms)

    def test_endpoint_that_left_while_the_gateway_was_cut_off(self):
        """Callers got 504 from an endpoint that had left twelve seconds ago.

        Their gateway was cut off from the store while the endpoint left,
        though the store served everyone else. The first read afterwards, up to
        1.4 s late, returned the removal. The gateway took it for an entry that
        expired in an outage, held it back for 2.3 s and ended the hold only
        with the next read. Its log shows `removal held back` and `held removal
        takes effect`.
        """
        for phase_ms in PHASES:
            partition = store_partition.Span(
                PARTITION.start_ms, PARTITION.end_ms + phase_ms
            )
            with self.subTest(phase_ms=phase_ms):
                self.assertEqual([], self.late_offers(8000, partition))

    def test_endpoint_that_left_just_before_the_partition_ended(self):
        for phase_ms in PHASES:
            partition = store_partition.Span(
                PARTITION.start_ms, PARTITION.end_ms + phase_ms
            )
            with self.subTest(phase_ms=phase_ms):
                self.assertEqual(
                    [], self.late_offers(partition.end_ms - 100, partition)
                )

    def test_store_is_lost_again_just_after_a_partition(self):
        """The gateway has read the removal and is cut off again.

        It went on sending for as long as the second partition lasted: the
        removal was held back, and the hold could only end with another read.
        """
        for pause_ms in range(1500, 2400, 100):
            again = store_partition.Span(
                PARTITION.end_ms + pause_ms, PARTITION.end_ms + 12_000
            )
            with self.subTest(pause_ms=pause_ms):
                self.assertEqual([], self.late_offers(8000, PARTITION, again))

    def test_endpoint_that_left_while_the_gateway_was_suspended(self):
        """A process that was suspended for seconds sees an outage."""
        for phase_ms in PHASES:
            suspension = store_partition.Span(
                PARTITION.start_ms, PARTITION.end_ms + phase_ms
            )
            leaves_ms = suspension.end_ms - 100
            simulation = new_simulation(leaves_ms)
            simulation.suspensions = (suspension,)
            simulation.run_until(suspension.end_ms + 8000)
            bound_ms = suspension.end_ms + CONTACT_MS
            with self.subTest(phase_ms=phase_ms):
                self.assertEqual([], simulation.offer_times('i-1', bound_ms))


class ExpiryTest(unittest.TestCase):
    def test_service_whose_entries_all_expired_is_still_served(self):
        """The store is down for everyone; then every entry is gone.

        Live endpoints write again within two seconds. If the removals were
        applied at once, requests would be refused although the service is
        healthy.
        """
        for phase_ms in PHASES:
            with self.subTest(phase_ms=phase_ms):
                self.check_served_after_expiry(
                    store_partition.Span(5000, 12_000 + phase_ms)
                )

    def test_second_outage_before_any_endpoint_has_written_again(self):
        """Half a second between two outages is too short to write again.

        The hold must not end while the store is lost again.
        """
        outage = store_partition.Span(5000, 12_000)
        again = store_partition.Span(12_500, 17_000)
        simulation = new_simulation()
        simulation.store.outages = (outage, again)
        simulation.run_until(11_500)
        for writer in simulation.writers:
            simulation.store.drop(writer.name)
            writer.silent_until_ms = again.end_ms + 700
        simulation.run_until(again.end_ms + 8000)
        self.assertEqual([], simulation.refused)

    def check_served_after_expiry(self, outage):
        simulation = new_simulation()
        simulation.store.outages = (outage,)
        simulation.run_until(outage.end_ms - 500)
        for writer in simulation.writers:
            simulation.store.drop(writer.name)
            writer.silent_until_ms = outage.end_ms + 700 + writer.phase_ms
        simulation.run_until(outage.end_ms + 8000)
        self.assertEqual([], simulation.refused)
        for writer in simulation.writers:
            self.assertTrue(
                simulation.offer_times(writer.name, outage.end_ms + CONTACT_MS)
            )
