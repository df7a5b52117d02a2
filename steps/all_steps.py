"""Load the step functions that stand beside each subpackage's features."""

import importlib
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent


def load_step_modules() -> None:
    """Import every ``tests/*_steps.py`` below the packages."""
    for path in sorted(ROOT.glob('waxwingford*/**/tests/*_steps.py')):
        parts = path.relative_to(ROOT).with_suffix('').parts
        importlib.import_module('.'.join(parts))


load_step_modules()
