"""Loads bundles from TOML files."""

import dataclasses
import pathlib

from waxwingford.bundles._canonical import Body
from waxwingford.bundles._model import Bundle
from waxwingford.settings import Problem, load_toml


@dataclasses.dataclass(frozen=True, slots=True)
class BundleLoaded:
    """The file is valid."""

    bundle: Bundle


@dataclasses.dataclass(frozen=True, slots=True)
class BundleInvalid:
    """The file is invalid.

    :ivar problems: all problems found in the file.
    """

    problems: tuple[Problem, ...]


def load_bundle(path: str | pathlib.Path) -> BundleLoaded | BundleInvalid:
    """Load a bundle from a TOML file."""
    loaded = load_toml(path, Bundle)
    if isinstance(loaded, Bundle):
        return BundleLoaded(loaded)
    return BundleInvalid(loaded)


def bundle_body(bundle: Bundle) -> Body:
    """Convert a bundle to the JSON object that is signed.

    :returns: body of the bundle, including fields with default values.
    """
    return bundle.model_dump(mode='json')
