"""Digest of a package's source files, and comparison with a checkout."""

import os
import pathlib
from collections.abc import Iterator
from typing import NamedTuple

import waxwingford

PACKAGE = pathlib.Path(waxwingford.__file__).resolve().parent
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


def read_build_info(package: pathlib.Path = PACKAGE) -> BuildInfo:
    """Read the source files of a package, by default of the running one.

    :param package: folder of the package.
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
    if not sources.is_dir() or _stamps(sources) == _stamps(package):
        return None
    checkout = read_build_info(sources)
    return None if checkout.digest == build.digest else checkout


def _stamps(package: pathlib.Path) -> dict[str, tuple[int, int]]:
    """Read what tells files from their former contents without reading them.

    The build copies files with their times.

    :returns: size and time of the last change in ns, by path in the package.
    """
    stat_by_path = {
        path: entry.stat() for path, entry in _source_files(str(package))
    }
    return {
        path: (stat.st_size, stat.st_mtime_ns)
        for path, stat in stat_by_path.items()
    }


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
