"""The command ``status``: which processes run which revision."""

import argparse
import asyncio
import collections.abc
import dataclasses
import json

from berylhollow import outgoing
from berylhollow import publishing
from berylhollow.ui import _log_options
from berylhollow.util import exits

EXAMPLE = (
    'berylhollow status --gateway http://127.0.0.1:8080 '
    '--platform http://127.0.0.1:8001'
)
CALL_TIMEOUT_MS = 3000
FORMATS = ('text', 'json')
ROW_FORMAT = '{:<24} {:<9} {:>9}  {}'


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessRow:
    """The revision that a process runs, as reported by some instance.

    ``source`` is the instance that reported it, ``notes`` are remarks on the
    report, such as its age or a fault.
    """

    instance: str
    role: str
    revision: int
    source: str
    notes: tuple[str, ...] = ()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--gateway',
        action='append',
        required=True,
        metavar='URL',
        help='a gateway to ask; may be given more than once',
    )
    parser.add_argument(
        '--platform',
        metavar='URL',
        help='show also which revision the log says is in force',
    )
    parser.add_argument(
        '--expect',
        type=int,
        metavar='REVISION',
        help='exit with code 5 if a process runs an older revision',
    )
    parser.add_argument('--format', choices=FORMATS, default='text')


def run(arguments: argparse.Namespace) -> int:
    """Print a line per process.

    Exits with code 4 if no gateway answered, with code 5 if a process runs an
    older revision than expected.
    """
    pages = asyncio.run(_read_pages(arguments.gateway))
    rows = merge_rows(row for page in pages for row in parse_rows(page))
    in_force = _read_revision_in_force(arguments)
    if arguments.format == 'json':
        print(json.dumps([dataclasses.asdict(row) for row in rows], indent=2))
    else:
        _print_text(rows, in_force)
    expected = arguments.expect
    if expected is not None and any(row.revision < expected for row in rows):
        return exits.ExitCode.FINDINGS
    return exits.ExitCode.OK


async def _read_pages(urls: list[str]) -> list[dict]:
    session = outgoing.open_session()
    try:
        read = [_read_page(session, url) for url in urls]
        pages = [page for page in await asyncio.gather(*read) if page]
    finally:
        await session.close()
    if not pages:
        raise exits.UserError(
            'no gateway answered', exits.ExitCode.UNAVAILABLE
        )
    return pages


async def _read_page(session, url: str) -> dict | None:
    try:
        reply = await outgoing.call(
            session, 'GET', f'{url.rstrip("/")}/status', CALL_TIMEOUT_MS
        )
        return reply.value()
    except outgoing.CallError:
        return None


def parse_rows(page: dict) -> collections.abc.Iterator[ProcessRow]:
    """Yield a row for each process on the status page of a gateway."""
    name = page['instance']
    configuration = page['configuration']
    notes = tuple(_configuration_notes(configuration))
    yield ProcessRow(name, 'gateway', configuration['revision'], name, notes)
    for peer in configuration['gateways']:
        notes = (f'told {name} {peer["told_ms"]} ms ago',)
        yield ProcessRow(
            peer['instance'], 'gateway', peer['revision'], name, notes
        )
    for endpoint in page['endpoints']:
        is_open = endpoint['link'] == 'open'
        notes = () if is_open else (f'no link to {name}',)
        revision = endpoint['revision']
        yield ProcessRow(
            endpoint['instance'], 'endpoint', revision, name, notes
        )


def _configuration_notes(configuration: dict) -> collections.abc.Iterator[str]:
    if configuration['stopped']:
        yield f'cannot judge the next change: {configuration["stopped"]}'
    if configuration['gap']:
        yield 'the log has cut off changes and no snapshot holds them'
    if configuration['age_ms'] < 0:
        yield 'has not seen the end of the log'
    else:
        yield f'as of {configuration["age_ms"]} ms ago'


def merge_rows(rows: collections.abc.Iterable[ProcessRow]) -> list[ProcessRow]:
    """Return one row per process.

    A row that the process itself reported comes first, then the row with the
    highest revision.
    """
    best: dict[str, ProcessRow] = {}
    for row in rows:
        known = best.get(row.instance)
        if known is None or _precedence(row) > _precedence(known):
            best[row.instance] = row
    return sorted(best.values(), key=lambda row: (row.role, row.instance))


def _precedence(row: ProcessRow) -> tuple[bool, int]:
    return row.source == row.instance, row.revision


def _read_revision_in_force(arguments: argparse.Namespace) -> int | None:
    if arguments.platform is None:
        return None
    arguments.timeout = CALL_TIMEOUT_MS / 1000

    async def read(publisher: publishing.Publisher) -> int:
        await publisher.session.catch_up(publisher.timeout_ms)
        return publisher.session.state.configuration.revision

    return _log_options.run_with_publisher(arguments, read)


def _print_text(rows: list[ProcessRow], in_force: int | None) -> None:
    if in_force is not None:
        print(f'in force by the log: revision {in_force}')
    print(ROW_FORMAT.format('instance', 'role', 'revision', 'notes').rstrip())
    for row in rows:
        notes = '; '.join(row.notes)
        line = ROW_FORMAT.format(row.instance, row.role, row.revision, notes)
        print(line.rstrip())
