"""Output of the recovery benchmark."""

import sys


def write_line(line: str) -> None:
    """Write a line at once, so that a long run can be followed.

    :param line: without its end.
    """
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
