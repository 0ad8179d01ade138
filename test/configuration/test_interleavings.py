"""Tests that all processes converge, whatever the order of messages."""

import unittest

import hypothesis
from hypothesis import strategies

from berylhollow import configuration
from berylhollow import messages
from test import configuration_builders as builders
from test import fleet as fleets

NAMES = ('g1', 'g2', 's1')
PAIRS = [(one, other) for one in NAMES for other in NAMES if one != other]
OUTAGE_MS = 3000
HEALED_MS = 12_000

name = strategies.sampled_from(NAMES)
pair = strategies.sampled_from(PAIRS)
step = strategies.one_of(
    strategies.tuples(strategies.just('tick'), name),
    strategies.tuples(strategies.just('answer'), name),
    strategies.tuples(strategies.just('deliver'), pair),
    strategies.tuples(strategies.just('deliver'), pair),
    strategies.tuples(strategies.just('double'), pair),
    strategies.tuples(strategies.just('cut'), pair),
    strategies.tuples(strategies.just('link'), pair),
    strategies.tuples(strategies.just('replace'), name),
    strategies.tuples(strategies.just('publish'), strategies.integers(0, 2)),
    strategies.tuples(strategies.just('junk'), name),
    strategies.tuples(strategies.just('snapshot'), name),
    strategies.tuples(strategies.just('outage'), name),
    strategies.tuples(
        strategies.just('wait'), strategies.sampled_from((50, 500, 7000))
    ),
)


class Run:
    """Runs random steps on three followers and a log."""

    def __init__(self):
        self.fleet = fleets.Fleet(*NAMES)
        self.fleet.link_all()
        self.fleet.publish(builders.whole())
        self.count = 0

    def step(self, action, argument):
        getattr(self, action)(argument)

    def tick(self, process):
        self.fleet.tick(process)

    def answer(self, process):
        self.fleet.answer(process)

    def deliver(self, ends):
        self.fleet.deliver(*ends)

    def double(self, ends):
        self.fleet.deliver(*ends, keep=True)

    def cut(self, ends):
        self.fleet.cut(*ends)

    def link(self, ends):
        if frozenset(ends) not in self.fleet.links:
            self.fleet.link(*ends)

    def replace(self, process):
        self.fleet.begin(process)

    def publish(self, behind):
        """Publish a change whose base is ``behind`` revisions too old."""
        self.count += 1
        base = max(self.reference().configuration.revision - behind, 0)
        put = builders.put('a2', versions=(str(self.count),))
        self.fleet.publish(builders.change(base, f'c{self.count}', put))

    def junk(self, _):
        self.fleet.publish(b'no record')

    def snapshot(self, process):
        """Write the snapshot of a process, which may be outdated."""
        history = self.fleet.followers[process].history
        self.fleet.log.put(configuration.SNAPSHOT_STREAM, history.snapshot())

    def outage(self, _):
        self.fleet.log.start_fault('log_down', OUTAGE_MS)

    def wait(self, duration_ms):
        self.fleet.clock.advance(duration_ms)

    def heal(self):
        """End all faults and run until the processes have converged."""
        self.fleet.log.model.faults.stop('log_down')
        for ends in PAIRS:
            self.link(ends)
        self.fleet.run(HEALED_MS)

    def reference(self):
        """Return the state computed from the log alone."""
        state = configuration.INITIAL
        records = self.fleet.log.model.streams[configuration.STREAM].records
        for record in records:
            entry = messages.LogEntry(record.offset, 0, record.data)
            state, _ = configuration.fold(state, entry)
        return state


class InterleavingTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=150, database=None
    )
    @hypothesis.given(strategies.lists(step, max_size=60))
    def test_all_processes_converge_to_the_state_of_the_log(self, steps):
        run = Run()
        for action, argument in steps:
            run.step(action, argument)
        run.heal()
        expected = run.reference()
        for follower in run.fleet.followers.values():
            status = follower.status(run.fleet.clock.now_ms())
            self.assertEqual(status.revision, expected.configuration.revision)
            self.assertEqual(status.digest, expected.digest.hex())
