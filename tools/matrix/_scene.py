"""A small fleet in a world, its callers, and who replaces what ends."""

import dataclasses
import hashlib

from berylhollow import configuration
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from berylhollow import replay
from berylhollow import sidecar
from tools.matrix import _fleet
from tools.matrix import _operators

SETTLED_MS = 1500
LONGEST_MS = 15_000
"""A scene that is not calm by then has something that never ends."""
RECOVERY_MS = 1200
"""How long after all is calm a sound system may take to be well again."""
DEADLINE_MS = 6000
STEP_MS = 100
MOST_ASKED = 3
"""Of the last so many publications the adapters are asked for."""
KEPT_MS = 400
"""The log keeps changes for this long, where a flow cuts them off."""
RESTART_MS = 50
RESEND_MS = 150
KEEPS = (replay.Ending.WHOLE, replay.Ending.STORED, replay.Ending.LEFT)


@dataclasses.dataclass(slots=True, eq=False)
class Client:
    """A caller that sends a request again until it has its answer.

    Each time it goes to the next gateway, as a balancer may send it, with
    the same key and body.
    """

    scene: 'Scene'
    request: events.Request
    gateway: int
    tries: int
    sent: int = 0

    def send(self) -> None:
        number = self.sent
        self.sent += 1
        request_id = f'{self.request.request_id}~{number}'
        request = dataclasses.replace(self.request, request_id=request_id)
        self.scene.clients[request_id] = self
        name = _fleet.GATEWAYS[(self.gateway + number) % len(_fleet.GATEWAYS)]
        self.scene.world.request(name, request)

    def answered(self, exchange: replay.Exchange) -> None:
        if exchange.ending in KEEPS or self.sent >= self.tries:
            return
        self.scene.later(RESEND_MS, self.send)


class Scene:
    """The world of one cell, its oracle and its callers."""

    def __init__(
        self,
        seed: int = 0,
        planned: bool = False,
        fenced: bool = True,
        engines: tuple[str, ...] = _fleet.ENGINES,
        services: tuple[str, ...] = _fleet.SERVICES,
        recovery_ms: float = RECOVERY_MS,
    ):
        self.recovery_ms = recovery_ms
        self.world = replay.World(
            seed=seed,
            latencies=_fleet.LATENCIES,
            log_limits=_fleet.LOG,
            weight_limits=_fleet.WEIGHTS,
            instance_lag_ms=200,
        )
        self.oracle = replay.Oracle(self.world, planned)
        self.clients: dict[str, Client] = {}
        self.numbers = 0
        self.coming = 0
        self.faulty_ms = 0.0
        self.publications: list[_operators.Publication] = []
        self.world.record.observers.append(self.observe)
        self.world.log.model.append(
            configuration.STREAM, _fleet.first_change(), 0
        )
        for name in engines:
            limits = dataclasses.replace(_fleet.ENGINE, checks_fencing=fenced)
            self.world.add_engine(name, limits)
            self.world.add_sidecar(
                name,
                _fleet.MODEL_SERVICE,
                sidecar.reduce,
                _fleet.sidecar_maker(name, checks_fencing=fenced),
            )
        for name in services:
            self.world.add_service(name, work_ms=_fleet.WORK_MS)
            self.world.add_sidecar(
                name,
                _fleet.PLAIN_SERVICE,
                sidecar.reduce,
                _fleet.sidecar_maker(
                    name, service=_fleet.PLAIN_SERVICE, plain=True
                ),
            )
        for name in _fleet.GATEWAYS:
            self.world.add_gateway(
                name, gateway.reduce, _fleet.gateway_maker(name)
            )
        self.warm()

    def warm(self) -> None:
        """Let links open, and load the first adapter at each engine."""
        for number, name in enumerate(('a1', 'a2')):
            self.later(600 + number, self.model, name)
        self.world.run_until(SETTLED_MS)

    # Time

    def later(self, after_ms: float, do, *arguments: object) -> None:
        """Do something after a while; the scene is not calm before."""
        self.coming += 1
        self.world.schedule(
            after_ms,
            replay.Point.OTHER,
            'scene',
            '',
            self.happen,
            do,
            arguments,
        )

    def happen(self, do, arguments: tuple) -> None:
        self.coming -= 1
        do(*arguments)

    def lasts(self, for_ms: float) -> None:
        """Note that a fault is not over before."""
        self.faulty_ms = max(self.faulty_ms, self.world.now_ms + for_ms)

    @property
    def calm(self) -> bool:
        """Whether nothing is under way any more but what is always."""
        exchanges = self.world.record.exchanges.values()
        seats = self.world.seats.values()
        return (
            not self.coming
            and self.world.now_ms >= self.faulty_ms
            and all(seat.current.alive for seat in seats)
            and not any(seat.current.stopping for seat in seats)
            and all(exchange.ending for exchange in exchanges)
        )

    def run(self) -> None:
        """Run until all is calm, then see whether all is well again."""
        self.run_until_calm()
        self.world.intercept = None
        self.world.run_until(self.world.now_ms + self.recovery_ms)
        self.probe()
        self.run_until_calm()
        self.oracle.finish()

    def run_until_calm(self) -> None:
        longest_ms = self.world.now_ms + LONGEST_MS
        while not self.calm and self.world.now_ms < longest_ms:
            self.world.run_until(self.world.now_ms + STEP_MS)

    def probe(self) -> None:
        """Send to each gateway what must succeed on a sound system.

        And ask for each adapter that an operator put or removed, as it was
        told.
        """
        for name in _fleet.GATEWAYS:
            for adapter in ('a1', 'a2'):
                self.ask(name, self.model_request(adapter))
            self.ask(name, self.plain_request())
            for publication in self.publications[-MOST_ASKED:]:
                self.ask_for(name, publication)

    def ask(self, gateway_name: str, request, refused=None) -> None:
        exchange = self.world.request(gateway_name, request)
        self.oracle.probes.append(replay.Probe(exchange, refused))

    def ask_for(
        self, gateway_name: str, publication: _operators.Publication
    ) -> None:
        unsettled = _operators.Answer.UNSETTLED
        if publication.answer in (None, unsettled):
            return
        accepted = publication.answer is _operators.Answer.ACCEPTED
        for delta in publication.deltas:
            puts = isinstance(delta, configuration.Put)
            name = delta.entity.name if puts else delta.name
            gone = errors.Kind.UNKNOWN_ADAPTER if puts != accepted else None
            self.ask(gateway_name, self.model_request(name), gone)

    # Operators

    def publish(self, *deltas: configuration.Delta) -> None:
        """Have an operator publish a change."""
        number = len(self.publications) + 1
        publication = _operators.Publication(
            f'operator-{number}', deltas, self.world.now_ms
        )
        self.publications.append(publication)
        self.coming += 1
        _operators.Operator(self.world, publication, self.published).begin()

    def published(self, publication: _operators.Publication) -> None:
        self.coming -= 1
        if publication.answer is _operators.Answer.ACCEPTED:
            self.oracle.accepted(publication.revision, publication.base)

    def cut_log(self) -> None:
        """Have the log's retention cut off what a snapshot stands for."""
        streams = self.world.log.model.streams
        if streams[configuration.SNAPSHOT_STREAM].next_offset:
            streams[configuration.STREAM].retire(self.world.at_ms - KEPT_MS)

    def add_adapter(self, name: str) -> None:
        self.publish(configuration.Put(_fleet.adapter(name)))

    def remove_adapter(self, name: str) -> None:
        kind = configuration.EntityKind.ADAPTER
        self.publish(configuration.Remove(kind, name))

    # Callers

    def observe(self, fact) -> None:
        if type(fact) is replay.Answered:
            client = self.clients.get(fact.exchange.request.request_id)
            if client is not None:
                client.answered(fact.exchange)
        elif type(fact) is replay.ProcessEnded:
            self.later(RESTART_MS, self.replace, fact.instance)

    def replace(self, instance: str) -> None:
        """Have the platform put a new instance in the place of an old one."""
        seat = self.world.seats[instance]
        if seat.current.alive:
            return
        self.world.start(instance)

    def model_request(
        self, adapter: str, tokens: int = 8, crash: bool = False, key=None
    ) -> events.Request:
        """Return a request to an adapter."""
        mark = b'crash-this-engine' if crash else b'body'
        return self.make_request(
            _fleet.MODEL_SERVICE,
            messages.AdapterVersion(adapter, '1'),
            key,
            mark,
            tokens,
        )

    def plain_request(self, key: str = '') -> events.Request:
        """Return a non-idempotent request to the plain service."""
        self.numbers += 1
        key = key or f'key-{self.numbers}'
        return self.make_request(_fleet.PLAIN_SERVICE, None, key, b'order', 0)

    def make_request(
        self, service, adapter, key, mark: bytes, tokens: int
    ) -> events.Request:
        self.numbers += 1
        body = b'%b-%d' % (mark, self.numbers)
        if key is not None:
            body = b'%b-%b' % (mark, key.encode())
        digest = hashlib.sha256(f'{service}/{adapter}'.encode() + body)
        return events.Request(
            request_id=f'r{self.numbers}',
            caller='caller-1',
            service=service,
            adapter=adapter,
            key=key,
            priority=5,
            deadline_ms=DEADLINE_MS,
            fingerprint=digest.hexdigest()[:16],
            method='POST',
            path='/v1/completions',
            headers=(),
            body=body,
            prompt_tokens=8,
            output_tokens=tokens,
        )

    def send(
        self, request: events.Request, gateway: int = 0, tries: int = 3
    ) -> None:
        """Have a caller send a request and send it again if need be."""
        Client(self, request, gateway, tries).send()

    def model(self, adapter: str, gateway: int = 0, **options) -> None:
        self.send(self.model_request(adapter, **options), gateway)

    def plain(self, gateway: int = 0, key: str = '') -> None:
        self.send(self.plain_request(key), gateway)
