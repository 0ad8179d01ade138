"""Records of the platform's store: configuration and the instance list."""

import collections.abc

from berylhollow import events
from berylhollow import messages
from berylhollow.platform import _fields
from berylhollow import routes
from berylhollow import workspaces

CONFIGURATION_STREAM = 'keyed.op'
INSTANCE_STREAM = 'keyed.servers'
CONFIGURATION_KEY = 'config'
VERSION_PREFIX = 'version/'

KINDS = {
    'safe': routes.Repeat.ANY_NUMBER,
    'unsafe': routes.Repeat.ONCE,
    'stream': routes.Repeat.STREAM,
}
LEAVING_STATES = {'ready': False, 'draining': True}
"""Whether an endpoint leaves, by the state that its entry names."""

UNITS = {
    'requests': workspaces.Unit.REQUESTS,
    'tokens': workspaces.Unit.TOKENS,
}

START = 'born'
"""Field of everything that an endpoint says of itself: the Unix time of its
start in milliseconds. Its name stays the same over restarts, so the two
together name what is running."""

MB = 1024 * 1024
UNLIMITED = 1_000_000


def split(data: bytes) -> tuple[str, bytes]:
    """Return key and value of a keyed record; no value drops the key.

    Raises ``routes.MalformedRecordError``.
    """
    if not data or not data[0] or len(data) < 1 + data[0]:
        raise routes.MalformedRecordError('a record ends within its key')
    end = 1 + data[0]
    try:
        return data[1:end].decode(), data[end:]
    except UnicodeDecodeError as error:
        raise routes.MalformedRecordError('a key is no text') from error


def join(key: str, value: bytes) -> bytes:
    """Return a keyed record."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_news(data: bytes) -> routes.News | None:
    """Return what an operator published; None if it is none of ours.

    Raises ``routes.MalformedRecordError``.
    """
    key, value = split(data)
    if not value:
        return None
    if key == CONFIGURATION_KEY:
        return _table(_fields.document(value))
    if key.startswith(VERSION_PREFIX):
        return _adapter_version(_fields.document(value))
    return None


def decode_instance(data: bytes) -> tuple[str, events.Instance | None]:
    """Return an endpoint's name in the list and its row.

    The row is None if the endpoint has left the list. Raises
    ``routes.MalformedRecordError``, which has the name if that could be read.
    """
    key, value = split(data)
    if not value:
        return key, None
    try:
        return key, _instance(key, _fields.document(value))
    except routes.MalformedRecordError as error:
        raise routes.MalformedRecordError(str(error), key) from error


def _table(value: dict) -> routes.RouteTable:
    limits = _fields.inner(value, 'Limits')
    services = _fields.objects(value, 'Services')
    return routes.RouteTable(
        version=_fields.whole(value, 'Version'),
        routes=tuple(map(_route, _fields.objects(value, 'Routes'))),
        services=tuple(map(_service, services)),
        limits=routes.RequestLimits(
            header_bytes=_fields.whole(limits, 'MaxHeaderBytes', 16 * 1024),
            body_bytes=_fields.whole(limits, 'MaxBodyBytes', 4 * MB),
            header_timeout_ms=_fields.milliseconds(
                limits, 'HeaderTimeoutMs', 3000
            ),
            idle_timeout_ms=_fields.milliseconds(
                limits, 'IdleTimeoutMs', 15_000
            ),
        ),
        workspaces=_workspaces(_fields.objects(value, 'Tenants')),
    )


def _workspaces(entries: list[dict]) -> tuple[workspaces.Workspace, ...]:
    found = tuple(map(_workspace, entries))
    keys = [key for workspace in found for key in workspace.keys]
    if len(set(keys)) < len(keys):
        raise routes.MalformedRecordError('two workspaces have one key')
    if len({workspace.name for workspace in found}) < len(found):
        raise routes.MalformedRecordError('two workspaces have one name')
    return found


def _workspace(entry: dict) -> workspaces.Workspace:
    name = _fields.text(entry, 'Name')
    if not _is_header_value(name):
        raise routes.MalformedRecordError('Name can not be sent in a header')
    priority = None
    if entry.get('Priority') is not None:
        priority = _fields.whole(entry, 'Priority')
    keys = _fields.texts(entry, 'ApiKeys')
    return workspaces.Workspace(
        name,
        frozenset(map(workspaces.digest, keys)),
        priority,
        _quota(entry),
    )


def _is_header_value(text: str) -> bool:
    return text.isascii() and text.isprintable() and text == text.strip()


def _quota(entry: dict) -> workspaces.Quota | None:
    rate_per_s = _fields.number(entry, 'RatePerS', 0)
    if not rate_per_s:
        return None
    unit = _fields.text(entry, 'Unit', 'requests')
    if unit not in UNITS:
        raise routes.MalformedRecordError(f'unknown unit {unit[:40]!r}')
    return workspaces.Quota(
        UNITS[unit],
        rate_per_s,
        _fields.number(entry, 'Burst', 0),
        _fields.whole(entry, 'PlainTokens', 0),
    )


def _route(entry: dict) -> routes.Route:
    kind = _fields.text(entry, 'Kind')
    if kind not in KINDS:
        raise routes.MalformedRecordError(f'unknown kind {kind!r}')
    return routes.Route(
        name=_fields.text(entry, 'Name', ''),
        host=_fields.text(entry, 'Host'),
        prefix=_fields.text(entry, 'PathPrefix'),
        repeat=KINDS[kind],
        timeout_ms=_fields.milliseconds(entry, 'TimeoutMs'),
        objective_ms=_fields.milliseconds(entry, 'TargetLatencyMs', 0),
        priority=_fields.whole(entry, 'Priority', 0),
        shares=_shares(entry),
        most_runs=max(1, _fields.whole(entry, 'MaxAttempts', 1)),
        resumable=_fields.truth(entry, 'Resumable'),
        event_gap_ms=_fields.milliseconds(entry, 'GapTargetMs', 0),
        public=_fields.truth(entry, 'AllowAnonymous'),
    )


def _shares(entry: dict) -> tuple[routes.Share, ...]:
    split_entries = _fields.objects(entry, 'TrafficSplit')
    if not split_entries:
        return (routes.Share(_fields.text(entry, 'Service'), 1.0),)
    return tuple(
        routes.Share(
            _fields.text(part, 'Service'), _fields.number(part, 'Weight')
        )
        for part in split_entries
    )


def _service(entry: dict) -> routes.Service:
    engine = _fields.inner(entry, 'Engine')
    return routes.Service(
        name=_fields.text(entry, 'Name'),
        connections=_fields.whole(entry, 'MaxConns', 0) or UNLIMITED,
        engine=_engine(engine) if engine else None,
    )


def _engine(entry: dict) -> routes.Engine:
    models = _fields.objects(entry, 'Models')
    return routes.Engine(
        batch=max(1, _fields.whole(entry, 'Slots', 1)),
        adapter_slots=_fields.whole(entry, 'AdapterSlots', 0),
        adapters=tuple(
            (
                _fields.text(model, 'Name'),
                _fields.whole(model, 'Adapters', 0),
            )
            for model in models
        ),
    )


def _adapter_version(value: dict) -> routes.NewAdapterVersion | None:
    if not value.get('Adapter'):
        return None
    name = adapter_name(
        _fields.text(value, 'Model'), _fields.text(value, 'Adapter')
    )
    version = str(_fields.whole(value, 'Version'))
    return routes.NewAdapterVersion(messages.AdapterVersion(name, version))


def _instance(name: str, entry: dict) -> events.Instance:
    state = _fields.text(entry, 'State')
    if state not in LEAVING_STATES:
        raise routes.MalformedRecordError(f'unknown state {state!r}')
    incarnation = messages.Incarnation(name, started_ms(entry))
    models = _fields.objects(entry, 'Models')
    return events.Instance(
        instance=str(incarnation),
        role=events.Role.ENDPOINT,
        service=_fields.text(entry, 'Service'),
        failure_domain=_fields.text(entry, 'Zone', ''),
        region='',
        address=_fields.address(entry, 'Address'),
        leaving=LEAVING_STATES[state],
        direct=True,
        capacity=_fields.whole(entry, 'Slots', 0),
        models=held_models(models),
        adapters=held_adapters(models),
        incarnation=incarnation,
    )


def started_ms(entry: dict) -> int:
    """Return when an endpoint says that it started, 0 if it does not say."""
    return _fields.whole(entry, START, 0)


def adapter_name(model: str, adapter: str) -> str:
    """Return the name by which requests ask for an adapter of a model."""
    return f'{model}{routes.ADAPTER_SEPARATOR}{adapter}'


def held_models(models: collections.abc.Iterable[dict]) -> tuple[str, ...]:
    """Return the names of the models that a list says are loaded."""
    return tuple(_fields.text(model, 'Name') for model in models)


def held_adapters(
    models: collections.abc.Iterable[dict],
) -> tuple[messages.AdapterVersion, ...]:
    """Return the adapters that a list of models says are loaded."""
    return tuple(
        listed_adapter(adapter_name(_fields.text(model, 'Name'), listed))
        for model in models
        for listed in _fields.texts(model, 'Adapters')
    )


def listed_adapter(listed: str) -> messages.AdapterVersion:
    """Return an adapter from MODEL/NAME@VERSION, the first one if none."""
    name, _, version = listed.partition('@')
    version = version or routes.FIRST_VERSION
    if not (version.isascii() and version.isdecimal()):
        raise routes.MalformedRecordError(f'no adapter: {listed[:80]!r}')
    return messages.AdapterVersion(name, version)
