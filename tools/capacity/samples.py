"""States and messages of a given size, for the measurements."""

import hashlib

from berylhollow import configuration
from berylhollow import events
from berylhollow import following
from berylhollow import gateway
from berylhollow import manifest
from berylhollow import messages
from berylhollow import sidecar

SERVICE = 'modelos'
SLOTS = 4
BODY = b'x' * 2000
CAPACITY = 64
DEADLINE_MS = 30_000


class Fixed:
    """A follower that stands at one configuration."""

    def __init__(self, current: configuration.Configuration):
        self.current = current

    def start(self, at_ms):
        return []

    def handle(self, event):
        return []

    def tick(self, at_ms, live_gateways, peers, self_id):
        return []

    def status(self, at_ms):
        return following.Status(self.current.revision)


def adapter_name(number: int) -> str:
    """Return a name that does not compress like a count."""
    digest = hashlib.blake2b(str(number).encode(), digest_size=4)
    return f'adapter-{digest.hexdigest()}'


def adapter(number: int) -> messages.AdapterVersion:
    return messages.AdapterVersion(adapter_name(number), '7')


def declared(adapters: int) -> manifest.Manifest:
    """Return a manifest with one service and two versions an adapter."""
    listed = [
        manifest.Adapter(
            adapter_name(number),
            SERVICE,
            0,
            (manifest.Version('7'), manifest.Version('6', False)),
        )
        for number in range(adapters)
    ]
    service = manifest.Service(SERVICE, base_model='base-1')
    return manifest.Manifest((service,), tuple(listed))


def instance(number: int) -> events.Instance:
    return events.Instance(
        instance=f'sul-a-endpoint-{number:05}',
        role=events.Role.ENDPOINT,
        service=SERVICE,
        failure_domain='sul-a',
        region='sul',
        address=f'10.20.{number // 250}.{number % 250}:8100',
        leaving=False,
    )


def report(number: int, slots: int = SLOTS) -> messages.Report:
    """Return what a sidecar with full slots reports."""
    held = tuple(
        messages.SlotReport(slot, adapter(number * slots + slot), True, 2)
        for slot in range(slots)
    )
    return messages.Report(
        instance=f'sul-a-endpoint-{number:05}',
        service=SERVICE,
        failure_domain='sul-a',
        epoch='0123456789abcdef',
        ready=True,
        leaving=False,
        slots=held,
        wanted=(),
        running=2,
        queued=0,
        capacity=CAPACITY,
        revision=18_000,
        run_ms=812.5,
        victim_value=0.25,
    )


def offer(number: int) -> messages.Offer:
    return messages.Offer(
        attempt_id=f'0123456789abcdef-{number}.1',
        request_id=f'0123456789abcdef-{number}',
        caller=f'firm-{number % 100}',
        service=SERVICE,
        adapter=adapter(0),
        idempotent=True,
        priority=5,
        remaining_ms=DEADLINE_MS,
        fingerprint='0123456789abcdef0123456789abcdef',
        method='POST',
        path='/v1/chat/completions',
        headers=(messages.Header('Content-Type', 'application/json'),),
        body=BODY + str(number).encode(),
        prompt_tokens=500,
        output_tokens=243,
        revision=18_000,
    )


def request(number: int, key: str | None = None) -> events.Request:
    sent = offer(number)
    return events.Request(
        request_id=sent.request_id,
        caller=sent.caller,
        service='',
        adapter=adapter(number % 8),
        key=key,
        priority=5,
        deadline_ms=DEADLINE_MS,
        fingerprint=sent.fingerprint,
        method=sent.method,
        path=sent.path,
        headers=sent.headers,
        body=sent.body,
        prompt_tokens=500,
        output_tokens=243,
    )


def gateway_state(adapters: int = 8, **options) -> gateway.State:
    """Return a gateway whose limits are out of the way."""
    wide = {
        'requests_in_flight': 1_000_000,
        'caller_in_flight': 1_000_000,
        'adapter_in_flight': 1_000_000,
        'caller_rate_per_s': 1e9,
        'caller_burst': 1e9,
        'region': 'sul',
        'failure_domain': 'sul-a',
    }
    chosen = gateway.Options(**({'instance': 'g-1'} | wide | options))
    current = configuration.from_manifest(declared(adapters), revision=1)
    return gateway.State(chosen, Fixed(current))


def fill(state: gateway.State, endpoints: int) -> None:
    """Let a gateway know endpoints, each linked and reporting."""
    gateway.reduce(state, events.Started(0, 'incarnation'))
    rows = tuple(instance(number) for number in range(endpoints))
    gateway.reduce(state, events.InstancesListed(1, rows))
    for number, row in enumerate(rows):
        opened = events.LinkOpened(2, row.instance, row.role, 'abcdef')
        gateway.reduce(state, opened)
        told = events.MessageReceived(3, row.instance, report(number))
        gateway.reduce(state, told)


def sidecar_state() -> sidecar.State:
    """Return a plain endpoint's sidecar: no load stands in the way."""
    chosen = sidecar.Options(
        instance='e-1',
        service=SERVICE,
        plain=True,
        concurrency=1_000_000,
        queue_limit=1_000_000,
    )
    current = configuration.from_manifest(declared(8), revision=1)
    state = sidecar.State(chosen, Fixed(current))
    sidecar.reduce(state, events.Started(0, 'incarnation'))
    return state
