"""Build ``target/deps``: the package and its libraries, compiled.

``python3 deploy/build.py``, with the interpreter that runs the daemon. Installed
libraries are kept, and no index is asked, if they are those of the list. New
ones, and the package, replace the former ones once they are complete.

The exit status is 0 after a build. A build that fails says why, ends with another
status, and leaves ``target/deps`` as it was.
"""

import compileall
import contextlib
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from importlib import import_module, metadata

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = 'waxwingford'
REQUIREMENTS = ROOT / 'deploy' / 'requirements.txt'
TARGET = ROOT / 'target'
DEPS = TARGET / 'deps'
MIN_PYTHON = (3, 11)
#: Tags of wheels for this interpreter: pure ones, its own, the stable ABI.
_FITTING_TAG = re.compile(
    r'^Tag: (\S*py3\b|cp{0}{1}-|cp3\d*-abi3-)'.format(*sys.version_info),
    re.MULTILINE,
)


class BuildError(Exception):
    """The build failed; the message says where and why."""


def build() -> None:
    """Install what has changed.

    :raises BuildError: if a part of the build failed.
    :raises OSError: if a file can't be read or written.
    """
    if sys.version_info < MIN_PYTHON:
        raise BuildError(
            f'{sys.executable} is Python {sys.version.split()[0]}, '
            'expected 3.11 or later'
        )
    TARGET.mkdir(exist_ok=True)
    folder = tempfile.TemporaryDirectory(
        prefix='staged-', dir=TARGET, ignore_cleanup_errors=True
    )
    with folder as name:
        staged = pathlib.Path(name)
        if _are_libraries_installed():
            _stage_package(staged)
            _replace(staged / PACKAGE, DEPS / PACKAGE, staged)
        else:
            libraries = staged / 'deps'
            _install_libraries(libraries)
            _stage_package(libraries)
            _replace(libraries, DEPS, staged)


def _are_libraries_installed() -> bool:
    """Compare the installed libraries with the list."""
    installed = list(metadata.distributions(path=[str(DEPS)]))
    version_by_name = {
        _normalize(found.metadata['Name'] or ''): found.version
        for found in installed
    }
    return version_by_name == dict(_listed_versions()) and all(
        _FITTING_TAG.search(found.read_text('WHEEL') or '')
        for found in installed
    )


def _listed_versions() -> Iterator[tuple[str, str]]:
    for line in REQUIREMENTS.read_text(encoding='utf-8').splitlines():
        requirement = line.partition('#')[0].strip()
        if requirement:
            name, _, version = requirement.partition('==')
            yield _normalize(name), version


def _normalize(name: str) -> str:
    return re.sub('[-_.]+', '-', name).lower()


def _install_libraries(folder: pathlib.Path) -> None:
    command = (
        *(sys.executable, '-m', 'pip', 'install', '--quiet'),
        *('--disable-pip-version-check', '--no-deps', '--target', str(folder)),
        *('--requirement', str(REQUIREMENTS)),
    )
    status = subprocess.run(command, check=False).returncode
    if status:
        raise BuildError(f'pip ended with status {status}')


def _stage_package(folder: pathlib.Path) -> None:
    """Copy the package and compile it.

    A process finds its folder read-only and would compile all modules anew at
    each start.
    """
    staged = folder / PACKAGE
    shutil.copytree(
        ROOT / PACKAGE, staged, ignore=shutil.ignore_patterns('__pycache__')
    )
    # From the sources that are built: an older package may be installed.
    sys.path.insert(0, str(ROOT))
    import_module(f'{PACKAGE}.build_info').record_build_info(staged)
    shown_as = str((DEPS / PACKAGE).relative_to(ROOT))
    if not compileall.compile_dir(staged, ddir=shown_as, quiet=1):
        raise BuildError('the package could not be compiled')


def _replace(
    new: pathlib.Path, current: pathlib.Path, staged: pathlib.Path
) -> None:
    """Put a complete folder in the place of another one, or leave that one."""
    former = staged / 'former'
    with contextlib.suppress(FileNotFoundError):
        os.rename(current, former)
    try:
        os.rename(new, current)
    except OSError:
        if former.exists():
            os.rename(former, current)
        raise


def main() -> None:
    """Build, and exit with the status."""
    try:
        build()
    except (BuildError, OSError) as error:
        sys.exit(f'build failed: {error}; target/deps is as it was')


if __name__ == '__main__':
    main()
