"""Bundles as operators write them: a TOML file."""

import dataclasses
import pathlib

from waxwingford.bundles._canonical import Body
from waxwingford.bundles._model import Bundle
from waxwingford.settings import Problem, load_toml


@dataclasses.dataclass(frozen=True, slots=True)
class BundleLoaded:
    """The file is right.

    :ivar bundle: checked bundle.
    """

    bundle: Bundle


@dataclasses.dataclass(frozen=True, slots=True)
class BundleInvalid:
    """The file can't be used.

    :ivar problems: everything that is wrong with it.
    """

    problems: tuple[Problem, ...]


def load_bundle(path: str | pathlib.Path) -> BundleLoaded | BundleInvalid:
    """Load a bundle's source.

    :param path: TOML file.
    :returns: the bundle, or everything that is wrong with the file.
    """
    loaded = load_toml(path, Bundle)
    if isinstance(loaded, Bundle):
        return BundleLoaded(loaded)
    return BundleInvalid(loaded)


def body_of(bundle: Bundle) -> Body:
    """Write a bundle as the JSON object that is signed.

    :param bundle: checked bundle.
    :returns: its body, defaults written out.
    """
    return bundle.model_dump(mode='json')
