"""Decode the store's records of the configuration and the instance list."""

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

REPEAT_BY_KIND = {
    'safe': routes.RepeatPolicy.ANY_NUMBER,
    'unsafe': routes.RepeatPolicy.ONCE,
    'stream': routes.RepeatPolicy.STREAM,
}
IS_LEAVING_BY_STATE = {'ready': False, 'draining': True}
"""Whether an endpoint is leaving, by the state in its entry."""

UNIT_BY_NAME = {
    'requests': workspaces.Unit.REQUESTS,
    'tokens': workspaces.Unit.TOKENS,
}

REPORT_PATH = '/v1/report'
START_TIME_FIELD = 'born'
"""Start time of an endpoint as a Unix time in milliseconds.

It is in every document that an endpoint writes about itself. The endpoint's
name stays the same over restarts, so only name and start time together
identify an incarnation."""

BYTES_PER_MIB = 1024 * 1024
UNLIMITED_CONNECTIONS = 1_000_000


def decode_keyed(data: bytes) -> tuple[str, bytes]:
    """Return the key and value of a record; an empty value deletes the key.

    Raises ``routes.MalformedRecordError``.
    """
    if not data or not data[0] or len(data) < 1 + data[0]:
        raise routes.MalformedRecordError('the record ends within its key')
    end = 1 + data[0]
    try:
        return data[1:end].decode(), data[end:]
    except UnicodeDecodeError as error:
        raise routes.MalformedRecordError(
            'the key is not valid UTF-8'
        ) from error


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record from its key and value.

    A key that is not valid Unicode makes a record that can't be decoded.
    Raises ValueError for a key of over 255 bytes.
    """
    name = key.encode(errors='surrogatepass')
    return bytes([len(name)]) + name + value


def decode_configuration_record(data: bytes) -> routes.PublishedRecord | None:
    """Decode a record of the configuration stream.

    Returns None for deleted keys and records that are not used here. Raises
    ``routes.MalformedRecordError``.
    """
    key, value = decode_keyed(data)
    if not value:
        return None
    if key == CONFIGURATION_KEY:
        return _parse_route_table(_fields.parse_object(value))
    if key.startswith(VERSION_PREFIX):
        return _parse_adapter_version(_fields.parse_object(value))
    return None


def decode_instance(data: bytes) -> tuple[str, events.Instance | None]:
    """Return an endpoint's name in the instance list and its entry.

    The entry is None if the endpoint was removed from the list. Raises
    ``routes.MalformedRecordError``, with the name if it could be decoded.
    """
    key, value = decode_keyed(data)
    if not value:
        return key, None
    try:
        return key, _parse_instance(key, _fields.parse_object(value))
    except routes.MalformedRecordError as error:
        raise routes.MalformedRecordError(str(error), key) from error


def _parse_route_table(value: dict) -> routes.RouteTable:
    limits = _fields.nested_object(value, 'Limits')
    services = _fields.objects(value, 'Services')
    return routes.RouteTable(
        version=_fields.integer(value, 'Version'),
        routes=tuple(map(_parse_route, _fields.objects(value, 'Routes'))),
        services=tuple(map(_parse_service, services)),
        limits=routes.RequestLimits(
            header_bytes=_fields.integer(limits, 'MaxHeaderBytes', 16 * 1024),
            body_bytes=_fields.integer(
                limits, 'MaxBodyBytes', 4 * BYTES_PER_MIB
            ),
            header_timeout_ms=_fields.milliseconds(
                limits, 'HeaderTimeoutMs', 3000
            ),
            idle_timeout_ms=_fields.milliseconds(
                limits, 'IdleTimeoutMs', 15_000
            ),
        ),
        workspaces=_parse_workspaces(_fields.objects(value, 'Tenants')),
    )


def _parse_workspaces(entries: list[dict]) -> tuple[workspaces.Workspace, ...]:
    declared = tuple(map(_parse_workspace, entries))
    keys = [key for workspace in declared for key in workspace.keys]
    if len(set(keys)) < len(keys):
        raise routes.MalformedRecordError('two workspaces have the same key')
    if len({workspace.name for workspace in declared}) < len(declared):
        raise routes.MalformedRecordError('two workspaces have the same name')
    return declared


def _parse_workspace(entry: dict) -> workspaces.Workspace:
    name = _fields.string(entry, 'Name')
    if not _is_header_value(name):
        raise routes.MalformedRecordError('Name is not a valid header value')
    priority = None
    if entry.get('Priority') is not None:
        priority = _fields.integer(entry, 'Priority')
    keys = _fields.strings(entry, 'ApiKeys')
    return workspaces.Workspace(
        name,
        frozenset(map(workspaces.digest, keys)),
        priority,
        _parse_quota(entry),
    )


def _is_header_value(text: str) -> bool:
    return text.isascii() and text.isprintable() and text == text.strip()


def _parse_quota(entry: dict) -> workspaces.Quota | None:
    rate_per_s = _fields.number(entry, 'RatePerS', 0)
    if not rate_per_s:
        return None
    unit = _fields.string(entry, 'Unit', 'requests')
    if unit not in UNIT_BY_NAME:
        raise routes.MalformedRecordError(f'unknown unit {unit[:40]!r}')
    return workspaces.Quota(
        UNIT_BY_NAME[unit],
        rate_per_s,
        _fields.number(entry, 'Burst', 0),
        _fields.integer(entry, 'PlainTokens', 0),
    )


def _parse_route(entry: dict) -> routes.Route:
    kind = _fields.string(entry, 'Kind')
    if kind not in REPEAT_BY_KIND:
        raise routes.MalformedRecordError(f'unknown kind {kind!r}')
    return routes.Route(
        name=_fields.string(entry, 'Name', ''),
        host=_fields.string(entry, 'Host'),
        prefix=_fields.string(entry, 'PathPrefix'),
        repeat=REPEAT_BY_KIND[kind],
        timeout_ms=_fields.milliseconds(entry, 'TimeoutMs'),
        objective_ms=_fields.milliseconds(entry, 'TargetLatencyMs', 0),
        priority=_fields.integer(entry, 'Priority', 0),
        shares=_parse_shares(entry),
        most_runs=max(1, _fields.integer(entry, 'MaxAttempts', 1)),
        resumable=_fields.boolean(entry, 'Resumable'),
        event_gap_ms=_fields.milliseconds(entry, 'GapTargetMs', 0),
        public=_fields.boolean(entry, 'AllowAnonymous'),
    )


def _parse_shares(entry: dict) -> tuple[routes.ServiceShare, ...]:
    parts = _fields.objects(entry, 'TrafficSplit')
    if not parts:
        return (routes.ServiceShare(_fields.string(entry, 'Service'), 1.0),)
    return tuple(
        routes.ServiceShare(
            _fields.string(part, 'Service'), _fields.number(part, 'Weight')
        )
        for part in parts
    )


def _parse_service(entry: dict) -> routes.Service:
    engine = _fields.nested_object(entry, 'Engine')
    return routes.Service(
        name=_fields.string(entry, 'Name'),
        connections=_fields.integer(entry, 'MaxConns', 0)
        or UNLIMITED_CONNECTIONS,
        engine=_parse_engine(engine) if engine else None,
        check_path=_check_path(entry, bool(engine)),
    )


def _check_path(entry: dict, has_engine: bool) -> str:
    """Return where endpoints of a service answer health checks.

    The report of a model endpoint is answered without a slot.
    """
    if has_engine:
        return REPORT_PATH
    path = _fields.string(entry, 'HealthPath', '')
    return path if path.startswith('/') else ''


def _parse_engine(entry: dict) -> routes.Engine:
    models = _fields.objects(entry, 'Models')
    return routes.Engine(
        batch=max(1, _fields.integer(entry, 'Slots', 1)),
        adapter_slots=_fields.integer(entry, 'AdapterSlots', 0),
        models=tuple(map(_parse_model, models)),
        tokens_per_event=max(1, _fields.integer(entry, 'Stride', 1)),
        memory_mb=_fields.number(entry, 'WeightsMb', 0),
    )


def _parse_model(entry: dict) -> routes.Model:
    return routes.Model(
        name=_fields.string(entry, 'Name'),
        adapters=_fields.integer(entry, 'Adapters', 0),
        weights_mb=_fields.number(entry, 'WeightsMb', 0),
        adapter_mb=_fields.number(entry, 'AdapterMb', 0),
    )


def _parse_adapter_version(value: dict) -> routes.NewAdapterVersion | None:
    if not value.get('Adapter'):
        return None
    name = adapter_name(
        _fields.string(value, 'Model'), _fields.string(value, 'Adapter')
    )
    version = str(_fields.integer(value, 'Version'))
    return routes.NewAdapterVersion(messages.AdapterVersion(name, version))


def _parse_instance(name: str, entry: dict) -> events.Instance:
    state = _fields.string(entry, 'State')
    if state not in IS_LEAVING_BY_STATE:
        raise routes.MalformedRecordError(f'unknown state {state!r}')
    incarnation = messages.Incarnation(name, started_ms(entry))
    models = _fields.objects(entry, 'Models')
    return events.Instance(
        instance=str(incarnation),
        role=events.Role.ENDPOINT,
        service=_fields.string(entry, 'Service'),
        failure_domain=_fields.string(entry, 'Zone', ''),
        region='',
        address=_fields.address(entry, 'Address'),
        leaving=IS_LEAVING_BY_STATE[state],
        direct=True,
        capacity=_fields.integer(entry, 'Slots', 0),
        models=loaded_models(models),
        adapters=loaded_adapters(models),
        incarnation=incarnation,
        software_version=_fields.string(entry, 'Version', ''),
        removed_in_ms=_removed_in_ms(entry),
    )


def _removed_in_ms(entry: dict) -> int | None:
    """Return the time left to an endpoint that is removed at short notice."""
    if entry.get('RemainingMs') is None:
        return None
    return _fields.milliseconds(entry, 'RemainingMs')


def started_ms(entry: dict) -> int:
    """Return the start time that an endpoint reports, 0 if missing."""
    return _fields.integer(entry, START_TIME_FIELD, 0)


def adapter_name(model: str, adapter: str) -> str:
    """Return the name that requests use for an adapter of a model."""
    return f'{model}{routes.ADAPTER_SEPARATOR}{adapter}'


def loaded_models(models: collections.abc.Iterable[dict]) -> tuple[str, ...]:
    """Return the names of the models in an endpoint's list."""
    return tuple(_fields.string(model, 'Name') for model in models)


def loaded_adapters(
    models: collections.abc.Iterable[dict],
) -> tuple[messages.AdapterVersion, ...]:
    """Return the adapters in an endpoint's list of loaded models."""
    return tuple(
        parse_adapter(adapter_name(_fields.string(model, 'Name'), adapter))
        for model in models
        for adapter in _fields.strings(model, 'Adapters')
    )


def parse_adapter(text: str) -> messages.AdapterVersion:
    """Parse MODEL/NAME@VERSION; a missing version means the first one.

    Raises ``routes.MalformedRecordError``.
    """
    name, _, version = text.partition('@')
    adapter = messages.AdapterVersion(name, version or routes.FIRST_VERSION)
    if not 0 <= adapter.number <= _fields.MAX_INTEGER:
        raise routes.MalformedRecordError(f'invalid adapter: {text[:80]!r}')
    return adapter
