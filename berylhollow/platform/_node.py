"""The file in which the platform tells a process where it runs."""

import collections.abc
import dataclasses
import os
import pathlib
import tomllib
import typing

from berylhollow.util import exits

NODE_FILE_VARIABLE = 'BERYLHOLLOW_NODE_FILE'
LARGEST_PORT = 65_535
LONGEST_MS = 3_600_000

DEFAULT_CONTACT_MS = 3000
"""Where the platform names no bound: what its own examples have."""


DEFAULT_QUOTA_WINDOW_S = 1.0


class NodeFileError(exits.UserError):
    """The file can't be used; the message names every fault."""

    def __init__(self, faults: collections.abc.Sequence[str]):
        lines = [f'invalid node file: {fault}' for fault in faults]
        super().__init__('\n'.join(lines), exits.ExitCode.INVALID)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where something listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """What the platform says of one process and its surroundings.

    ``link_port`` and ``metrics_port`` are the first and the last of the
    ports that the instance leaves to us; they are the same everywhere.
    ``callers`` and ``readiness`` are None for a role that serves no callers,
    ``endpoint`` is the one that stands on this instance, None without one.
    ``retry_ratio`` and ``retry_slack`` bound the repeats of all gateways
    together: a share of the requests, and a number on top of it.
    ``stop_grace_ms`` is what is left after SIGTERM, ``leave_ms`` how long an
    endpoint that is listed as leaving may still be sent requests.
    ``heartbeat_ms`` is how often an endpoint writes its entry, 0 if that is
    not told. ``contact_ms`` is how long after a disturbance has ended every
    promise holds again. ``key_bound_ms`` is how long after it was taken away
    a key may still be used, 0 without a bound. In any ``quota_window_ms``
    more may be used than quotas say: ``quota_overrun`` times that, and
    ``quota_slack``.
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
    leave_ms: int
    heartbeat_ms: int
    contact_ms: int
    key_bound_ms: int
    quota_window_ms: int
    quota_overrun: float
    quota_slack: float


class _Fields:
    """Checked reads from a parsed file, collecting every fault."""

    def __init__(self, root: dict[str, typing.Any]):
        self.root = root
        self.faults: list[str] = []

    def get(self, path: str, kinds: tuple[type, ...], needed: bool = True):
        """Return the value at a dotted path; None if it can't be used."""
        value: typing.Any = self.root
        for name in path.split('.'):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None:
            if needed:
                self.faults.append(f'{path}: is required')
            return None
        if isinstance(value, bool) != (bool in kinds) or not isinstance(
            value, kinds
        ):
            words = ' or '.join(kind.__name__ for kind in kinds)
            self.faults.append(f'{path}: must be {words}, not {value!r}')
            return None
        return value

    def text(self, path: str, needed: bool = True) -> str:
        """Return a text; '' if it is not there."""
        value = self.get(path, (str,), needed)
        if value == '' and needed:
            self.faults.append(f'{path}: must not be empty')
        return value or ''

    def number(
        self, path: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Return a number within bounds; one without a default is needed."""
        value = self.get(path, (int, float), default is None)
        if value is None:
            return low if default is None else default
        if not low <= value <= high:
            self.faults.append(
                f'{path}: must be from {low} to {high}, not {value!r}'
            )
        return value

    def address(self, path: str, needed: bool) -> Address | None:
        """Return an IP:PORT, None if it is not there."""
        text = self.text(path, needed)
        if not text:
            return None
        host, _, port = text.rpartition(':')
        if not host or not port.isdigit() or int(port) > LARGEST_PORT:
            self.faults.append(f'{path}: must be IP:PORT, not {text!r}')
            return None
        return Address(host, int(port))

    def ports(self, path: str) -> tuple[int, int]:
        """Return the first and last of a range of ports."""
        value = self.get(path, (list,))
        if value is None:
            return 0, 0
        good = len(value) == 2 and all(
            type(port) is int and 0 < port <= LARGEST_PORT for port in value
        )
        if not good or value[0] >= value[1]:
            self.faults.append(
                f'{path}: must be two ports in order, not {value!r}'
            )
            return 0, 0
        return value[0], value[1]


def node_file() -> str | None:
    """Return the path of the platform's file, None if it names none."""
    return os.environ.get(NODE_FILE_VARIABLE)


def load(path: str | pathlib.Path, serves_callers: bool) -> Node:
    """Return what the file says; unknown fields are ignored.

    Raises ``NodeFileError`` that names every fault with its path.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        root = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise NodeFileError([f'{path}: {error}']) from error
    fields = _Fields(root)
    node = _node(fields, serves_callers)
    if fields.faults:
        raise NodeFileError(fields.faults)
    return node


def _node(fields: _Fields, serves_callers: bool) -> Node:
    first_port, last_port = fields.ports('PortRange')
    beside = not serves_callers
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
        endpoint=fields.address('app', beside),
        service=fields.text('Service', beside),
        retry_ratio=fields.number('Bounds.RetryRatio', 0, 1),
        retry_slack=int(fields.number('Bounds.RetrySlack', 0, 1_000_000)),
        stop_grace_ms=_seconds(fields, 'Bounds.GraceS'),
        leave_ms=_milliseconds(fields, 'Bounds.DrainMs'),
        heartbeat_ms=_milliseconds(fields, 'HeartbeatMs', 0),
        contact_ms=_milliseconds(
            fields, 'Bounds.ContactMs', DEFAULT_CONTACT_MS
        ),
        key_bound_ms=_key_bound_ms(fields),
        quota_window_ms=_seconds(
            fields, 'Bounds.QuotaWindowS', DEFAULT_QUOTA_WINDOW_S
        ),
        quota_overrun=fields.number('Bounds.QuotaOverrun', 0, 10, 0),
        quota_slack=fields.number('Bounds.QuotaSlack', 0, 1e12, 0),
    )


def _key_bound_ms(fields: _Fields) -> int:
    """Return the bound on keys that were taken away, 0 if none is strict."""
    strict = fields.get('Bounds.StrictRevoke', (bool,), False)
    bound_ms = _milliseconds(fields, 'Bounds.RevokeMs', 0)
    return bound_ms if strict else 0


def _milliseconds(
    fields: _Fields, path: str, default: int | None = None
) -> int:
    return int(fields.number(path, 0, LONGEST_MS, default))


def _seconds(fields: _Fields, path: str, default: float | None = None) -> int:
    """Return a duration that the file gives in seconds, in milliseconds."""
    return int(fields.number(path, 0, 3600, default) * 1000)
