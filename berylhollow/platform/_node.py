"""Load the node file, in which the platform describes a process's place."""

import collections.abc
import dataclasses
import os
import pathlib
import tomllib
import typing

from berylhollow.util import exits

NODE_FILE_VARIABLE = 'BERYLHOLLOW_NODE_FILE'
MAX_PORT = 65_535
MAX_DURATION_MS = 3_600_000

DEFAULT_CONTACT_MS = 3000
"""Used if the file gives none; the value in the platform's own examples."""

DEFAULT_CONFIGURATION_LIMIT_MS = 2000
"""Used if the file gives none; the value in the platform's own examples."""

DEFAULT_VERSION_LIMIT_MS = 5000
"""Used if the file gives none; the value in the platform's own examples."""

DEFAULT_QUOTA_WINDOW_S = 1.0


class NodeFileError(exits.UserError):
    """An invalid node file; the message lists every fault."""

    def __init__(self, faults: collections.abc.Sequence[str]):
        lines = [f'invalid node file: {fault}' for fault in faults]
        super().__init__('\n'.join(lines), exits.ExitCode.INVALID)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """The host and port on which a server listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """The platform's description of one process and its environment.

    ``link_port`` and ``metrics_port`` are the first and the last port of the
    range that the instance reserves for this software; the range is the same
    on every instance. ``callers`` and ``readiness`` are the listen addresses,
    None for a role that serves no callers. ``endpoint`` is the address of the
    endpoint on this instance, None if there is none.

    ``retry_ratio`` and ``retry_slack`` limit the retries of all gateways
    together: a share of the requests, plus a fixed number.
    ``stop_grace_ms`` is the time a process has after SIGTERM.
    ``endpoint_drain_ms`` is how long requests may still be sent to an endpoint
    that is listed as leaving. ``heartbeat_ms`` is the interval at which an
    endpoint rewrites its entry, 0 if unknown. ``recovery_limit_ms`` is the
    time after the end of a disturbance within which all guarantees must hold
    again. ``configuration_limit_ms`` is the time after its confirmation from
    which a configuration must be in force everywhere. ``version_limit_ms`` is
    the time after which no request may begin on an older adapter version.
    ``key_revocation_limit_ms`` is how long a revoked key may still be
    accepted, 0 for no bound. In any ``quota_window_ms`` usage may exceed the
    quota by ``quota_overrun`` times the quota plus ``quota_slack``.
    ``is_first_start`` is set when the whole system starts for the first time.
    """

    instance: str
    failure_domain: str
    region: str
    host: str
    link_port: int
    metrics_port: int
    store: Address
    callers: Address | None
    readiness: Address | None
    endpoint: Address | None
    service: str
    retry_ratio: float
    retry_slack: int
    stop_grace_ms: int
    endpoint_drain_ms: int
    heartbeat_ms: int
    recovery_limit_ms: int
    configuration_limit_ms: int
    version_limit_ms: int
    key_revocation_limit_ms: int
    quota_window_ms: int
    quota_overrun: float
    quota_slack: float
    is_first_start: bool = False


class _FieldReader:
    """Type-checked reads from a parsed file that collect every fault."""

    def __init__(self, root: dict[str, typing.Any]):
        self.root = root
        self.faults: list[str] = []

    def get(self, path: str, kinds: tuple[type, ...], required: bool = True):
        """Return the value at a dotted path, None if missing or invalid."""
        value: typing.Any = self.root
        for name in path.split('.'):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None:
            if required:
                self.faults.append(f'{path}: is required')
            return None
        if isinstance(value, bool) != (bool in kinds) or not isinstance(
            value, kinds
        ):
            expected = ' or '.join(kind.__name__ for kind in kinds)
            self.faults.append(f'{path}: must be {expected}, not {value!r}')
            return None
        return value

    def text(self, path: str, required: bool = True) -> str:
        """Return a string, empty if it is missing."""
        value = self.get(path, (str,), required)
        if value == '' and required:
            self.faults.append(f'{path}: must not be empty')
        return value or ''

    def number(
        self, path: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Return a number within bounds; without a default it is required."""
        value = self.get(path, (int, float), default is None)
        if value is None:
            return low if default is None else default
        if not low <= value <= high:
            self.faults.append(
                f'{path}: must be from {low} to {high}, not {value!r}'
            )
        return value

    def address(self, path: str, required: bool) -> Address | None:
        """Return an IP:PORT, None if it is missing."""
        text = self.text(path, required)
        if not text:
            return None
        host, _, port = text.rpartition(':')
        if not host or not port.isdigit() or int(port) > MAX_PORT:
            self.faults.append(f'{path}: must be IP:PORT, not {text!r}')
            return None
        return Address(host, int(port))

    def ports(self, path: str) -> tuple[int, int]:
        """Return the first and last port of a range."""
        value = self.get(path, (list,))
        if value is None:
            return 0, 0
        is_range = len(value) == 2 and all(
            type(port) is int and 0 < port <= MAX_PORT for port in value
        )
        if not is_range or value[0] >= value[1]:
            self.faults.append(
                f'{path}: must be two ports in order, not {value!r}'
            )
            return 0, 0
        return value[0], value[1]


def node_file_path() -> str | None:
    """Return the path of the node file from the environment, if set."""
    return os.environ.get(NODE_FILE_VARIABLE)


def load(path: str | pathlib.Path, serves_callers: bool) -> Node:
    """Load a node file; unknown fields are ignored.

    Raises ``NodeFileError``, which lists every fault with its path.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        root = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise NodeFileError([f'{path}: {error}']) from error
    fields = _FieldReader(root)
    node = _read_node(fields, serves_callers)
    if fields.faults:
        raise NodeFileError(fields.faults)
    return node


def _read_node(fields: _FieldReader, serves_callers: bool) -> Node:
    first_port, last_port = fields.ports('PortRange')
    has_endpoint = not serves_callers
    return Node(
        instance=fields.text('Node'),
        failure_domain=fields.text('Zone'),
        region=fields.text('Region'),
        host=fields.text('Ip'),
        link_port=first_port,
        metrics_port=last_port,
        store=fields.address('Platform.Address', True),
        callers=fields.address('Listen.Front', serves_callers),
        readiness=fields.address('Listen.Ready', serves_callers),
        endpoint=fields.address('app', has_endpoint),
        service=fields.text('Service', has_endpoint),
        retry_ratio=fields.number('Bounds.RetryRatio', 0, 1),
        retry_slack=int(fields.number('Bounds.RetrySlack', 0, 1_000_000)),
        stop_grace_ms=_read_seconds(fields, 'Bounds.GraceS'),
        endpoint_drain_ms=_read_milliseconds(fields, 'Bounds.DrainMs'),
        heartbeat_ms=_read_milliseconds(fields, 'HeartbeatMs', 0),
        recovery_limit_ms=_read_milliseconds(
            fields, 'Bounds.ContactMs', DEFAULT_CONTACT_MS
        ),
        configuration_limit_ms=_read_milliseconds(
            fields, 'Bounds.ConfigApplyMs', DEFAULT_CONFIGURATION_LIMIT_MS
        ),
        version_limit_ms=_read_milliseconds(
            fields, 'Bounds.version_ms', DEFAULT_VERSION_LIMIT_MS
        ),
        key_revocation_limit_ms=_read_key_bound_ms(fields),
        quota_window_ms=_read_seconds(
            fields, 'Bounds.QuotaWindowS', DEFAULT_QUOTA_WINDOW_S
        ),
        quota_overrun=fields.number('Bounds.QuotaOverrun', 0, 10, 0),
        quota_slack=fields.number('Bounds.QuotaSlack', 0, 1e12, 0),
        is_first_start=bool(fields.get('Bootstrap', (bool,), False)),
    )


def _read_key_bound_ms(fields: _FieldReader) -> int:
    """Return the bound on the use of revoked keys, 0 if it is not strict."""
    strict = fields.get('Bounds.StrictRevoke', (bool,), False)
    bound_ms = _read_milliseconds(fields, 'Bounds.RevokeMs', 0)
    return bound_ms if strict else 0


def _read_milliseconds(
    fields: _FieldReader, path: str, default: int | None = None
) -> int:
    return int(fields.number(path, 0, MAX_DURATION_MS, default))


def _read_seconds(
    fields: _FieldReader, path: str, default: float | None = None
) -> int:
    """Read a duration in seconds and return it in milliseconds."""
    return int(fields.number(path, 0, 3600, default) * 1000)
