"""The figures of one run, and the file that keeps them."""

import collections.abc
import dataclasses
import json
import pathlib

from tools.capacity import fits

FIGURES = pathlib.Path('docs/capacity/figures.json')


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """What one more of ``per`` costs, from ``points``.

    ``unit`` is that of the values: bytes, us (processor time) or ms (time
    on the clock). ``how`` says what was measured.
    """

    name: str
    unit: str
    per: str
    how: str
    fit: fits.Fit
    points: tuple[fits.Point, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A figure that has no slope."""

    name: str
    unit: str
    value: float
    how: str


def slope(
    name: str,
    unit: str,
    per: str,
    how: str,
    points: collections.abc.Iterable[fits.Point],
) -> Slope:
    """Return the slope through points that were measured."""
    taken = tuple(points)
    return Slope(name, unit, per, how, fits.line(taken), taken)


def save(group: str, found: collections.abc.Sequence[Slope | Value]) -> None:
    """Replace one group of the file; the others stay as they are."""
    groups = load_groups()
    groups[group] = [dataclasses.asdict(figure) for figure in found]
    FIGURES.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(groups, indent=1, sort_keys=True)
    FIGURES.write_text(text + '\n', encoding='utf-8')


def load_groups() -> dict[str, list[dict]]:
    """Return the groups of the file, none if there is no file."""
    if not FIGURES.exists():
        return {}
    return json.loads(FIGURES.read_text(encoding='utf-8'))


def load() -> dict[str, Slope | Value]:
    """Return every figure of the file by its name."""
    found = {}
    for rows in load_groups().values():
        for row in rows:
            found[row['name']] = _parse(row)
    return found


def _parse(row: dict) -> Slope | Value:
    if 'value' in row:
        return Value(**row)
    points = tuple(fits.Point(**point) for point in row['points'])
    fit = fits.Fit(**row['fit'])
    return Slope(**(row | {'fit': fit, 'points': points}))
