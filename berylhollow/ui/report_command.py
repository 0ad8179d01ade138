"""The command ``report``: error-budget burn from the processes' logs."""

import argparse
import importlib
import pathlib

from berylhollow import report
from berylhollow.util import exits

EXAMPLE = (
    'berylhollow report logs/gateway-0.log logs/gateway-1.log '
    '--out report.html'
)
HTML = 'html'
JSON = 'json'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'logs',
        nargs='+',
        type=pathlib.Path,
        metavar='LOG',
        help='log files of gateways, and of sidecars for the timeline',
    )
    parser.add_argument(
        '--out',
        type=pathlib.Path,
        metavar='FILE',
        help='write here instead of to standard output',
    )
    parser.add_argument(
        '--format',
        choices=(HTML, JSON),
        default=HTML,
        help='a page with plots, or the figures (%(default)s)',
    )


def run(arguments: argparse.Namespace) -> int:
    """Write the report; return ``FINDINGS`` if an alert is firing."""
    records = report.parse_log(_read_lines(arguments.logs))
    try:
        summary = report.summarize(records)
    except ValueError as error:
        raise exits.UserError(str(error), exits.ExitCode.INVALID) from error
    if arguments.format == JSON:
        text = report.to_json(summary) + '\n'
    else:
        text = _render_page(summary)
    if arguments.out is None:
        print(text, end='')
    else:
        arguments.out.write_text(text, encoding='utf-8')
    if report.alerting_results(summary):
        return exits.ExitCode.FINDINGS
    return exits.ExitCode.OK


def _render_page(summary: report.Summary) -> str:
    try:
        page = importlib.import_module('berylhollow.report.page')
    except ModuleNotFoundError as error:
        raise exits.UserError(
            'the HTML page needs matplotlib, which is not installed; '
            'use --format json'
        ) from error
    return page.render(summary)


def _read_lines(paths: list[pathlib.Path]):
    for path in paths:
        try:
            with path.open(encoding='utf-8', errors='replace') as log:
                yield from log
        except OSError as error:
            raise exits.UserError(
                f'{path}: {error.strerror}', exits.ExitCode.INVALID
            ) from error
