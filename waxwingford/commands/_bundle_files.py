"""Arguments and loading of bundle sources, shared by the bundle commands."""

from argparse import ArgumentParser, Namespace

from waxwingford.bundles import (
    Bundle,
    BundleInvalid,
    BundleLoaded,
    bundle_body,
    canonical_bytes,
    compute_digest,
    load_bundle,
)
from waxwingford.commands._output import print_error


def add_source_argument(parser: ArgumentParser) -> None:
    """Add the bundle source as a positional argument."""
    parser.add_argument('file', metavar='FILE.toml', help='bundle source')


def load_source_file(path: str) -> Bundle | None:
    """Load and validate a bundle source, printing all problems found.

    :param path: TOML file.
    :returns: the bundle, or None if it is invalid.
    """
    match load_bundle(path):
        case BundleLoaded(bundle):
            return bundle
        case BundleInvalid(problems):
            print_error('\n'.join(map(str, problems)))
            return None


def source_digest(bundle: Bundle) -> str:
    """Compute the digest of a bundle's canonical form.

    :returns: hexadecimal digest that members sign.
    """
    return compute_digest(canonical_bytes(bundle_body(bundle)))


def load_source(args: Namespace) -> Bundle | None:
    """Load the bundle source named on the command line.

    :returns: the bundle, or None after its problems were printed.
    """
    return load_source_file(args.file)
