"""A virtual clock, one heap of actions, and all that they act on."""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing

from berylhollow import events
from berylhollow import log_service
from berylhollow.replay import _actions
from berylhollow.replay import _endpoints
from berylhollow.replay import _engine
from berylhollow.replay import _facts
from berylhollow.replay import _gateway
from berylhollow.replay import _network
from berylhollow.replay import _platform
from berylhollow.replay import _processes
from berylhollow.replay import _service
from berylhollow.replay import _sidecar
from berylhollow.replay import _weights
from berylhollow.standin import engine
from berylhollow.standin import engine_types
from berylhollow.standin import instances
from berylhollow.standin import log
from berylhollow.standin import weights

Point = _actions.Point
MakeState = collections.abc.Callable[[], typing.Any]
Intercept = collections.abc.Callable[
    ['World', _actions.Action], _actions.Delays | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class Latencies:
    """One-way times in milliseconds; ``tick_ms`` is between two ticks.

    A link whose peer is paused for ``silence_ms`` is taken down, one that
    is asked for is given up after ``handshake_ms``.
    """

    caller_ms: float = 3
    link_ms: float = 1.5
    platform_ms: float = 2
    endpoint_ms: float = 0.2
    tick_ms: float = 100
    silence_ms: float = 10_000
    handshake_ms: float = 2000


@dataclasses.dataclass(slots=True, eq=False)
class Seat:
    """A place for an instance: what to start there, and what runs."""

    row: log_service.Instance
    start: collections.abc.Callable[[str], _processes.Process]
    current: _processes.Process | None = None
    started: int = 0
    starting: bool = False


class World:
    """Carries the effects of real reducers out against models.

    It decides nothing. ``intercept`` sees each action before it takes effect
    and may act on the world, drop, delay or double the action; None lets it
    happen. In a ``lean`` world an answer is one frame and no facts are kept
    but the exchanges.
    """

    def __init__(
        self,
        seed: int = 0,
        latencies: Latencies | None = None,
        intercept: Intercept | None = None,
        lean: bool = False,
        log_limits: log.LogLimits | None = None,
        weight_limits: weights.WeightLimits | None = None,
        instance_lag_ms: int = instances.DEFAULT_LAG_MS,
    ):
        self.now_ms: float = 0
        self.heap: list[tuple[float, int, _actions.Action]] = []
        self.numbers = itertools.count()
        self.random = random.Random(seed)
        self.latencies = latencies or Latencies()
        self.intercept = intercept
        self.lean = lean
        self.actions = 0
        self.record = _facts.Record(lean)
        self.seats: dict[str, Seat] = {}
        self.processes: list[_processes.Process] = []
        self.endpoints: dict[str, _endpoints.Driver] = {}
        self.network = _network.Network(self)
        self.log = _platform.LogDriver(self, log.LogModel(log_limits))
        self.instances = _platform.InstancesDriver(
            self, instances.InstanceListModel(instance_lag_ms)
        )
        self.weights = _weights.WeightsDriver(
            self, weights.WeightStoreModel(weight_limits)
        )

    # Time

    @property
    def at_ms(self) -> int:
        """The time as events carry it."""
        return int(self.now_ms)

    def push(self, at_ms: float, action: _actions.Action) -> None:
        """Let an action happen at a moment."""
        heapq.heappush(self.heap, (at_ms, next(self.numbers), action))

    def schedule(
        self,
        after_ms: float,
        point: Point,
        detail: str,
        target: str,
        carry_out: collections.abc.Callable[..., None],
        *arguments: object,
    ) -> None:
        """Let something happen after a while."""
        self.push(
            self.now_ms + after_ms,
            _actions.Action(point, detail, target, carry_out, arguments),
        )

    def step(self) -> bool:
        """Let the next action happen; False if there is none."""
        if not self.heap:
            return False
        self.now_ms, _, action = heapq.heappop(self.heap)
        self.actions += 1
        if self.lets(action):
            action.carry_out(*action.arguments)
        return True

    def run_until(self, at_ms: float) -> None:
        """Let everything happen that is due until then."""
        while self.heap and self.heap[0][0] <= at_ms:
            self.step()
        self.now_ms = max(self.now_ms, at_ms)

    def lets(self, action: _actions.Action) -> bool:
        """Ask ``intercept``; True if the action is to happen now."""
        if self.intercept is None or action.touched:
            return True
        delays = self.intercept(self, action)
        if delays is None:
            return True
        action.touched = True
        for delay_ms in delays:
            self.push(self.now_ms + delay_ms, action)
        return False

    # Who there is

    def add_engine(
        self,
        instance: str,
        limits: engine_types.EngineLimits | None = None,
    ) -> _engine.EngineDriver:
        """Put a model engine where a sidecar will stand."""
        driver = _engine.EngineDriver(
            self, instance, engine.EngineModel(instance, limits)
        )
        self.endpoints[instance] = driver
        return driver

    def add_service(
        self, instance: str, work_ms: float = 20
    ) -> _service.ServiceDriver:
        """Put a plain service where a sidecar will stand."""
        driver = _service.ServiceDriver(self, instance, work_ms)
        self.endpoints[instance] = driver
        return driver

    def add_gateway(
        self,
        instance: str,
        reduce: _processes.Reduce,
        make_state: MakeState,
        failure_domain: str = 'local',
        region: str = 'local',
    ) -> _gateway.GatewayProcess:
        """Start a gateway and list it."""

        def start(incarnation: str) -> _gateway.GatewayProcess:
            return _gateway.GatewayProcess(
                self, instance, incarnation, reduce, make_state()
            )

        row = log_service.Instance(
            instance,
            log_service.Role.GATEWAY,
            '',
            failure_domain,
            region,
            instance,
        )
        return self.seat(row, start)

    def add_sidecar(
        self,
        instance: str,
        service: str,
        reduce: _processes.Reduce,
        make_state: MakeState,
        failure_domain: str = 'local',
        region: str = 'local',
    ) -> _sidecar.SidecarProcess:
        """Start the sidecar of an endpoint that was added, and list it."""

        def start(incarnation: str) -> _sidecar.SidecarProcess:
            return _sidecar.SidecarProcess(
                self,
                instance,
                incarnation,
                reduce,
                make_state(),
                self.endpoints[instance],
            )

        row = log_service.Instance(
            instance,
            log_service.Role.ENDPOINT,
            service,
            failure_domain,
            region,
            instance,
        )
        return self.seat(row, start)

    def seat(self, row: log_service.Instance, start) -> typing.Any:
        self.seats[row.instance] = Seat(row, start)
        return self.start(row.instance)

    def listener(self, instance: str) -> _processes.Process | None:
        """Return the process that listens at an instance's address."""
        seat = self.seats.get(instance)
        return seat.current if seat else None

    # What befalls processes

    def start(self, instance: str) -> _processes.Process | None:
        """Start a process; its port keeps it waiting for one that lives.

        A paused process still holds its port, so that its replacement
        begins only once it has ended. The platform lists what it starts as
        live, whatever the state of the one before was.
        """
        seat = self.seats[instance]
        if seat.current is not None and seat.current.alive:
            seat.starting = True
            return None
        seat.starting = False
        seat.started += 1
        self.instances.put(seat.row)
        process = seat.start(f'{instance}#{seat.started}')
        seat.current = process
        self.processes.append(process)
        process.begin()
        return process

    def ended(self, instance: str) -> None:
        """The port of an instance is free again."""
        if self.seats[instance].starting:
            self.start(instance)

    def kill(self, instance: str) -> None:
        """End the process at once, as a crash or SIGKILL does."""
        process = self.listener(instance)
        if process is not None:
            process.end(None)

    def replace(self, instance: str) -> _processes.Process | None:
        """Kill what runs there and start anew."""
        self.kill(instance)
        return self.start(instance)

    def pause(self, instance: str) -> None:
        """Stop the process as SIGSTOP does; its events queue up."""
        process = self.listener(instance)
        if process is not None:
            process.pause()

    def resume(self, process: _processes.Process) -> None:
        """Let a paused process go on."""
        process.resume()

    def stop(self, instance: str) -> None:
        """Ask the process to shut down gracefully."""
        process = self.listener(instance)
        if process is not None and process.alive:
            process.receive(process.stop)

    def leave(self, instance: str) -> None:
        """Have the platform mark the instance as leaving and stop it."""
        seat = self.seats[instance]
        leaving = dataclasses.replace(
            seat.row, state=log_service.State.LEAVING
        )
        self.instances.put(leaving)
        self.stop(instance)

    # Callers

    def request(
        self, gateway: str, request: events.Request
    ) -> _facts.Exchange:
        """Send a caller's request to a gateway."""
        exchange = _facts.Exchange(request, gateway, self.now_ms)
        self.record.exchanges[request.request_id] = exchange
        self.schedule(
            self.latencies.caller_ms,
            Point.REQUEST,
            '',
            gateway,
            self.arrive,
            exchange,
        )
        return exchange

    def arrive(self, exchange: _facts.Exchange) -> None:
        process = self.listener(exchange.gateway)
        if process is None or not process.alive:
            exchange.end(self.now_ms, _facts.Ending.REFUSED)
            self.record.note(_facts.Answered(self.now_ms, exchange))
            return
        process.receive(process.request, exchange)

    def hang_up(self, request_id: str) -> None:
        """Have a caller go away before its answer is whole."""
        exchange = self.record.exchanges[request_id]
        if exchange.ending is not None:
            return
        exchange.end(self.now_ms, _facts.Ending.LEFT)
        self.record.note(_facts.Answered(self.now_ms, exchange))
        process = exchange.process
        if process is not None:
            self.schedule(
                self.latencies.caller_ms,
                Point.GONE,
                '',
                exchange.gateway,
                process.receive,
                process.caller_gone,
                request_id,
            )
