"""Plots of a report as SVG text, drawn with matplotlib."""

import datetime
import io
import math

import matplotlib
from matplotlib import dates
from matplotlib import figure

from berylhollow import clock
from berylhollow.report import _records
from berylhollow.report import _summary

WIDTH_IN = 10
TIMELINE_HEIGHT_IN = 2.2
SERIES_HEIGHT_IN = 2.4
# The same in all plots, so that their time axes line up.
MARGINS = {'left': 0.17, 'right': 0.985, 'bottom': 0.2, 'top': 0.88}
MIN_BURN_AXIS_TOP = 1.5
"""Keeps the line at burn rate 1 visible even if all rates are 0."""

MARK_COLOURS = {
    _records.MarkKind.CONFIGURATION: 'tab:green',
    _records.MarkKind.LOAD: 'tab:blue',
    _records.MarkKind.LOAD_FAILED: 'tab:orange',
    _records.MarkKind.RESTART: 'tab:red',
    _records.MarkKind.QUARANTINE: 'tab:purple',
}
# The fixed salt keeps the ids in the SVG, and so the page, reproducible.
SVG_SETTINGS = {'svg.hashsalt': 'berylhollow', 'svg.fonttype': 'none'}


def draw_timeline(summary: _summary.Summary) -> str:
    """Return a plot of the deployment's events, one row per kind."""
    kinds = list(_records.MarkKind)
    fig = figure.Figure(figsize=(WIDTH_IN, TIMELINE_HEIGHT_IN))
    axes = fig.subplots()
    for row, kind in enumerate(kinds):
        times = [_to_utc(x.at_ms) for x in summary.marks if x.kind is kind]
        axes.plot(times, [row] * len(times), '|', color=MARK_COLOURS[kind])
    axes.set_yticks(range(len(kinds)), [kind.value for kind in kinds])
    axes.set_ylim(-0.6, len(kinds) - 0.4)
    _format_time_axis(axes, summary)
    return _render_svg(fig)


def draw_burn_rates(summary: _summary.Summary, service: str) -> str:
    """Return a plot of the burn rates of a service's objectives."""
    fig = figure.Figure(figsize=(WIDTH_IN, SERIES_HEIGHT_IN))
    axes = fig.subplots()
    for series in summary.series:
        if series.service != service:
            continue
        # NaN leaves a gap where there were no answers. A single point between
        # gaps is visible only with a marker.
        axes.plot(
            [_to_utc(at_ms) for at_ms in series.starts_ms],
            [math.nan if rate is None else rate for rate in series.rates],
            marker='.',
            markersize=3,
            label=series.objective.replace('_', ' '),
            linewidth=1.2,
        )
    axes.axhline(1, color='grey', linestyle=':', linewidth=1)
    _draw_event_lines(axes, summary)
    axes.set_ylabel('burn rate')
    axes.set_ylim(0, max(MIN_BURN_AXIS_TOP, axes.get_ylim()[1]))
    axes.legend(
        loc='lower left',
        bbox_to_anchor=(0, 1),
        ncols=len(summary.series),
        frameon=False,
        fontsize=8,
    )
    _format_time_axis(axes, summary)
    return _render_svg(fig)


def _draw_event_lines(axes, summary: _summary.Summary) -> None:
    for mark in summary.marks:
        if mark.kind in (
            _records.MarkKind.RESTART,
            _records.MarkKind.CONFIGURATION,
        ):
            colour = MARK_COLOURS[mark.kind]
            axes.axvline(_to_utc(mark.at_ms), color=colour, alpha=0.4)


def _format_time_axis(axes, summary: _summary.Summary) -> None:
    start, end = _to_utc(summary.start_ms), _to_utc(summary.end_ms)
    if start < end:
        axes.set_xlim(start, end)
    locator = dates.AutoDateLocator()
    axes.xaxis.set_major_locator(locator)
    axes.xaxis.set_major_formatter(dates.ConciseDateFormatter(locator))
    axes.grid(True, axis='x', alpha=0.3)


def _to_utc(at_ms: int) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(
        at_ms / clock.MS_PER_SECOND, datetime.UTC
    )


def _render_svg(fig: figure.Figure) -> str:
    fig.subplots_adjust(**MARGINS)
    text = io.StringIO()
    with matplotlib.rc_context(SVG_SETTINGS):
        fig.savefig(
            text,
            format='svg',
            metadata={'Date': None, 'Creator': None},
        )
    svg = text.getvalue()
    return svg[svg.index('<svg') :]
