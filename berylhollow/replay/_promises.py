"""The promises to callers and operators, checked from facts alone.

Nothing here knows a state of the implementation: only what endpoints ran,
what callers got, what processes were told and what they showed to others.
"""

import collections
import dataclasses
import enum

from berylhollow import errors
from berylhollow import messages
from berylhollow.replay import _answers
from berylhollow.replay import _facts
from berylhollow.replay import _world

TRUE_REFUSALS = (errors.Kind.KEY_IN_PROGRESS, errors.Kind.UNKNOWN_ADAPTER)
FOUND_MS = 1000
"""By then a new endpoint has its links."""
CRASHES = 3
"""How often one request may crash endpoints, its resends included."""


class Promise(enum.StrEnum):
    """What must always hold; the last two are what the brief builds on."""

    EXACT_ADAPTER = 'exact adapter and version'
    ADAPTER_IN_USE = 'adapter in use never evicted'
    WHOLE_ANSWER = 'own whole answer'
    NOT_RUN = '"not run" is true'
    AT_MOST_ONCE = 'at most once'
    LEAVING = 'leaving endpoint gets no work'
    GRACEFUL = 'planned stop cuts off nothing'
    CONFIGURATION = 'configuration in force, never reverts'
    CONTAINED = 'a crashing request is contained'
    ANSWERED = 'every caller gets one answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and how."""

    promise: Promise
    at_ms: float
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request and its answer when all is well: whole, or ``refused``."""

    exchange: _facts.Exchange
    refused: errors.Kind | None = None


@dataclasses.dataclass(slots=True)
class Stop:
    """A process that was asked to stop, and who waited for it then."""

    at_ms: float
    incarnation: str


class Oracle:
    """Observes a world's facts and collects the violations.

    ``planned`` says that nothing but planned stops befalls this world, so
    that no request may fail but those that came after a gateway's stop.
    ``probes`` are sent when all faults are over, and must succeed.
    """

    def __init__(self, world: _world.World, planned: bool = False):
        self.world = world
        self.planned = planned
        self.violations: list[Violation] = []
        self.probes: list[Probe] = []
        self.bases: dict[int, int] = {}
        self.runs: dict[str, list[_facts.RunBegan]] = collections.defaultdict(
            list
        )
        self.key_runs: collections.Counter = collections.Counter()
        self.offers: dict[str, _facts.Offered] = {}
        self.stops: dict[str, Stop] = {}
        self.revisions: dict[tuple[str, str], int] = collections.defaultdict(
            int
        )
        self.crashes: collections.Counter = collections.Counter()
        self.running: dict[str, dict[str, str]] = collections.defaultdict(dict)
        self.checks = {
            _facts.RunBegan: self.run_began,
            _facts.RunOver: self.run_over,
            _facts.Produced: self.produced,
            _facts.SlotTaken: self.slot_taken,
            _facts.Refused: self.refused,
            _facts.EngineDied: self.engine_died,
            _facts.Offered: self.offered,
            _facts.Answered: self.answered,
            _facts.Relayed: self.relayed,
            _facts.Said: self.said,
            _facts.StopAsked: self.stop_asked,
            _facts.ProcessStarted: self.process_started,
            _facts.ProcessEnded: self.process_ended,
        }
        world.record.observers.append(self.observe)

    def observe(self, fact: _facts.Fact) -> None:
        """Check what one fact may have broken."""
        self.checks[type(fact)](fact)

    def broken(self, promise: Promise, text: str) -> None:
        self.violations.append(Violation(promise, self.world.now_ms, text))

    def exchange_of(self, request_id: str) -> _facts.Exchange:
        return self.world.record.exchanges[request_id]

    # Endpoints

    def run_began(self, fact: _facts.RunBegan) -> None:
        self.runs[fact.request_id].append(fact)
        self.running[fact.endpoint][fact.attempt_id] = fact.request_id
        exchange = self.exchange_of(fact.request_id)
        if exchange.ran is errors.Ran.NOT_RUN:
            self.broken(
                Promise.NOT_RUN,
                f'{fact.request_id} runs after "not run" ({exchange.kind})',
            )
        self.check_once(exchange)
        self.check_leaving(fact)

    def check_once(self, exchange: _facts.Exchange) -> None:
        request = exchange.request
        if request.key is None:
            return
        key = (request.caller, request.service, request.key)
        self.key_runs[key] += 1
        if self.key_runs[key] > 1:
            self.broken(
                Promise.AT_MOST_ONCE,
                f'{request.key} runs for the {self.key_runs[key]}. time',
            )

    def check_leaving(self, fact: _facts.RunBegan) -> None:
        """Check that no work is taken after a sidecar was told to leave.

        A few seconds are allowed for others to learn of it; the sidecar
        itself knows at once.
        """
        offer = self.offers.get(fact.attempt_id)
        stop = self.stops.get(fact.endpoint)
        if offer is None or stop is None:
            return
        if offer.incarnation != stop.incarnation:
            return
        if offer.at_ms > stop.at_ms:
            self.broken(
                Promise.LEAVING,
                f'{fact.endpoint} runs {fact.attempt_id}, offered '
                f'{offer.at_ms - stop.at_ms:.0f} ms after it was to leave',
            )

    def refused(self, fact: _facts.Refused) -> None:
        """Check that a sidecar knows its engine's slots, once all is calm."""
        if self.probes:
            self.broken(
                Promise.ANSWERED,
                f'{fact.endpoint} has not loaded what {fact.attempt_id} was '
                'given to it for',
            )

    def run_over(self, fact: _facts.RunOver) -> None:
        self.running[fact.endpoint].pop(fact.attempt_id, None)

    def produced(self, fact: _facts.Produced) -> None:
        if fact.adapter != fact.wanted:
            self.broken(
                Promise.EXACT_ADAPTER,
                f'{fact.attempt_id} wants {fact.wanted} and runs on '
                f'{fact.adapter}',
            )

    def slot_taken(self, fact: _facts.SlotTaken) -> None:
        if fact.users:
            self.broken(
                Promise.ADAPTER_IN_USE,
                f'{fact.endpoint} loads {fact.adapter} over {fact.users}',
            )

    def engine_died(self, fact: _facts.EngineDied) -> None:
        if fact.forced:
            return
        running = self.running[fact.endpoint]
        for request_id in set(running.values()):
            request = self.exchange_of(request_id).request
            if _answers.CRASH_MARK not in request.body:
                continue
            self.crashes[request.body] += 1
            if self.crashes[request.body] > CRASHES:
                self.broken(
                    Promise.CONTAINED,
                    f'{request_id} crashes an endpoint for the '
                    f'{self.crashes[request.body]}. time',
                )

    def offered(self, fact: _facts.Offered) -> None:
        self.offers.setdefault(fact.offer.attempt_id, fact)

    # Callers

    def answered(self, fact: _facts.Answered) -> None:
        exchange = fact.exchange
        request_id = exchange.request.request_id
        if exchange.answers > 1:
            self.broken(
                Promise.ANSWERED, f'{request_id} got a second final answer'
            )
        if exchange.ending in (_facts.Ending.WHOLE, _facts.Ending.STORED):
            self.check_whole(exchange)
        if exchange.ran is errors.Ran.NOT_RUN and self.runs[request_id]:
            self.broken(
                Promise.NOT_RUN,
                f'{request_id} was told "not run" ({exchange.kind}) and ran',
            )
        if exchange.ran is errors.Ran.RAN:
            self.check_ran(exchange)
        if self.planned:
            self.check_planned(exchange)

    def check_whole(self, exchange: _facts.Exchange) -> None:
        request = exchange.request
        if bytes(exchange.body) != _answers.whole(request):
            self.broken(
                Promise.WHOLE_ANSWER,
                f'{request.request_id} got {bytes(exchange.body)!r} as whole',
            )
        if exchange.ending is _facts.Ending.STORED:
            return
        if exchange.adapter != request.adapter:
            self.broken(
                Promise.EXACT_ADAPTER,
                f'{request.request_id} is told {exchange.adapter}',
            )

    def relayed(self, fact: _facts.Relayed) -> None:
        exchange = fact.exchange
        whole = _answers.whole(exchange.request)
        if not whole.startswith(bytes(exchange.body)):
            self.broken(
                Promise.WHOLE_ANSWER,
                f'{exchange.request.request_id} got '
                f'{bytes(exchange.body[-40:])!r}',
            )

    def check_ran(self, exchange: _facts.Exchange) -> None:
        """Check that a request which is told that it ran did so."""
        request = exchange.request
        key = (request.caller, request.service, request.key)
        if not self.runs[request.request_id] and not self.key_runs[key]:
            self.broken(
                Promise.NOT_RUN, f'{request.request_id}: "ran", and did not'
            )

    def check_planned(self, exchange: _facts.Exchange) -> None:
        """Check that a planned stop failed no request."""
        good = (_facts.Ending.WHOLE, _facts.Ending.STORED)
        if exchange.ending in good or exchange.ending is _facts.Ending.LEFT:
            return
        stop = self.stops.get(exchange.gateway)
        after = stop is not None and exchange.sent_ms >= stop.at_ms - 10
        if after and exchange.ran in (None, errors.Ran.NOT_RUN):
            return
        if exchange.kind in TRUE_REFUSALS:
            return
        if not self.staying(exchange.request.service):
            return
        late = errors.Kind.DEADLINE_EXCEEDED
        if exchange.kind is late and exchange.ending is _facts.Ending.ERROR:
            return
        self.broken(
            Promise.GRACEFUL,
            f'{exchange.request.request_id} ended as {exchange.ending} '
            f'{exchange.kind} though all stops were planned',
        )

    def staying(self, service: str) -> bool:
        """Tell whether an endpoint that all have found is not to leave."""
        return any(
            seat.row.service == service
            and seat.current.alive
            and not seat.current.stopping
            and self.world.now_ms - seat.current.began_ms > FOUND_MS
            for seat in self.world.seats.values()
        )

    # Processes

    def accepted(self, revision: int, base: int) -> None:
        """Check what an operator was told: one change alone has a base."""
        if self.bases.setdefault(base, revision) != revision:
            self.broken(
                Promise.CONFIGURATION,
                f'{revision} and {self.bases[base]} were both accepted on '
                f'{base}',
            )

    def said(self, fact: _facts.Said) -> None:
        """Check that a process never shows an older revision than before.

        What is served is compared with what earlier processes of the
        instance served: callers can't tell them apart.
        """
        serves = fact.shown == messages.Offer.__name__
        shower = fact.instance if serves else fact.incarnation
        shown = (shower, fact.shown)
        if fact.revision < self.revisions[shown]:
            self.broken(
                Promise.CONFIGURATION,
                f'{fact.incarnation} went back from revision '
                f'{self.revisions[shown]} to {fact.revision} ({fact.shown})',
            )
        self.revisions[shown] = fact.revision

    def stop_asked(self, fact: _facts.StopAsked) -> None:
        self.stops[fact.instance] = Stop(fact.at_ms, fact.incarnation)

    def process_started(self, fact: _facts.ProcessStarted) -> None:
        """A new process has no past."""

    def process_ended(self, fact: _facts.ProcessEnded) -> None:
        if fact.code is None:
            return
        left = fact.waiting + fact.running
        if left:
            self.broken(
                Promise.GRACEFUL, f'{fact.incarnation} exits and cuts {left}'
            )

    # At the end

    def finish(self) -> None:
        """Check what must hold once everything is well again."""
        for exchange in self.world.record.exchanges.values():
            if exchange.ending is None:
                self.broken(
                    Promise.ANSWERED,
                    f'{exchange.request.request_id} was never answered',
                )
        for probe in self.probes:
            self.check_probe(probe)

    def check_probe(self, probe: Probe) -> None:
        exchange = probe.exchange
        unknown = errors.Kind.UNKNOWN_ADAPTER
        whole = exchange.ending is _facts.Ending.WHOLE
        if exchange.kind is probe.refused and (whole or probe.refused):
            return
        promise = Promise.ANSWERED
        if unknown in (exchange.kind, probe.refused):
            promise = Promise.CONFIGURATION
        adapter = exchange.request.adapter
        self.broken(
            promise,
            f'{exchange.gateway} is not well again: {adapter} gets '
            f'{exchange.ending} {exchange.kind}, not {probe.refused}',
        )
