"""The trace format: one JSON object a line, requests and faults by time."""

import collections.abc
import dataclasses
import gzip
import json
import pathlib

from berylhollow.util import exits

GZIP_SUFFIX = '.gz'
# The moment is left out of the compressed file, so that the same trace
# gives the same bytes.
NO_TIMESTAMP = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TraceRequest:
    """A request of a caller; times in milliseconds.

    ``adapter`` and ``version`` are empty for a plain service.
    ``deadline_ms`` is a duration from ``at_ms``. ``key`` is the idempotency
    key of a request that is not idempotent.
    """

    at_ms: int
    caller: str
    service: str
    adapter: str = ''
    version: str = ''
    idempotent: bool = True
    key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    deadline_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class TraceFault:
    """A fault that begins at ``at_ms`` and lasts ``for_ms``."""

    at_ms: int
    fault: str
    target: str = ''
    for_ms: int = 0


TraceItem = TraceRequest | TraceFault
REQUEST_FIELDS = {
    field.name: field for field in dataclasses.fields(TraceRequest)
}
FAULT_FIELDS = {field.name: field for field in dataclasses.fields(TraceFault)}
OPTIONAL_TEXT = ('adapter', 'version', 'key', 'target')


class TraceError(exits.UserError):
    """A trace that can't be replayed; the message names the line."""

    def __init__(self, path: str | pathlib.Path, line: int, message: str):
        super().__init__(
            f'{path}: line {line}: {message}', exits.ExitCode.INVALID
        )


def read_trace(path: str | pathlib.Path) -> list[TraceItem]:
    """Return the items of a trace file, plain or compressed by gzip.

    Raises ``TraceError`` for the first line that is malformed or goes back
    in time, and ``UserError`` if the file can't be read.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        if str(path).endswith(GZIP_SUFFIX):
            data = gzip.decompress(data)
        text = data.decode()
    except (OSError, EOFError, UnicodeDecodeError) as error:
        raise exits.UserError(f'{path}: {error}') from error
    items: list[TraceItem] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        item = _item(path, number, line)
        if items and item.at_ms < items[-1].at_ms:
            raise TraceError(path, number, 'at_ms goes back in time')
        items.append(item)
    return items


def write_trace(
    path: str | pathlib.Path, items: collections.abc.Iterable[TraceItem]
) -> None:
    """Write a trace file; the suffix ``.gz`` compresses it."""
    text = ''.join(_line(item) for item in items)
    data = text.encode()
    if str(path).endswith(GZIP_SUFFIX):
        data = gzip.compress(data, mtime=NO_TIMESTAMP)
    pathlib.Path(path).write_bytes(data)


def _line(item: TraceItem) -> str:
    values = dataclasses.asdict(item)
    for name in OPTIONAL_TEXT:
        if values.get(name) == '':
            values[name] = None
    return json.dumps(values, separators=(',', ':')) + '\n'


def _item(path: str | pathlib.Path, number: int, line: str) -> TraceItem:
    try:
        values = json.loads(line)
    except json.JSONDecodeError as error:
        raise TraceError(path, number, error.msg) from error
    if not isinstance(values, dict):
        raise TraceError(path, number, 'is not an object')
    item_type, fields = TraceRequest, REQUEST_FIELDS
    if 'fault' in values:
        item_type, fields = TraceFault, FAULT_FIELDS
    for name, value in values.items():
        if name not in fields:
            raise TraceError(path, number, f'{name!r} is not known')
        values[name] = _checked(path, number, fields[name], value)
    try:
        return item_type(**values)
    except TypeError as error:
        raise TraceError(path, number, str(error)) from error


def _checked(path, number: int, field, value: object) -> object:
    if value is None and field.name in OPTIONAL_TEXT:
        return None if field.name == 'key' else ''
    wanted = str if field.name == 'key' else field.type
    if type(value) is not wanted:
        raise TraceError(
            path, number, f'{field.name} must be a {wanted.__name__}'
        )
    if wanted is int and field.name != 'priority' and value < 0:
        raise TraceError(path, number, f'{field.name} is negative')
    return value
