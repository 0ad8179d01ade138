"""Render the report as one self-contained HTML page."""

import datetime
import html

from berylhollow import clock
from berylhollow.report import _burn
from berylhollow.report import _plots
from berylhollow.report import _records
from berylhollow.report import _summary

STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 66em;
       padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 0.8em 0; }
th, td { border-bottom: 1px solid #ddd; padding: 0.25em 0.8em;
         text-align: left; vertical-align: top; }
.number { text-align: right; }
.bad { background: #fdd; font-weight: bold; }
.thin { color: #888; }
svg { max-width: 100%; height: auto; }
"""
LEGEND = (
    '<p class="thin">Burn is the rate over the long / the short window; 1 '
    'uses the budget up in 28 days. Grey: the logs are shorter than the long '
    'window. Red: an alert, or a budget that is used up.</p>'
)
MAX_MARKS = 20


def render(summary: _summary.Summary) -> str:
    """Return the page as HTML text."""
    services = sorted({result.service for result in summary.results})
    parts = [
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
        '<title>berylhollow: service-level burn</title>',
        f'<style>{STYLE}</style></head><body>',
        '<h1>Service-level burn</h1>',
        _time_range(summary),
        '<h2>Alerts</h2>',
        _alert_table(summary),
        '<h2>Timeline</h2>',
        _plots.draw_timeline(summary),
        _mark_table(summary),
        LEGEND,
    ]
    for service in services:
        parts += _service_section(summary, service)
    parts += [
        '<h2>Worst adapters</h2>',
        _worst_table('adapter', summary.worst_adapters),
        '<h2>Worst callers</h2>',
        _worst_table('caller', summary.worst_callers),
        '<h2>Errors by kind</h2>',
        _table(['kind', 'answers'], [list(pair) for pair in summary.kinds]),
        '</body></html>',
    ]
    return '\n'.join(parts)


def _time_range(summary: _summary.Summary) -> str:
    start, end = _format_time(summary.start_ms), _format_time(summary.end_ms)
    text = f'{summary.answers} answers from {start} to {end} UTC.'
    if summary.skipped:
        text += f' {summary.skipped} lines were not understood.'
    return f'<p>{html.escape(text)}</p>'


def _alert_table(summary: _summary.Summary) -> str:
    rows = [
        _alert_row(result) for result in _summary.alerting_results(summary)
    ]
    return _table(['service', 'objective', 'alert', 'burn', 'seen'], rows)


def _alert_row(result: _summary.Result) -> list:
    firing = [window for window in result.burn.windows if window.alert]
    # WINDOWS lists the most urgent window first.
    burns = [
        f'{burn.window.name}: {burn.long_rate:.1f} / {burn.short_rate:.1f}, '
        f'threshold {burn.window.threshold}'
        for burn in firing
    ]
    covered = any(burn.covered for burn in firing)
    return [
        result.service,
        result.objective.title,
        firing[0].window.severity,
        '; '.join(burns),
        'whole window' if covered else 'logs are shorter',
    ]


def _mark_table(summary: _summary.Summary) -> str:
    """Return a table of the latest marks, without the frequent loads."""
    shown = [
        mark
        for mark in summary.marks
        if mark.kind is not _records.MarkKind.LOAD
    ]
    rows = [
        [_format_time(mark.at_ms), mark.kind.value, mark.instance, mark.detail]
        for mark in shown[-MAX_MARKS:]
    ]
    if len(shown) > MAX_MARKS:
        rows.insert(0, [f'{len(shown) - MAX_MARKS} earlier', '', '', ''])
    return _table(['time, UTC', 'what', 'where', 'detail'], rows)


def _service_section(summary: _summary.Summary, service: str) -> list[str]:
    results = [x for x in summary.results if x.service == service]
    windows = [window.name for window in _burn.WINDOWS]
    header = ['objective', 'target', 'good', 'bad', 'budget left']
    header += [f'burn {name}' for name in windows]
    rows = [_objective_row(result) for result in results]
    return [
        f'<h2>Service {html.escape(service)}</h2>',
        _table(header, rows),
        _plots.draw_burn_rates(summary, service),
    ]


def _objective_row(result: _summary.Result) -> list:
    burn = result.burn
    left = f'{burn.budget_left:.1%}'
    if burn.budget_left < 0:
        left = f'none: {1 - burn.budget_left:.0%} used'
    cells: list = [
        result.objective.title,
        f'{result.objective.target:.0%}',
        burn.good,
        burn.bad,
        _Cell(left, 'bad' if burn.budget_left < 0 else ''),
    ]
    for window in burn.windows:
        text = f'{window.long_rate:.1f} / {window.short_rate:.1f}'
        css_class = 'bad' if window.alert else ''
        if not window.covered:
            css_class += ' thin'
        cells.append(_Cell(text, css_class.strip()))
    return cells


class _Cell:
    """A table cell with a CSS class."""

    def __init__(self, text: str, css_class: str):
        self.text = text
        self.css_class = css_class


def _worst_table(name: str, worst: tuple[_summary.WorstEntry, ...]) -> str:
    rows = [[item.name, item.answers, item.bad] for item in worst]
    return _table([name, 'answers', 'with a missed objective'], rows)


def _table(header: list[str], rows: list[list]) -> str:
    if not rows:
        return '<p>None.</p>'
    head = ''.join(f'<th>{html.escape(name)}</th>' for name in header)
    body = ''.join(
        '<tr>' + ''.join(_render_cell(value) for value in row) + '</tr>'
        for row in rows
    )
    return f'<table><tr>{head}</tr>{body}</table>'


def _render_cell(value) -> str:
    if isinstance(value, _Cell):
        css_class = f' class="{value.css_class}"' if value.css_class else ''
        return f'<td{css_class}>{html.escape(value.text)}</td>'
    css_class = ' class="number"' if isinstance(value, int) else ''
    return f'<td{css_class}>{html.escape(str(value))}</td>'


def _format_time(at_ms: int) -> str:
    time = datetime.datetime.fromtimestamp(
        at_ms / clock.MS_PER_SECOND, datetime.UTC
    )
    return f'{time:%Y-%m-%d %H:%M:%S}'
