"""Output of the recovery benchmark."""

import sys


def print_line(line: str) -> None:
    """Print a line and flush it, so that it shows during a long run.

    :param line: text without a newline.
    """
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
