"""Write the figures into the page, between its markers."""

import dataclasses
import json
import pathlib
import re

from tools.capacity import figures
from tools.capacity import model

PAGE = pathlib.Path('docs/CAPACITY.md')
OVERHEAD = pathlib.Path('docs/capacity/overhead.json')
MARKED = re.compile(
    r'(<!-- table: (?P<name>[\w-]+) -->\n).*?(<!-- end -->)', re.DOTALL
)
POOR_R2 = 0.98
"""A line that explains less is named in the result."""
FLAT_SHARE = 0.25
"""A slope that moves the value by less than this is flat, r2 or not."""

Found = dict[str, figures.Slope | figures.Value]


def write() -> int:
    """Fill every marked place of the page; return how many there are."""
    text, count = render(PAGE.read_text(encoding='utf-8'))
    PAGE.write_text(text, encoding='utf-8')
    return count


def render(page: str) -> tuple[str, int]:
    """Return a page with its marked places filled, and how many it has.

    Raises KeyError for a marker whose table is unknown, or whose figures
    were not measured.
    """
    found = figures.load()
    return MARKED.subn(
        lambda match: match[1] + table(match['name'], found) + match[3], page
    )


def table(name: str, found: Found) -> str:
    """Return the lines of one table."""
    return _TABLES[name](found)


def poor(found: Found) -> list[figures.Slope]:
    """Return the slopes whose points do not lie on a line."""
    slopes = [item for item in found.values() if _is_slope(item)]
    return [
        item for item in slopes if item.fit.r2 < POOR_R2 and not flat(item)
    ]


def flat(slope: figures.Slope) -> bool:
    """Tell whether the size hardly moves the value, as far as measured."""
    largest = max(point.size for point in slope.points)
    return abs(slope.fit.slope) * largest < FLAT_SHARE * abs(slope.fit.base)


def lines(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a table in Markdown."""
    ruled = [head, tuple('---' for _ in head), *rows]
    return ''.join(f'| {" | ".join(row)} |\n' for row in ruled)


def number(value: float) -> str:
    """Return a number with three or more digits that count."""
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _is_slope(item: figures.Slope | figures.Value) -> bool:
    return isinstance(item, figures.Slope)


def _slopes(found: Found) -> str:
    rows = [
        (
            f'`{item.name}`',
            f'{number(item.fit.slope)} {item.unit}',
            f'± {number(item.fit.spread)}',
            item.per,
            number(item.fit.base),
            f'{item.fit.r2:.4f}',
            f'{number(item.points[0].size)} to {number(item.points[-1].size)}',
            item.how,
        )
        for item in found.values()
        if _is_slope(item)
    ]
    head = ('figure', 'slope', 'spread', 'per', 'base', 'r²', 'sizes', 'how')
    return lines(head, rows)


def _values(found: Found) -> str:
    rows = [
        (f'`{item.name}`', f'{number(item.value)} {item.unit}', item.how)
        for item in found.values()
        if not _is_slope(item) and not item.name.startswith('control.')
    ]
    return lines(('figure', 'value', 'how'), rows)


def _role(rows: tuple[model.Row, ...], found: Found) -> str:
    head = ('', 'unit', *(size.name for size in model.SIZES), 'worked out')
    body = [
        (
            row.what,
            row.unit,
            *(number(row.work_out(found, size)) for size in model.SIZES),
            row.how,
        )
        for row in rows
    ]
    return lines(head, body)


def _sizes(found: Found) -> str:
    names = [field.name for field in dataclasses.fields(model.Size)][1:]
    rows = [
        (
            name.replace('_', ' '),
            *(f'{getattr(size, name):,.0f}' for size in model.SIZES),
        )
        for name in names
    ]
    return lines(('', *(size.name for size in model.SIZES)), rows)


def _control(found: Found) -> str:
    rows = []
    for role in ('gateway', 'sidecar'):
        for at in ('10', '100', '100_busy'):
            cells = [
                found[f'control.{role}.{what}.{at}']
                for what in ('resident', 'processor', 'traffic')
            ]
            rows.append(
                (role, cells[0].how, *(number(x.value) for x in cells))
            )
    head = ('role', 'deployment', 'KiB resident', '% of a core', 'bytes/s')
    return lines(head, rows)


def _overhead(found: Found) -> str:
    measured = json.loads(OVERHEAD.read_text(encoding='utf-8'))
    rows = [
        (name, *(_cell(values, way) for way in ('direct', 'bare', 'ours')))
        for name, values in sorted(measured.items())
        if isinstance(values, dict) and 'bare' in values
    ]
    return lines(('figure', 'no hop', 'bare', 'ours'), rows)


def _cell(values: dict, way: str) -> str:
    return number(values[way]) if way in values else ''


_TABLES = {
    'control': _control,
    'gateway': lambda found: _role(model.GATEWAY, found),
    'overhead': _overhead,
    'platform': lambda found: _role(model.PLATFORM, found),
    'sidecar': lambda found: _role(model.SIDECAR, found),
    'sizes': _sizes,
    'slopes': _slopes,
    'values': _values,
}
