"""Digest of a package's source files, and comparison with a checkout."""

import os
import pathlib
from collections.abc import Iterator
from typing import NamedTuple

import waxwingford

PACKAGE = pathlib.Path(waxwingford.__file__).resolve().parent
#: File in the folder of an installed package.
RECORD = 'DIGEST'
DIGEST_BYTES = 8
_SIZE_BYTES = 8
#: Folders whose files no process of the product runs as they are.
_SKIPPED_FOLDERS = frozenset(('tests', '__pycache__'))
#: Folders of an installed package below the root of the checkout.
_INSTALLED_IN = ('target', 'deps')


class BuildInfo(NamedTuple):
    """Code of a package.

    :ivar version: version of the package.
    :ivar digest: digest of its source files, in hexadecimal digits. Packages
        with the same names and contents of files have the same digest, wherever
        and whenever they were installed.
    """

    version: str
    digest: str

    def __str__(self) -> str:
        return f'waxwingford {self.version} (digest {self.digest})'


def recorded_build_info(package: pathlib.Path = PACKAGE) -> BuildInfo | None:
    """Read what the build has recorded of a package.

    A daemon that starts has no time to read all source files.

    :param package: folder of the package, by default of the running one.
    :returns: ``None`` if nothing is recorded.
    """
    try:
        digest = (package / RECORD).read_text(encoding='ascii').strip()
    except (OSError, ValueError):
        return None
    return BuildInfo(waxwingford.__version__, digest)


def record_build_info(package: pathlib.Path) -> None:
    """Record the digest of a package in its folder.

    :param package: folder of the package.
    :raises OSError: if a file can't be read or written.
    """
    digest = read_build_info(package).digest
    (package / RECORD).write_text(f'{digest}\n', encoding='ascii')


def read_build_info(package: pathlib.Path = PACKAGE) -> BuildInfo:
    """Read the source files of a package.

    :param package: folder of the package, by default of the running one.
    :raises OSError: if a file can't be read.
    """
    # Not at the top: a daemon that starts imports it later.
    import hashlib  # noqa: PLC0415

    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    file_by_path = dict(_source_files(str(package)))
    for path in sorted(file_by_path):
        with open(file_by_path[path], 'rb', buffering=0) as source:
            content = source.read()
        size = len(content).to_bytes(_SIZE_BYTES, 'big')
        digest.update(b''.join((path.encode(), b'\0', size, content)))
    return BuildInfo(waxwingford.__version__, digest.hexdigest())


def find_differing_sources(
    build: BuildInfo, package: pathlib.Path = PACKAGE
) -> BuildInfo | None:
    """Compare an installed package with the checkout that it lies in.

    :param build: code of the package.
    :param package: folder of the package.
    :returns: code of the checkout if it differs; ``None`` if it is the same, or
        if the package isn't installed below a checkout.
    :raises OSError: if a file can't be read.
    """
    if package.parts[-3:-1] != _INSTALLED_IN:
        return None
    sources = package.parents[len(_INSTALLED_IN)] / package.name
    if not sources.is_dir():
        return None
    checkout = read_build_info(sources)
    return None if checkout.digest == build.digest else checkout


def _source_files(
    folder: str, prefix: str = ''
) -> Iterator[tuple[str, os.DirEntry[str]]]:
    """Find the source files of a package, with their paths in it.

    It uses ``os`` as objects of ``pathlib`` take several times as long.
    """
    with os.scandir(folder) as entries:
        for entry in entries:
            path = prefix + entry.name
            if entry.name.endswith('.py'):
                yield path, entry
            elif entry.is_dir() and entry.name not in _SKIPPED_FOLDERS:
                yield from _source_files(entry.path, f'{path}/')
