"""Plain endpoints that crash and start again in place, with another version.

The next start has the name and the address of the one before and answers at
once; the list shows it later.
"""

import dataclasses
import unittest

from berylhollow import messages
from test.hosted import crash_fleet
from test.hosted import stream_fleet

STREAMS = 60
FEW_STREAMS = 24
"""Too few for an endpoint to be ejected when it cuts off its own."""

GO_ON_SHARE = 0.9
LIST_LAG_MS = 400
BEGIN_MS = 3000
END_MS = 20_000
SWAPPED = {'v1': 'v2', 'v2': 'v1'}


@dataclasses.dataclass
class Run(crash_fleet.Run):
    """A run that was offered to ``start``, which may have ended before."""

    start: str


class InPlaceFleet(stream_fleet.StreamFleet):
    """``started_ms`` has the start time of each endpoint, by address."""

    def __init__(self, max_tries=3):
        self.started_ms = {}
        super().__init__(max_tries=max_tries)

    def _start_endpoint(self, address):
        super()._start_endpoint(address)
        self.started_ms[address] = 1
        self.list_start(address)

    def list_start(self, address):
        name = self.endpoints[address].name
        incarnation = messages.Incarnation(name, self.started_ms[address])
        self.listed[name] = dataclasses.replace(
            self.listed[name],
            instance=str(incarnation),
            incarnation=incarnation,
            software_version=self.versions[address],
        )

    def restart_all(self):
        """Let endpoints of two versions change place under their names."""
        for address in self.endpoints:
            self.restart(address)

    def restart(self, address):
        """Let an endpoint start again in place with the other version."""
        endpoint = self.endpoints[address]
        for run in endpoint.runs.values():
            self._answer(run, run.start, self._broken(run.offer))
        endpoint.runs.clear()
        self.versions[address] = SWAPPED[self.versions[address]]
        self.started_ms[address] += 1
        endpoint.started_ms = self.now_ms
        self.after(LIST_LAG_MS, self.list_start, address)

    def _offered(self, name, effect):
        listed_name = messages.Incarnation.name_in(effect.peer)
        (endpoint,) = (
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.name == listed_name
        )
        run = Run(name, effect.message, effect.peer)
        endpoint.runs[name, effect.message.attempt_id] = run
        self._begin(endpoint, run)

    def _answer(self, run, source, message):
        super()._answer(run, run.start, message)


class RestartInPlaceTest(unittest.TestCase):
    def setUp(self):
        self.fleet = InPlaceFleet()
        self.fleet.run_until(BEGIN_MS)

    def test_streams_go_on_where_only_connections_were_reset(self):
        """Guards against a doubt that outlasts the proof of a life.

        Their callers come back twice; no endpoint ends.
        """
        self.fleet = InPlaceFleet()
        self.fleet.run_until(BEGIN_MS)
        self.fleet.begin_streams(STREAMS)
        self.fleet.run_until(BEGIN_MS + 600)
        self.fleet.reset_channels('g1', 0.7)
        self.check(least_resumed=15)
        self.assertGreaterEqual(
            len(self.fleet.went_on), GO_ON_SHARE * len(self.fleet.resumed)
        )

    def check(self, least_resumed=30):
        self.fleet.run_until(END_MS)
        self.assertGreaterEqual(len(self.fleet.resumed), least_resumed)
        mixed = len(self.fleet.mixed)
        self.assertEqual(0, mixed, f'{mixed} streams are mixed')

    def test_streams_begun_before_the_list_shows_the_next_start(self):
        """Guards against an origin of the start before.

        The streams break after the list has shown the next start.
        """
        self.fleet.restart_all()
        self.fleet.begin_streams(STREAMS)
        self.fleet.run_until(BEGIN_MS + LIST_LAG_MS + 600)
        for name in ('g1', 'g2'):
            self.fleet.reset_channels(name, 0.7)
        self.check()

    def test_streams_of_one_endpoint_go_on_elsewhere(self):
        """Guards against a version that is taken for that of a next start.

        Others of the version serve, of which no run was cut off.
        """
        self.fleet.begin_streams(FEW_STREAMS)
        self.fleet.run_until(BEGIN_MS + 600)
        for number in (1, 4):
            self.fleet.restart(f'10.0.0.{number}:80')
        self.check(least_resumed=5)
        self.assertEqual(self.fleet.resumed, self.fleet.went_on)

    def test_streams_resumed_before_the_list_shows_the_next_start(self):
        """Guards against a version that is taken for that of a next start.

        The streams break with their endpoints and are resumed at once.
        """
        self.fleet.begin_streams(STREAMS)
        self.fleet.run_until(BEGIN_MS + 600)
        self.fleet.restart_all()
        self.check()
