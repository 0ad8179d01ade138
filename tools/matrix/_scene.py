"""A small fleet in a world, its callers, and who replaces what ends."""

import dataclasses
import hashlib

from berylhollow import configuration
from berylhollow import events
from berylhollow import gateway
from berylhollow import manifest
from berylhollow import messages
from berylhollow import platform
from berylhollow import replay
from berylhollow import sidecar
from berylhollow.standin import engine_types
from berylhollow.standin import log
from berylhollow.standin import weights

MODEL_SERVICE = 'modelos'
PLAIN_SERVICE = 'balcao'
ENGINES = ('e1', 'e2')
SERVICES = ('p1', 'p2')
GATEWAYS = ('g1', 'g2')
SETTLED_MS = 1500
LONGEST_MS = 15_000
"""A scene that is not calm by then has something that never ends."""
RECOVERY_MS = 1200
"""How long after all is calm a sound system may take to be well again."""
DEADLINE_MS = 6000
STEP_MS = 100
RESTART_MS = 50
RESEND_MS = 150
KEEPS = (replay.Ending.WHOLE, replay.Ending.STORED, replay.Ending.LEFT)

LATENCIES = replay.Latencies(tick_ms=100, silence_ms=2000, handshake_ms=500)
ENGINE = engine_types.EngineLimits(
    slot_count=2,
    batch_limit=4,
    step_ms=10,
    status_lag_ms=100,
    restart_ms=600,
)
WEIGHTS = weights.WeightLimits(loads_per_s=10, burst=5, full_speed_ms=150)
LOG = log.LogLimits(slow_ms=700)


MANIFEST = manifest.Manifest(
    services=(
        manifest.Service(MODEL_SERVICE, checks_fencing=True),
        manifest.Service(PLAIN_SERVICE, manifest.ServiceKind.PLAIN),
    ),
    adapters=tuple(
        manifest.Adapter(
            f'{letter}{number}',
            MODEL_SERVICE,
            versions=(manifest.Version('1'),),
        )
        for letter in 'ab'
        for number in range(9)
    ),
)


class FixedFollower:
    """A follower that has read everything and asks for nothing."""

    current = configuration.from_manifest(MANIFEST, 1)

    def start(self, at_ms):
        return []

    def handle(self, event):
        return []

    def tick(self, at_ms, live_gateways, peers, self_id):
        return []


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
        name = GATEWAYS[(self.gateway + number) % len(GATEWAYS)]
        self.scene.world.request(name, request)

    def answered(self, exchange: replay.Exchange) -> None:
        if exchange.ending in KEEPS or self.sent >= self.tries:
            return
        self.scene.later(RESEND_MS, self.send)


class Scene:
    """The world of one cell, its oracle and its callers."""

    def __init__(
        self, seed: int = 0, planned: bool = False, fenced: bool = True
    ):
        self.world = replay.World(
            seed=seed,
            latencies=LATENCIES,
            log_limits=LOG,
            weight_limits=WEIGHTS,
            instance_lag_ms=200,
        )
        self.oracle = replay.Oracle(self.world, planned)
        self.clients: dict[str, Client] = {}
        self.numbers = 0
        self.coming = 0
        self.faulty_ms = 0.0
        self.world.record.observers.append(self.observe)
        for name in ENGINES:
            limits = dataclasses.replace(ENGINE, checks_fencing=fenced)
            self.world.add_engine(name, limits)
            self.world.add_sidecar(
                name,
                MODEL_SERVICE,
                sidecar.reduce,
                sidecar_maker(name, checks_fencing=fenced),
            )
        for name in SERVICES:
            self.world.add_service(name, work_ms=40)
            self.world.add_sidecar(
                name,
                PLAIN_SERVICE,
                sidecar.reduce,
                sidecar_maker(name, service=PLAIN_SERVICE, plain=True),
            )
        for name in GATEWAYS:
            self.world.add_gateway(name, gateway.reduce, gateway_maker(name))
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
            and all(exchange.ending for exchange in exchanges)
        )

    def run(self) -> None:
        """Run until all is calm, then see whether all is well again."""
        self.run_until_calm()
        self.world.intercept = None
        self.world.run_until(self.world.now_ms + RECOVERY_MS)
        self.probe()
        self.run_until_calm()
        self.oracle.finish()

    def run_until_calm(self) -> None:
        longest_ms = self.world.now_ms + LONGEST_MS
        while not self.calm and self.world.now_ms < longest_ms:
            self.world.run_until(self.world.now_ms + STEP_MS)

    def probe(self) -> None:
        """Send to each gateway what must succeed on a sound system."""
        for name in GATEWAYS:
            for number in (1, 2):
                request = self.model_request(f'a{number}')
                self.oracle.probes.append(self.world.request(name, request))
            request = self.plain_request()
            self.oracle.probes.append(self.world.request(name, request))

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
        live = dataclasses.replace(seat.row, state=platform.State.LIVE)
        self.world.instances.put(live)
        self.world.start(instance)

    def model_request(
        self, adapter: str, tokens: int = 8, crash: bool = False, key=None
    ) -> events.Request:
        """Return a request to an adapter."""
        mark = b'crash-this-engine' if crash else b'body'
        return self.make_request(
            MODEL_SERVICE,
            messages.AdapterVersion(adapter, '1'),
            key,
            mark,
            tokens,
        )

    def plain_request(self, key: str = '') -> events.Request:
        """Return a non-idempotent request to the plain service."""
        self.numbers += 1
        key = key or f'key-{self.numbers}'
        return self.make_request(PLAIN_SERVICE, None, key, b'order', 0)

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


def sidecar_maker(name: str, service: str = MODEL_SERVICE, **options):
    """Return what makes a fresh state of a sidecar."""
    chosen = sidecar.Options(
        instance=name,
        service=service,
        status_poll_ms=200,
        report_ms=200,
        load_timeout_ms=800,
        load_backoff_ms=100,
        takeover_retry_ms=200,
        takeover_wait_ms=1500,
        settle_ms=3000,
        keep_ended_ms=1500,
        isolation_gap_ms=200,
        **options,
    )
    return lambda: sidecar.State(options=chosen, follower=FixedFollower())


def gateway_maker(name: str, **options):
    """Return what makes a fresh state of a gateway."""
    chosen = gateway.Options(
        instance=name,
        instance_poll_ms=200,
        link_retry_ms=100,
        resume_ms=1000,
        not_run_ms=700,
        claim_ms=1000,
        claim_retry_ms=150,
        quarantine_poll_ms=500,
        eject_ms=500,
        retry_share=0.5,
        load_interval_ms=150,
        **options,
    )
    return lambda: gateway.State(options=chosen, follower=FixedFollower())
