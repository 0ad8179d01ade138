"""Write the figures into the page, between its markers."""

import pathlib
import re

from tools.capacity import figures

PAGE = pathlib.Path('docs/CAPACITY.md')
MARKED = re.compile(
    r'(<!-- table: (?P<name>[\w-]+) -->\n).*?(<!-- end -->)', re.DOTALL
)
POOR_R2 = 0.98
"""A line that explains less is named in the result."""
FLAT_SHARE = 0.25
"""A slope that moves the value by less than this is flat, r2 or not."""

Found = dict[str, figures.Slope | figures.Value]


def write() -> int:
    """Fill every marked place of the page; return how many there are.

    Raises KeyError for a marker whose table is unknown.
    """
    found = figures.load()
    text, count = MARKED.subn(
        lambda match: match[1] + table(match['name'], found) + match[3],
        PAGE.read_text(encoding='utf-8'),
    )
    PAGE.write_text(text, encoding='utf-8')
    return count


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
        if not _is_slope(item)
    ]
    return lines(('figure', 'value', 'how'), rows)


_TABLES = {'slopes': _slopes, 'values': _values}
