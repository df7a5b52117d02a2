"""Bar charts of tail latency, completed work and evictions."""

import itertools
import pathlib

from matplotlib import use as use_backend
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from waxwingford_bench.colocation._matrix import ABLATION_PREFIX
from waxwingford_bench.colocation._report import Cell

use_backend('Agg')
_INCHES = (11, 5)
_DPI = 110
_FIELDS = ('p99_ms', 'core_h', 'evictions')


def draw(cells: list[Cell], output: pathlib.Path) -> list[pathlib.Path]:
    """Draw one chart for each deployment and figure.

    :param cells: cells of the report.
    :param output: existing output directory.
    :returns: paths of the charts.
    """
    shown = [
        cell for cell in cells if not cell.policy.startswith(ABLATION_PREFIX)
    ]
    names = dict.fromkeys(cell.deployment for cell in shown)
    return [
        _draw_one(
            [cell for cell in shown if cell.deployment == name],
            field,
            output,
        )
        for name, field in itertools.product(names, _FIELDS)
    ]


def _draw_one(
    cells: list[Cell],
    field: str,
    output: pathlib.Path,
) -> pathlib.Path:
    figure = Figure(figsize=_INCHES, layout='constrained')
    axes = figure.subplots()
    scenarios = list(dict.fromkeys(cell.scenario for cell in cells))
    names = list(dict.fromkeys(cell.policy for cell in cells))
    width = 0.8 / len(names)
    for shift, name in enumerate(names):
        row = [cell for cell in cells if cell.policy == name]
        _draw_bars(axes, row, field, shift * width, width)
    if field == 'p99_ms':
        axes.axhline(cells[0].target_ms, color='black', label='target')
        axes.set_yscale('log')
    centres = [place + 0.4 - width / 2 for place in range(len(scenarios))]
    axes.set_xticks(centres, scenarios, rotation=20)
    deployment = cells[0].deployment
    axes.set_title(f'{deployment}: {field}, median and range over seeds')
    axes.legend(fontsize='small')
    path = output / f'{deployment}_{field}.png'
    figure.savefig(path, dpi=_DPI)
    return path


def _draw_bars(
    axes: Axes,
    row: list[Cell],
    field: str,
    offset: float,
    width: float,
) -> None:
    middle = [cell.median(field) for cell in row]
    below = [cell.median(field) - min(cell.column(field)) for cell in row]
    above = [max(cell.column(field)) - cell.median(field) for cell in row]
    places = [place + offset for place in range(len(row))]
    axes.bar(places, middle, width, yerr=[below, above], label=row[0].policy)
