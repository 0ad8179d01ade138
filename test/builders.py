"""Builders of test data, with defaults that a test need not care about."""

import dataclasses

from berylhollow import errors
from berylhollow import events
from berylhollow import following
from berylhollow import gateway
from berylhollow import manifest
from berylhollow import messages
from berylhollow import sidecar

SERVICE = 'modelos'
PLAIN_SERVICE = 'balcao'
DEADLINE_MS = 30_000


@dataclasses.dataclass
class Declared:
    """What a test declares of any service, adapter or caller."""

    load_stall_weight: float = 1.0
    batch_efficiency_weight: float = 1.0
    priority: int = 0
    weight: float = 1.0
    limits: manifest.Limits = manifest.Limits()


@dataclasses.dataclass
class FixedView:
    """A configuration that declares everything with version ``1`` or 2."""

    revision: int = 1
    servable: tuple[str, ...] = ('1', '2')
    limits: manifest.Limits = manifest.Limits()
    header_bytes: int = following.DEFAULT_HEADER_BYTES
    has_workspaces: bool = False
    declared_workspaces: tuple = ()

    def request_error(self, service, adapter):
        if adapter is None and service not in (SERVICE, PLAIN_SERVICE):
            return errors.Kind.UNKNOWN_SERVICE
        if adapter is not None and adapter.version not in self.servable:
            return errors.Kind.UNKNOWN_VERSION
        return None

    def resolve(self, request, seed):
        kind = self.request_error(request.service, request.adapter)
        if kind is not None:
            return kind
        service = SERVICE if request.adapter else request.service
        return following.Terms(
            service, request.adapter, request.deadline_ms, request.priority
        )

    def candidate_versions(self, adapter):
        return (adapter,)

    def superseded_ms(self, adapter, at_ms):
        return None

    def adapter_slots(self, service):
        return 0

    def adapter_room(self, service, models):
        return 0

    def can_hold(self, service, adapter):
        return False

    def admission(self, service):
        return None

    def check_path(self, service):
        return '/healthz'

    def models(self, service):
        return ()

    def service(self, name):
        return Declared()

    def adapter(self, name):
        return Declared()

    def caller(self, name):
        return Declared(limits=self.limits)


@dataclasses.dataclass
class FixedFollower(following.UnsharedRecords):
    """A follower that has read everything and asks for nothing."""

    current: FixedView | None = dataclasses.field(default_factory=FixedView)

    def start(self, at_ms):
        return []

    def handle(self, event):
        return []

    def tick(self, at_ms, live_gateways, peers, self_id):
        return []

    def status(self, at_ms):
        return following.Status(self.current.revision)


def adapter(name='a1', version='1'):
    return messages.AdapterVersion(name, version)


def request(request_id='r1', **changes):
    values = {
        'request_id': request_id,
        'caller': 'caller-1',
        'service': SERVICE,
        'adapter': adapter(),
        'key': None,
        'priority': 5,
        'deadline_ms': DEADLINE_MS,
        'fingerprint': f'print-of-{request_id}',
        'method': 'POST',
        'path': '/v1/completions',
        'headers': (),
        'body': b'{}',
    }
    return events.Request(**(values | changes))


def offer(attempt_id='r1.1', **changes):
    values = {
        'attempt_id': attempt_id,
        'request_id': attempt_id.split('.')[0],
        'caller': 'caller-1',
        'service': SERVICE,
        'adapter': adapter(),
        'idempotent': True,
        'priority': 5,
        'remaining_ms': DEADLINE_MS,
        'fingerprint': f'print-of-{attempt_id}',
        'method': 'POST',
        'path': '/v1/completions',
        'headers': (),
        'body': b'{}',
    }
    return messages.Offer(**(values | changes))


def instance(name='e1', role=events.Role.ENDPOINT, **changes):
    values = {
        'instance': name,
        'role': role,
        'service': SERVICE,
        'failure_domain': 'sul-a',
        'region': 'sul',
        'address': f'127.0.0.1:{name}',
        'leaving': False,
    }
    return events.Instance(**(values | changes))


def engine_status(epoch='epoch-1', slots=2, at_ms=0, **changes):
    values = {
        'at_ms': at_ms,
        'epoch': epoch,
        'base_model': 'base',
        'slots': tuple(
            events.SlotState(number, None, False) for number in range(slots)
        ),
        'batch_limit': 4,
        'running': 0,
        'waiting': 0,
        'highest_fence': 0,
    }
    return events.EngineStatus(**(values | changes))


def gateway_state(instance_name='g1', **options):
    return gateway.State(
        options=gateway.Options(instance=instance_name, **options),
        follower=FixedFollower(),
    )


def sidecar_state(instance_name='e1', **options):
    """Return a sidecar that loads at once, without permit or pace."""
    free = {'coordinator_silence_ms': 0, 'load_interval_ms': 0}
    values = {'service': SERVICE} | free | options
    return sidecar.State(
        options=sidecar.Options(instance=instance_name, **values),
        follower=FixedFollower(),
    )


def failed(attempt_id, **changes):
    values = {
        'attempt_id': attempt_id,
        'kind': errors.Kind.ENDPOINT_FAILED,
        'ran': errors.Ran.UNKNOWN,
    }
    return messages.Failed(**(values | changes))


def http_post(body, path='/v1/completions', *headers):
    """Return the bytes of a POST with a JSON body on HTTP/1.1."""
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: gateway',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    return '\r\n'.join([*lines, '', body]).encode()
