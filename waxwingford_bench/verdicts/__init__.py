"""Verdicts on recorded plays: which broke a rule, and where too little was served."""

from waxwingford_bench.verdicts._entries import (
    Entry,
    EntryError,
    Play,
    read_entry,
    sort_entries,
)
from waxwingford_bench.verdicts._verdict import Verdict, judge, render

__all__ = (
    'Entry',
    'EntryError',
    'Play',
    'Verdict',
    'judge',
    'read_entry',
    'render',
    'sort_entries',
)
