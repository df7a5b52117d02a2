"""Report of all runs: medians and spread by cell, verdicts, text and JSON."""

import itertools
import json
import pathlib
import statistics
from collections.abc import Iterable
from typing import NamedTuple

from waxwingford_bench.colocation._matrix import (
    BASELINES,
    LEARNED,
    REPORTING_SEEDS,
    TUNING_SEEDS,
    Outcome,
)
from waxwingford_bench.colocation._run import DECIDE_S, LENGTH_S, Figures

_COLUMNS = (
    ('p50_ms', 'p50', '{:6.0f}'),
    ('p99_ms', 'p99', '{:7.1f}'),
    ('p999_ms', 'p99.9', '{:7.0f}'),
    ('over_share', 'over', '{:6.3f}'),
    ('core_h', 'work', '{:6.1f}'),
    ('lost_core_h', 'lost', '{:6.2f}'),
    ('evictions', 'evict', '{:6.0f}'),
    ('throttles', 'thrott', '{:6.0f}'),
    ('refused', 'refuse', '{:6.0f}'),
    ('unfairness', 'unfair', '{:6.2f}'),
)


class Cell(NamedTuple):
    """All seeds of one policy under one scenario.

    :ivar deployment: name.
    :ivar scenario: name.
    :ivar policy: name.
    :ivar target_ms: target of the service's 99th percentile.
    :ivar figures_by_seed: figures.
    """

    deployment: str
    scenario: str
    policy: str
    target_ms: float
    figures_by_seed: dict[int, Figures]

    def median(self, field: str) -> float:
        """Compute a median over the seeds.

        :param field: of the figures.
        :returns: the median.
        """
        return statistics.median(self.column(field))

    def column(self, field: str) -> list[float]:
        """List a figure by seed.

        :param field: of the figures.
        :returns: values in order of the seeds.
        """
        return [
            getattr(figures, field) for figures in self.figures_by_seed.values()
        ]


class Verdict(NamedTuple):
    """Learned against the baselines in one scenario.

    :ivar deployment: name.
    :ivar scenario: name.
    :ivar seeds: how many.
    :ivar met: seeds in which learned meets the target.
    :ivar baseline_met: seeds in which some baseline meets it.
    :ivar missed: seeds in which a baseline meets it and learned does not.
    :ivar work_ratio: median of learned work by that of the best baseline
        that meets the target; None if none does in any seed.
    :ivar eviction_ratio: learned evictions by those of evict_at_once.
    """

    deployment: str
    scenario: str
    seeds: int
    met: int
    baseline_met: int
    missed: int
    work_ratio: float | None
    eviction_ratio: float


def group(outcomes: Iterable[Outcome]) -> list[Cell]:
    """Group runs by deployment, scenario and policy.

    :param outcomes: of all runs.
    :returns: cells in the order of the runs.
    """
    cell_by_name: dict[tuple[str, str, str], Cell] = {}
    for run, figures in outcomes:
        name = (run.deployment.name, run.scenario.name, run.policy)
        target_ms = run.deployment.weights.target_p99_ms
        cell = cell_by_name.setdefault(name, Cell(*name, target_ms, {}))
        cell.figures_by_seed[run.seed] = figures
    return list(cell_by_name.values())


def judge(cells: list[Cell]) -> list[Verdict]:
    """Compare learned with the baselines of the same seeds.

    :param cells: all cells.
    :returns: one verdict for each deployment and scenario.
    """
    cell_by_name = {cell[:3]: cell for cell in cells}
    return [
        _judge_one(
            cell,
            [cell_by_name[(*cell[:2], name)] for name in BASELINES],
        )
        for cell in cells
        if cell.policy == LEARNED
    ]


def _judge_one(learned: Cell, baselines: list[Cell]) -> Verdict:
    meets = _meeting_seeds(learned)
    best_by_seed = {
        seed: max(works)
        for seed in learned.figures_by_seed
        if (works := _meeting_works(baselines, seed))
    }
    ratios = [
        learned.figures_by_seed[seed].core_h / best
        for seed, best in best_by_seed.items()
    ]
    at_once = next(cell for cell in baselines if cell.policy == 'evict_at_once')
    return Verdict(
        learned.deployment,
        learned.scenario,
        len(learned.figures_by_seed),
        len(meets),
        len(best_by_seed),
        len(best_by_seed.keys() - meets),
        statistics.median(ratios) if ratios else None,
        learned.median('evictions') / max(at_once.median('evictions'), 1),
    )


def _meeting_seeds(cell: Cell) -> set[int]:
    return {
        seed
        for seed, figures in cell.figures_by_seed.items()
        if figures.p99_ms <= cell.target_ms
    }


def _meeting_works(cells: list[Cell], seed: int) -> list[float]:
    return [
        cell.figures_by_seed[seed].core_h
        for cell in cells
        if seed in _meeting_seeds(cell)
    ]


def format_text(cells: list[Cell], seeds: list[int]) -> str:
    """Write the report for people.

    :param cells: all cells.
    :param seeds: reporting seeds.
    :returns: text.
    """
    lines = [
        'Colocation policies in virtual time',
        f'reporting seeds {seeds}; tuning seeds {list(TUNING_SEEDS)}',
        f'{LENGTH_S} s a run, decisions each {DECIDE_S} s; medians over seeds',
        'p50, p99, p99.9: response times of the service, ms; [..]: p99 range;',
        'met: seeds with p99 within target; over: share of 10 s windows of',
        'servers over target; work, lost: core hours; unfair: largest by',
        'smallest share of members',
    ]
    for (deployment, scenario), members in itertools.groupby(
        cells,
        key=lambda cell: cell[:2],
    ):
        block = list(members)
        target = f'target {block[0].target_ms:.0f} ms'
        lines += ['', f'{deployment} / {scenario}, {target}', _header()]
        lines += map(_row, block)
    lines += ['', 'Learned against baselines, by seed']
    lines += map(_verdict_row, judge(cells))
    return '\n'.join([*lines, ''])


def _header() -> str:
    titles = ' '.join(
        title.rjust(len(shape.format(0))) for _, title, shape in _COLUMNS
    )
    return f'{"policy":30}{titles}  met  [p99 range]'


def _row(cell: Cell) -> str:
    figures = ' '.join(
        shape.format(cell.median(field)) for field, _, shape in _COLUMNS
    )
    p99s = cell.column('p99_ms')
    met = f'{len(_meeting_seeds(cell))}/{len(p99s)}'
    spread = f'[{min(p99s):.0f}-{max(p99s):.0f}]'
    return f'{cell.policy:30}{figures}  {met}  {spread}'


def _verdict_row(verdict: Verdict) -> str:
    ratio = '   -'
    if verdict.work_ratio is not None:
        ratio = f'{verdict.work_ratio:.2f}'
    return (
        f'{verdict.deployment:10}{verdict.scenario:20}'
        f'met {verdict.met}/{verdict.seeds}; some baseline met '
        f'{verdict.baseline_met}/{verdict.seeds}, learned missed '
        f'{verdict.missed} of these; work by best such baseline {ratio}; '
        f'evictions by evict_at_once {verdict.eviction_ratio:.2f}'
    )


def write_report(
    cells: list[Cell], seeds: list[int], output: pathlib.Path
) -> str:
    """Write text and JSON into a directory.

    :param cells: all cells.
    :param seeds: reporting seeds.
    :param output: an existing directory.
    :returns: the text.
    """
    text = format_text(cells, seeds)
    (output / 'colocation.txt').write_text(text)
    document = {
        'reporting_seeds': seeds,
        'default_reporting_seeds': list(REPORTING_SEEDS),
        'tuning_seeds': list(TUNING_SEEDS),
        'cells': [_as_json(cell) for cell in cells],
        'verdicts': [verdict._asdict() for verdict in judge(cells)],
    }
    (output / 'colocation.json').write_text(json.dumps(document, indent=1))
    return text


def _as_json(cell: Cell) -> dict[str, object]:
    figures = {
        str(seed): entry._asdict()
        for seed, entry in cell.figures_by_seed.items()
    }
    return {**cell._asdict(), 'figures_by_seed': figures}
