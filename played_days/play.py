"""Play the days of this folder on a site, one after the other."""

import argparse
import pathlib
import subprocess
import sys

HERE = pathlib.Path(__file__).parent
WHY = 'days of our own: {name}'
LATEST_S = 600


def play(program: str, site: str, day: pathlib.Path) -> str:
    """Play one day.

    :param program: of the bench.
    :param site: site file.
    :param day: file of the day.
    :returns: the line of the day, or the end of what was printed.
    """
    finished = subprocess.run(
        (program, 'run', site, str(day), '--why', WHY.format(name=day.stem)),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=LATEST_S,
    )
    lines = finished.stdout.splitlines()
    rows = [line for line in lines if line.startswith(day.stem)]
    broken = [line for line in lines if 'broken: ' in line.lower()]
    return '\n'.join(rows + broken) or '\n'.join(lines[-3:])


def main() -> None:
    """Play the days that are named, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('program')
    parser.add_argument('site')
    parser.add_argument('names', nargs='*')
    options = parser.parse_args()
    days = sorted(HERE.glob('*.toml'))
    found = False
    for day in days:
        if options.names and day.stem not in options.names:
            continue
        shown = play(options.program, options.site, day)
        found = found or 'broken' in shown.lower()
        sys.stdout.write(f'{shown}\n')
        sys.stdout.flush()
    sys.exit(1 if found else 0)


if __name__ == '__main__':
    main()
