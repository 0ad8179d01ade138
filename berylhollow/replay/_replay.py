"""Replay a trace through the real reducers and say what came of it."""

import collections
import collections.abc
import dataclasses
import random

from berylhollow import configuration
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.replay import _deployment
from berylhollow.replay import _facts
from berylhollow.replay import _statistics
from berylhollow.replay import _trace
from berylhollow.replay import _watch
from berylhollow.replay import _world
from berylhollow import settings
from berylhollow.standin import faults
from berylhollow.util import exits

DRAIN_MS = 60_000
"""Time after the last request, in which every answer must have come."""
MS_PER_SECOND = 1000
ANSWERED = (_facts.Ending.WHOLE, _facts.Ending.STORED)


@dataclasses.dataclass(frozen=True)
class ServiceResult:
    """What became of the requests to one service under one policy.

    ``late`` were cut off at their deadline or answered after it, ``refused``
    are known not to have run, ``failed`` got another error, ``lost`` no
    final answer or a broken one. ``load_stall`` counts the waits for loads
    alone; ``charged_stall_ms`` counts the whole deadline for a request that
    got no answer, so that a refusal can't pass for a short wait.
    """

    service: str
    policy: str
    requests: int
    on_time: int
    late: int
    refused: int
    failed: int
    lost: int
    doubled: int
    wrong_adapter: int
    load_stall: _statistics.Distribution
    charged_stall_ms: int
    response: _statistics.Distribution
    loads: int
    wasted_loads: int
    failed_loads: int
    mean_batch: float
    tokens: int
    busy_engine_s: float
    tokens_per_engine_s: float
    fairness: float
    refusals: dict[str, int]


class Replay:
    """One trace under one policy in one deployment."""

    def __init__(
        self,
        declared: settings.ReplaySettings,
        view: configuration.Configuration,
        items: collections.abc.Sequence[_trace.TraceItem],
        policy_name: str,
        seed: int,
    ):
        self.declared = declared
        self.view = view
        self.items = items
        self.policy_name = policy_name
        self.watch = _watch.Watch()
        self.world = _deployment.build(
            declared, view, policy_name, seed, self.watch.reduce
        )
        self.world.record.observers.append(self.watch.fact)
        self.balancer = random.Random(seed)
        self.exchanges: list[_facts.Exchange] = []

    def run(self) -> list[ServiceResult]:
        """Replay the whole trace and return a result for each service."""
        world = self.world
        world.run_until(_deployment.SETTLED_MS)
        for number, item in enumerate(self.items):
            world.run_until(_deployment.SETTLED_MS + item.at_ms)
            if isinstance(item, _trace.TraceRequest):
                self._send(number, item)
            else:
                inject(world, item)
        world.run_until(world.now_ms + DRAIN_MS)
        return self.results()

    def results(self) -> list[ServiceResult]:
        """Return the figures so far, services in the trace's order."""
        by_service: dict[str, list[_facts.Exchange]] = {}
        for exchange in self.exchanges:
            by_service.setdefault(exchange.request.service, []).append(
                exchange
            )
        return [
            self._result(service, exchanges)
            for service, exchanges in by_service.items()
        ]

    def _send(self, number: int, item: _trace.TraceRequest) -> None:
        request_id = f'r{number}'
        adapter = None
        if item.adapter:
            adapter = messages.AdapterVersion(item.adapter, item.version)
        if item.key is not None:
            self.watch.keys[request_id] = f'{item.caller} {item.key}'
        request = events.Request(
            request_id=request_id,
            caller=item.caller,
            service=item.service,
            adapter=adapter,
            key=item.key,
            priority=item.priority,
            deadline_ms=item.deadline_ms,
            fingerprint=item.key or request_id,
            method='POST',
            path='/',
            headers=(),
            body=(item.key or request_id).encode(),
            prompt_tokens=item.prompt_tokens,
            output_tokens=item.output_tokens,
        )
        gateways = self.declared.gateways
        chosen = f'gateway-{self.balancer.randrange(gateways) + 1}'
        self.exchanges.append(self.world.request(chosen, request))

    def _result(
        self, service: str, exchanges: list[_facts.Exchange]
    ) -> ServiceResult:
        has_engines = service == self.declared.engines.service
        outcomes = collections.Counter(map(outcome, exchanges))
        stalls = [self._stalled_ms(exchange) for exchange in exchanges]
        usage = self._usage() if has_engines else _Usage()
        watch = self.watch
        return ServiceResult(
            service=service,
            policy=self.policy_name,
            requests=len(exchanges),
            on_time=outcomes['on_time'],
            late=outcomes['late'],
            refused=outcomes['refused'],
            failed=outcomes['failed'],
            lost=outcomes['lost'],
            doubled=0 if has_engines else watch.doubled,
            wrong_adapter=sum(map(wrong, exchanges)) + usage.wrong,
            load_stall=_statistics.distribution(stalls),
            charged_stall_ms=sum(map(self._charged_ms, exchanges)),
            response=_statistics.distribution(
                response_ms(exchange)
                for exchange in exchanges
                if exchange.ending in ANSWERED
            ),
            loads=watch.loads if has_engines else 0,
            wasted_loads=watch.wasted if has_engines else 0,
            failed_loads=watch.failed if has_engines else 0,
            mean_batch=ratio(usage.places, usage.steps),
            tokens=usage.tokens,
            busy_engine_s=round(usage.busy_ms / MS_PER_SECOND, 2),
            tokens_per_engine_s=ratio(
                usage.tokens * MS_PER_SECOND, usage.busy_ms
            ),
            fairness=round(fairness(exchanges), 4),
            refusals=refusals(exchanges),
        )

    def _stalled_ms(self, exchange: _facts.Exchange) -> int:
        return self.watch.stalled_ms[exchange.request.request_id]

    def _charged_ms(self, exchange: _facts.Exchange) -> int:
        if exchange.ending in ANSWERED:
            return self._stalled_ms(exchange)
        if exchange.request.adapter is None:
            return 0
        return exchange.request.deadline_ms

    def _usage(self) -> '_Usage':
        total = _Usage()
        for number in range(self.declared.engines.count):
            total.add(self.world.endpoints[f'engine-{number + 1}'].model)
        return total


@dataclasses.dataclass
class _Usage:
    """What all engines did together."""

    busy_ms: float = 0
    steps: int = 0
    places: int = 0
    tokens: int = 0
    wrong: int = 0

    def add(self, model) -> None:
        usage = model.usage
        self.busy_ms += usage.busy_ms
        self.steps += usage.steps
        self.places += usage.places
        self.tokens += usage.tokens
        self.wrong += sum(run.wrong_adapter for run in model.runs())


def inject(world: _world.World, item: _trace.TraceFault) -> None:
    """Let a fault of a trace happen now.

    Raises ``UserError`` for a fault or a target that there is not.
    """
    if item.target == 'weights':
        world.weights.faults.start(item.fault, world.now_ms, item.for_ms)
        world.weights.after()
    elif item.target == 'log':
        world.log.faults.start(item.fault, world.now_ms, item.for_ms)
    elif item.target not in world.seats:
        raise unknown_fault(item)
    elif item.fault == 'replace':
        world.replace(item.target)
    elif item.fault == 'leave':
        world.leave(item.target)
    elif item.target not in world.endpoints:
        raise unknown_fault(item)
    elif item.fault == faults.EngineFault.CRASH:
        world.endpoints[item.target].crash()
    else:
        driver = world.endpoints[item.target]
        driver.faults.start(item.fault, world.now_ms, item.for_ms)


def unknown_fault(item: _trace.TraceFault) -> exits.UserError:
    """Return the error of a fault that can't be injected."""
    return exits.UserError(
        f'the deployment has no {item.target!r} for the fault {item.fault!r}',
        exits.ExitCode.INVALID,
    )


def outcome(exchange: _facts.Exchange) -> str:
    """Return which of the counts of a result a request belongs to."""
    if exchange.ending in ANSWERED:
        on_time = response_ms(exchange) <= exchange.request.deadline_ms
        return 'on_time' if on_time else 'late'
    expired = exchange.kind is errors.Kind.DEADLINE_EXCEEDED
    if expired and exchange.ran is not errors.Ran.NOT_RUN:
        return 'late'
    if exchange.ending is _facts.Ending.ERROR:
        not_run = exchange.ran is errors.Ran.NOT_RUN
        return 'refused' if not_run else 'failed'
    return 'lost'


def response_ms(exchange: _facts.Exchange) -> int:
    """Return the time from arrival to the end of the answer."""
    return int(exchange.ended_ms - exchange.arrived_ms)


def wrong(exchange: _facts.Exchange) -> bool:
    """Tell whether an answer came from another adapter than was named."""
    whole = exchange.ending is _facts.Ending.WHOLE
    return whole and exchange.adapter != exchange.request.adapter


def ratio(part: float, whole: float) -> float:
    """Return a quotient for the report, 0 of nothing."""
    return round(part / whole, 2) if whole else 0.0


def fairness(exchanges: list[_facts.Exchange]) -> float:
    """Return Jain's index over the callers' shares of on-time answers."""
    asked = collections.Counter(x.request.caller for x in exchanges)
    served = collections.Counter(
        x.request.caller for x in exchanges if outcome(x) == 'on_time'
    )
    return _statistics.jain_fairness(
        [served[caller] / count for caller, count in asked.items()]
    )


def refusals(exchanges: list[_facts.Exchange]) -> dict[str, int]:
    """Return how many requests ended with each kind of error."""
    kinds = collections.Counter(
        x.kind.value for x in exchanges if x.kind is not None
    )
    return dict(sorted(kinds.items()))
