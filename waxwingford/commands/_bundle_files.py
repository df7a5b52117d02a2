"""Arguments and files that the bundle commands share."""

from argparse import ArgumentParser, Namespace

from waxwingford.bundles import (
    Bundle,
    BundleInvalid,
    BundleLoaded,
    body_of,
    canonical_bytes,
    digest_of,
    load_bundle,
)
from waxwingford.commands._output import complain


def add_file(parser: ArgumentParser) -> None:
    """Declare the bundle's source as an argument.

    :param parser: of a command.
    """
    parser.add_argument('file', metavar='FILE.toml', help='bundle source')


def checked_bundle(path: str) -> Bundle | None:
    """Load a source and complain of everything that is wrong with it.

    :param path: TOML file.
    :returns: the bundle, or None after the complaint.
    """
    match load_bundle(path):
        case BundleLoaded(bundle):
            return bundle
        case BundleInvalid(problems):
            complain('\n'.join(map(str, problems)))
            return None


def source_digest(bundle: Bundle) -> str:
    """Name a bundle's content.

    :param bundle: checked bundle.
    :returns: hex digest that members sign.
    """
    return digest_of(canonical_bytes(body_of(bundle)))


def source_of(args: Namespace) -> Bundle | None:
    """Load the source named by the arguments.

    :param args: parsed arguments.
    :returns: the bundle, or None after a complaint.
    """
    return checked_bundle(args.file)
