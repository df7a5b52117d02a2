"""Option ``--version`` of the programs."""

import argparse
import sys
from collections.abc import Sequence
from typing import Any

from waxwingford.build_info._build_info import read_build_info


class _ShowVersion(argparse.Action):
    """Prints version and digest; files are read only if the option is given."""

    def __call__(
        self,
        parser: argparse.ArgumentParser,
        namespace: argparse.Namespace,
        values: str | Sequence[Any] | None,
        option_string: str | None = None,
    ) -> None:
        """Print version and digest of the running code, and exit."""
        sys.stdout.write(f'{read_build_info()}\n')
        parser.exit()


def add_version_option(parser: argparse.ArgumentParser) -> None:
    """Add the option ``--version`` to a parser.

    :param parser: parser of a program.
    """
    parser.add_argument(
        '--version',
        action=_ShowVersion,
        nargs=0,
        help='show version and digest of the code, and exit',
    )
