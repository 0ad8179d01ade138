"""Simulates a gateway that loses the store for a while.

It runs on a virtual clock, without real waits. The gateway is composed as its
process composes it; the endpoints of a plain service write to the store at
every heartbeat.
"""

import dataclasses

from berylhollow import clock
from berylhollow import effects
from berylhollow import events
from berylhollow import gateway
from berylhollow.hosted import gateway_process
from berylhollow import log_service
from berylhollow import messages
from berylhollow import outgoing
from berylhollow import platform
from test import builders as samples
from test import platform_builders as builders

STEP_MS = 10
TICK_MS = 50
ANSWER_MS = 10
"""Time in which a reachable store answers; at most one step."""

CALL_TIMEOUT_MS = 1000
"""A call into a partition fails after this time, the timeout of the store's
client."""

HEARTBEAT_MS = 1200
"""Interval at which an endpoint writes its entry."""

REQUEST_MS = 20
PATH = '/puxa403/x'


class NextStep:
    """Suspends a coroutine until the next step."""

    def __await__(self):
        yield


@dataclasses.dataclass(frozen=True)
class Span:
    """Half-open time interval from ``start_ms`` to ``end_ms``."""

    start_ms: int
    end_ms: int

    def __contains__(self, at_ms):
        return self.start_ms <= at_ms < self.end_ms


@dataclasses.dataclass
class Writer:
    """An endpoint that writes its entry until it leaves the list.

    It writes nothing before ``silent_until_ms``.
    """

    name: str
    phase_ms: int
    leaves_ms: int | None = None
    silent_until_ms: int = 0
    write_count: int = 0

    def is_due(self, at_ms):
        if self.leaves_ms is not None and at_ms >= self.leaves_ms:
            return False
        if at_ms < self.silent_until_ms:
            return False
        return (at_ms - self.phase_ms) % HEARTBEAT_MS == 0


class Store:
    """The endpoint list.

    ``partitions`` cut off the gateway alone, ``outages`` everyone.
    """

    def __init__(self, time):
        self.time = time
        self.records = []
        self.partitions = ()
        self.outages = ()

    def put(self, writer):
        writer.write_count += 1
        host = int(writer.name.partition('-')[2])
        entry = builders.entry(
            f'10.0.0.{host}:80',
            builders.PLAIN_SERVICE,
            Models=[],
            Seq=writer.write_count,
        )
        self.records.append(builders.keyed(writer.name, entry))

    def drop(self, name):
        self.records.append(builders.keyed(name, None))

    async def newest(self, stream):
        await self._answer()
        newest = {}
        for entry in self._after(0).records:
            name, row = platform.decode_instance(entry.data)
            newest.pop(name, None)
            if row is not None:
                newest[name] = entry
        return log_service.ReadResult(
            tuple(newest.values()), 0, len(self.records)
        )

    async def read(self, stream, from_offset):
        await self._answer()
        return self._after(from_offset)

    def _after(self, offset):
        entries = tuple(
            messages.LogEntry(offset + index, 0, data)
            for index, data in enumerate(self.records[offset:])
        )
        return log_service.ReadResult(entries, 0, len(self.records))

    async def _answer(self):
        """Return when the answer arrives; a call into a partition fails."""
        sent_ms = self.time.now_ms()
        failed = self._is_unreachable(sent_ms)
        while True:
            await NextStep()
            now_ms = self.time.now_ms()
            failed = failed or self._is_unreachable(now_ms)
            if not failed and now_ms >= sent_ms + ANSWER_MS:
                return
            if now_ms >= sent_ms + CALL_TIMEOUT_MS:
                raise outgoing.CallOutcomeUnknown('no answer')

    def _is_unreachable(self, at_ms):
        return self.is_down(at_ms) or any(
            at_ms in partition for partition in self.partitions
        )

    def is_down(self, at_ms):
        return any(at_ms in outage for outage in self.outages)


class Simulation:
    """One gateway, its store and some endpoints, simulated in steps.

    ``suspensions`` are intervals in which the gateway process does not run.
    ``offered`` lists when each request was sent to which endpoint, ``refused``
    when one was answered with an error.
    """

    def __init__(self, writers):
        self.clock = clock.VirtualClock()
        self.store = Store(self.clock)
        self.writers = writers
        self.offered = []
        self.refused = []
        self.reads = []
        self.request_count = 0
        self.suspensions = ()
        node = builders.node()
        settings = gateway_process.gateway_settings(node)
        self.directory = gateway_process.endpoint_list(
            node, self.store, self.clock
        )
        self.state = gateway_process.gateway_state(node, settings)
        self._feed(events.Started(0, 'incarnation-1'))
        entry = messages.LogEntry(0, 0, builders.configuration_record())
        stream = platform.CONFIGURATION_STREAM
        self._feed(events.LogRead(0, stream, (entry,), 0, 1))

    def run_until(self, until_ms):
        while self.clock.now_ms() < until_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            self._write_entries(now_ms)
            if any(now_ms in suspension for suspension in self.suspensions):
                continue
            self._advance_reads()
            if now_ms % TICK_MS == 0:
                self._feed(events.Ticked(now_ms))
            if now_ms % REQUEST_MS == 0 and self.state.has_required_data:
                self._send_request(now_ms)

    def offer_times(self, name, from_ms):
        """Return when requests were sent to an endpoint, from a time on."""
        return [at for at, to in self.offered if to == name and at >= from_ms]

    def _write_entries(self, now_ms):
        for writer in self.writers:
            if now_ms == writer.leaves_ms:
                self.store.drop(writer.name)
            elif writer.is_due(now_ms) and not self.store.is_down(now_ms):
                self.store.put(writer)

    def _advance_reads(self):
        for reading in list(self.reads):
            try:
                reading.send(None)
            except StopIteration as done:
                self.reads.remove(reading)
                rows = done.value
                self._feed(events.InstancesListed(self.clock.now_ms(), rows))
            except outgoing.CallError:
                self.reads.remove(reading)

    def _send_request(self, now_ms):
        self.request_count += 1
        request = samples.request(
            f'r{self.request_count}',
            host=builders.HOST,
            path=PATH,
            adapter=None,
        )
        done = self._feed(events.RequestArrived(now_ms, request, 0.5))
        for effect in done:
            if isinstance(effect, effects.AnswerError):
                self.refused.append(now_ms)
            if not isinstance(effect, effects.Send):
                continue
            if isinstance(effect.message, messages.Offer):
                self._answer(now_ms, effect.peer, effect.message.attempt_id)

    def _answer(self, now_ms, peer, attempt_id):
        self.offered.append((now_ms, peer))
        for message in (
            messages.Started(attempt_id, 200, (), None),
            messages.End(attempt_id, 0),
        ):
            self._feed(events.MessageReceived(now_ms, peer, message))

    def _feed(self, event):
        self.state, done = gateway.reduce(self.state, event)
        for effect in done:
            if isinstance(effect, effects.ReadInstances):
                self.reads.append(self.directory.list())
        return done
