"""The ``--live`` mode of the command ``replay``."""

import argparse
import asyncio
import dataclasses
import json

from berylhollow import replay
from berylhollow import settings
from berylhollow.util import exits

LIVE_NOTE = (
    'Live, the exit code is 5 if an answer was wrong, doubled or cut short; '
    'typed errors and broken connections are counted, and are no findings.'
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group('live', LIVE_NOTE)
    group.add_argument(
        '--live',
        nargs='+',
        action='extend',
        metavar='URL',
        help='gateways to call by turns, http://IP:PORT; their endpoints '
        'must be stand-ins, whose answers can be checked',
    )
    group.add_argument(
        '--speed',
        type=float,
        default=1.0,
        help='how much faster than the trace (1)',
    )
    group.add_argument(
        '--most-open',
        type=int,
        default=512,
        metavar='COUNT',
        help='requests open at once; more are counted as not sent (512)',
    )
    group.add_argument(
        '--fault-target',
        action='append',
        default=[],
        metavar='NAME=URL',
        help='the stand-in that takes the faults of a target of the trace; '
        'faults of other targets are skipped',
    )


def run(arguments: argparse.Namespace) -> int:
    """Send the trace to running gateways and print the results.

    Returns ``FINDINGS`` if an answer was wrong, duplicated or cut short.
    """
    options = replay.LiveOptions(
        gateways=tuple(_parse_url(url) for url in arguments.live),
        speed=arguments.speed,
        most_open=arguments.most_open,
        fault_urls=dict(
            _parse_fault_target(text) for text in arguments.fault_target
        ),
    )
    items = replay.read_trace(arguments.trace)
    result = asyncio.run(replay.LiveReplay(items, options).run())
    if arguments.format == 'json':
        print(json.dumps(dataclasses.asdict(result), indent=2))
    else:
        _print_text(result)
    if result.findings:
        return exits.ExitCode.FINDINGS
    return exits.ExitCode.OK


def _parse_url(text: str) -> str:
    try:
        return settings.parse_http_url(text)
    except ValueError as error:
        raise exits.UserError(
            f'{text}: {error}', exits.ExitCode.INVALID
        ) from error


def _parse_fault_target(text: str) -> tuple[str, str]:
    name, separator, url = text.partition('=')
    if not separator:
        raise exits.UserError(
            f'--fault-target: {text!r} is not NAME=URL',
            exits.ExitCode.INVALID,
        )
    return name, _parse_url(url)


def _print_text(result: replay.LiveResult) -> None:
    for service in result.services:
        print(f'{service.service}: {service.requests} requests')
        print(f'    outcomes: {_format_counts(service.verdicts)}')
        print(f'    whole by their deadline: {service.on_time}')
        if service.errors:
            print(f'    errors by kind: {_format_counts(service.errors)}')
            print(
                f'    errors by whether it ran: {_format_counts(service.ran)}'
            )
        print(f'    first byte: {_format_durations(service.first_byte)}')
        print(f'    whole answer: {_format_durations(service.response)}')
    if result.faults_begun or result.faults_skipped:
        print(
            f'faults: {result.faults_begun} begun, '
            f'{result.faults_skipped} skipped'
        )
    print(f'latest start behind the trace: {result.latest_start_ms} ms')
    print(f'live replay: {result.findings} findings')


def _format_counts(counts: dict[str, int]) -> str:
    return ', '.join(f'{name} {count}' for name, count in counts.items())


def _format_durations(distribution: replay.Distribution) -> str:
    return (
        f'p50 {distribution.p50_ms} ms, p95 {distribution.p95_ms} ms, '
        f'p99 {distribution.p99_ms} ms, longest {distribution.max_ms} ms'
    )
