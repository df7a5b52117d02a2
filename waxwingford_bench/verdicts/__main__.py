"""Tells from the journal which plays broke a rule, and which served too little.

Exit codes: 0 clean, 1 a rule is broken, something is short or has no result, 2 an
entry can't be read.
"""

import argparse
import pathlib
import sys

from waxwingford_bench.verdicts._entries import (
    Entry,
    EntryError,
    read_entry,
    sort_entries,
)
from waxwingford_bench.verdicts._verdict import judge, render

JOURNAL = pathlib.Path('journal')
_UNREADABLE = 2


def _parse(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'files',
        metavar='FILE',
        nargs='*',
        type=pathlib.Path,
        help='entries; all of the journal by default',
    )
    parser.add_argument('--deployment', help='only entries of this deployment')
    parser.add_argument(
        '--commit', default='', help='only entries of commits that begin so'
    )
    parser.add_argument(
        '--command',
        action='append',
        help='only entries of this command of the bench, such as hunt',
    )
    parser.add_argument(
        '--since',
        default='',
        metavar='TIME',
        help='only entries that began then or later, such as 2026-01-31T08',
    )
    return parser.parse_args(argv)


def _is_selected(entry: Entry, options: argparse.Namespace) -> bool:
    return (
        options.deployment in (None, entry.deployment)
        and entry.commit.startswith(options.commit)
        and (not options.command or entry.command in options.command)
        and entry.times[0] >= options.since
    )


def main(argv: list[str] | None = None) -> int:
    """Print the verdict on entries of the journal.

    :param argv: arguments; those of the process by default.
    :returns: exit code.
    """
    options = _parse(argv)
    paths = options.files or sorted(JOURNAL.glob('*.json'))
    try:
        entries = [read_entry(path) for path in paths]
    except EntryError as error:
        sys.stderr.write(f'{error}\n')
        return _UNREADABLE
    selected = [entry for entry in entries if _is_selected(entry, options)]
    lines = render(sort_entries(selected))
    sys.stdout.writelines(f'{line}\n' for line in lines)
    return 0 if judge(selected).clean else 1


if __name__ == '__main__':
    sys.exit(main())
