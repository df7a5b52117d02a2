"""Text and JSON report: medians, ranges and comparison with baselines."""

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
from waxwingford_bench.colocation._run import (
    DECISION_INTERVAL_S,
    DURATION_S,
    Figures,
)

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
    """Figures of one policy under one scenario, for all seeds.

    :ivar deployment: name of the deployment.
    :ivar scenario: name of the scenario.
    :ivar policy: name of the policy.
    :ivar target_ms: target for the 99th percentile of response times.
    :ivar figures_by_seed: figures by seed.
    """

    deployment: str
    scenario: str
    policy: str
    target_ms: float
    figures_by_seed: dict[int, Figures]

    def median(self, field: str) -> float:
        """Compute the median of a figure over the seeds.

        :param field: field of the figures.
        :returns: the median.
        """
        return statistics.median(self.column(field))

    def column(self, field: str) -> list[float]:
        """List the values of a figure.

        :param field: field of the figures.
        :returns: values in order of the seeds.
        """
        return [
            getattr(figures, field) for figures in self.figures_by_seed.values()
        ]


class Verdict(NamedTuple):
    """Comparison of the learned policy with the baselines in one scenario.

    :ivar deployment: name of the deployment.
    :ivar scenario: name of the scenario.
    :ivar seeds: number of seeds.
    :ivar met: seeds in which the learned policy meets the target.
    :ivar baseline_met: seeds in which some baseline meets the target.
    :ivar missed: seeds in which a baseline meets the target and the learned
        policy does not.
    :ivar work_ratio: median over seeds of learned work divided by that of
        the best baseline within the target; None if no baseline meets it.
    :ivar eviction_ratio: learned evictions divided by those of evict_at_once.
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

    :param outcomes: outcomes of all runs.
    :returns: cells in the order of the runs.
    """
    cell_by_name: dict[tuple[str, str, str], Cell] = {}
    for run, figures in outcomes:
        name = (run.deployment.name, run.scenario.name, run.policy)
        target_ms = run.deployment.weights.target_p99_ms
        cell = cell_by_name.setdefault(name, Cell(*name, target_ms, {}))
        cell.figures_by_seed[run.seed] = figures
    return list(cell_by_name.values())


def compare_with_baselines(cells: list[Cell]) -> list[Verdict]:
    """Compare the learned policy with the baselines, seed by seed.

    :param cells: cells of all policies.
    :returns: one verdict for each deployment and scenario.
    """
    cell_by_name = {cell[:3]: cell for cell in cells}
    return [
        _compare_cell(
            cell,
            [cell_by_name[(*cell[:2], name)] for name in BASELINES],
        )
        for cell in cells
        if cell.policy == LEARNED
    ]


def _compare_cell(learned: Cell, baselines: list[Cell]) -> Verdict:
    met_seeds = _seeds_within_target(learned)
    best_by_seed = {
        seed: max(works)
        for seed in learned.figures_by_seed
        if (works := _work_within_target(baselines, seed))
    }
    ratios = [
        learned.figures_by_seed[seed].core_h / best
        for seed, best in best_by_seed.items()
    ]
    evict_at_once = next(
        cell for cell in baselines if cell.policy == 'evict_at_once'
    )
    return Verdict(
        learned.deployment,
        learned.scenario,
        len(learned.figures_by_seed),
        len(met_seeds),
        len(best_by_seed),
        len(best_by_seed.keys() - met_seeds),
        statistics.median(ratios) if ratios else None,
        learned.median('evictions') / max(evict_at_once.median('evictions'), 1),
    )


def _seeds_within_target(cell: Cell) -> set[int]:
    return {
        seed
        for seed, figures in cell.figures_by_seed.items()
        if figures.p99_ms <= cell.target_ms
    }


def _work_within_target(cells: list[Cell], seed: int) -> list[float]:
    return [
        cell.figures_by_seed[seed].core_h
        for cell in cells
        if seed in _seeds_within_target(cell)
    ]


def format_text(cells: list[Cell], seeds: list[int]) -> str:
    """Format the report as text.

    :param cells: cells of the report.
    :param seeds: reporting seeds.
    :returns: text of the report.
    """
    lines = [
        'Colocation policies in virtual time',
        f'reporting seeds {seeds}; tuning seeds {list(TUNING_SEEDS)}',
        f'{DURATION_S} s a run, decisions each {DECISION_INTERVAL_S} s; '
        'medians over seeds',
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
    lines += map(_verdict_row, compare_with_baselines(cells))
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
    met = f'{len(_seeds_within_target(cell))}/{len(p99s)}'
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
    """Write the report as text and JSON.

    :param cells: cells of the report.
    :param seeds: reporting seeds.
    :param output: existing output directory.
    :returns: text of the report.
    """
    text = format_text(cells, seeds)
    (output / 'colocation.txt').write_text(text)
    document = {
        'reporting_seeds': seeds,
        'default_reporting_seeds': list(REPORTING_SEEDS),
        'tuning_seeds': list(TUNING_SEEDS),
        'cells': [_as_json(cell) for cell in cells],
        'verdicts': [
            verdict._asdict() for verdict in compare_with_baselines(cells)
        ],
    }
    (output / 'colocation.json').write_text(json.dumps(document, indent=1))
    return text


def _as_json(cell: Cell) -> dict[str, object]:
    figures = {
        str(seed): entry._asdict()
        for seed, entry in cell.figures_by_seed.items()
    }
    return {**cell._asdict(), 'figures_by_seed': figures}
