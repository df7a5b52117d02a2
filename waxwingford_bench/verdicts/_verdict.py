"""Judges entries of the journal: clean only if nothing is broken or short."""

import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from waxwingford_bench.verdicts._entries import Entry, Play

#: Shortfalls of the largest jobs of a class, which its total hides.
_BY_SIZE = re.compile(r'of the (largest tenth|next largest fifth) of ')


class Verdict(NamedTuple):
    """Counts of plays.

    :ivar broken: plays that broke a rule or didn't count.
    :ivar short: plays in which too little was served, of any kind.
    :ivar short_by_size: those of them that served too few of the largest jobs.
    :ivar missed: plays that failed for a reason that is neither.
    :ivar unplayed: entries without a result.
    """

    plays: int
    broken: int
    short: int
    short_by_size: int
    missed: int
    unplayed: int

    @property
    def clean(self) -> bool:
        """Whether anything was played, and nothing was found."""
        found = self.broken + self.short + self.missed + self.unplayed
        return bool(self.plays) and not found


def judge(entries: Iterable[Entry]) -> Verdict:
    """Count the plays of entries."""
    listed = list(entries)
    plays = [play for entry in listed for play in entry.plays]
    return Verdict(
        len(plays),
        sum(map(_is_broken, plays)),
        sum(bool(play.shortfalls) for play in plays),
        sum(any(map(_BY_SIZE.match, play.shortfalls or ())) for play in plays),
        sum(map(_is_missed, plays)),
        sum(_is_unplayed(entry) for entry in listed),
    )


def render(entries: Iterable[Entry]) -> Iterator[str]:
    """Write a line for each entry, and one for each finding.

    :returns: lines without their ends; the last one is the verdict.
    """
    listed = list(entries)
    for entry in listed:
        verdict = judge([entry])
        modified = ' modified' if entry.modified else ''
        yield (
            f'{entry.times[0]} {entry.id} {entry.command}'
            f' {entry.deployment} {entry.commit[:7]}{modified}:'
            f' {_counts(verdict)}'
        )
        if _is_unplayed(entry):
            yield f'  no result: {entry.error or "no play was recorded"}'
        for play in entry.plays:
            yield from (f'  {play.name}: {text}' for text in _findings(play))
    total = judge(listed)
    yield f'{"clean" if total.clean else "not clean"}: {_counts(total)}'


def _counts(verdict: Verdict) -> str:
    counts = [
        f'{verdict.plays} played',
        f'{verdict.broken} broke a rule',
        f'{verdict.short} short ({verdict.short_by_size} by size)',
    ]
    if verdict.missed:
        counts.append(f'{verdict.missed} failed otherwise')
    if verdict.unplayed:
        counts.append(f'{verdict.unplayed} without result')
    return ', '.join(counts)


def _findings(play: Play) -> Iterator[str]:
    if play.fault:
        yield f'does not count: {play.fault}'
    yield from (f'broke {rule} {count}' for rule, count in play.rules.items())
    yield from iter(play.shortfalls or ())
    if _is_missed(play):
        yield 'failed, no reason recorded'


def _is_broken(play: Play) -> bool:
    return bool(play.rules or play.fault)


def _is_missed(play: Play) -> bool:
    return play.gate is False and not (_is_broken(play) or play.shortfalls)


def _is_unplayed(entry: Entry) -> bool:
    return bool(entry.error) or not entry.plays


__all__ = ('Verdict', 'judge', 'render')
