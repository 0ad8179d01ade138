"""Modelled endpoints that start again in place, within milliseconds.

The next start has the name and the address of the last one and answers
before the instance list shows it, as under a supervisor.
"""

import dataclasses

from berylhollow import errors
from berylhollow import messages
from test import builders as samples
from test.hosted import crash_fleet
from test import platform_builders as builders


@dataclasses.dataclass(frozen=True)
class Setup(crash_fleet.Setup):
    """One play; times in milliseconds.

    The port accepts connections again after ``down_ms``, and the list shows
    the next start ``lag_ms`` later, if it still runs.
    """

    down_ms: int = 5
    lag_ms: int = 300


@dataclasses.dataclass
class Run(crash_fleet.Run):
    """``peer`` is the start that the gateway took for the one it met."""

    peer: str = ''


class InPlaceFleet(crash_fleet.CrashFleet):
    """Plays endpoints whose next start takes their name and address."""

    def __init__(self, setup):
        self.numbers = {}
        super().__init__(setup)

    def _start_endpoint(self, address):
        self.starts += 1
        number = self.numbers.setdefault(address, len(self.numbers) + 1)
        incarnation = messages.Incarnation(f'i-{number}', self.starts)
        name = str(incarnation)
        is_first = address not in self.endpoints
        self.endpoints[address] = crash_fleet.Endpoint(
            address, name, started_ms=self.now_ms
        )
        if is_first:
            self._list(address, incarnation)
        else:
            self.after(self.setup.lag_ms, self._list, address, incarnation)

    def _list(self, address, incarnation):
        """List a start in place of the last one, if it still runs."""
        name = str(incarnation)
        if self.endpoints[address].name != name:
            return
        for known in [x for x in self.listed if _have_same_name(x, name)]:
            del self.listed[known]
        is_model = self.setup.model
        self.listed[name] = samples.instance(
            name,
            service=builders.MODEL_SERVICE
            if is_model
            else builders.PLAIN_SERVICE,
            address=address,
            direct=True,
            capacity=64,
            models=(builders.MODEL,) if is_model else (),
            incarnation=incarnation,
        )

    def _offered(self, name, effect):
        offer = effect.message
        found = [
            x
            for x in self.endpoints.values()
            if _have_same_name(x.name, effect.peer)
        ]
        if not found or not found[0].up:
            failed = messages.Failed(
                offer.attempt_id,
                errors.Kind.ENDPOINT_UNREACHABLE,
                errors.Ran.NOT_RUN,
            )
            self.after(
                crash_fleet.LINK_MS, self._report, name, effect.peer, failed
            )
            return
        endpoint = found[0]
        run = Run(name, offer, effect.peer)
        endpoint.runs[name, offer.attempt_id] = run
        if run.is_culprit:
            self.runs_ms.append(self.now_ms)
        self._begin(endpoint, run)

    def _answer(self, run, source, message):
        super()._answer(run, run.peer, message)

    def _cancelled(self, name, effect):
        for endpoint in self.endpoints.values():
            endpoint.runs.pop((name, effect.message.attempt_id), None)

    def end_endpoint(self, address):
        """End what listens at an address; the next start takes its place."""
        endpoint = self.endpoints[address]
        if not endpoint.up:
            return
        endpoint.up = False
        for run in endpoint.runs.values():
            self._answer(run, endpoint.name, self._broken(run.offer))
        endpoint.runs.clear()
        silent_ms = crash_fleet.SILENT_HEARTBEATS * crash_fleet.HEARTBEAT_MS
        for name in [
            x for x in self.listed if _have_same_name(x, endpoint.name)
        ]:
            self.after(silent_ms, self.listed.pop, name, None)
        self.after(self.setup.down_ms, self._start_endpoint, address)


def _have_same_name(one, other):
    name_in = messages.Incarnation.name_in
    return name_in(one) == name_in(other)
