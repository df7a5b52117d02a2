"""Steps for digests of packages, and the option that shows them."""

import compileall
import pathlib
import shutil
import subprocess
import sys
import tempfile

from behave import given, then, when

from waxwingford.build_info import find_differing_sources, read_build_info

ROOT = pathlib.Path(__file__).resolve().parents[3]
CONTENT_BY_FILE = {
    '__init__.py': '__version__ = "0.1.0"\n',
    'part/__init__.py': '',
    'part/a.py': 'second = 2\n',
    'part/b.py': 'third = 3\nfourth = 4\n',
}
SHOW_VERSION = 'import sys; from {} import main; sys.exit(main())'


def make_folder(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    return pathlib.Path(directory.name)


def write_package(package):
    for name, content in CONTENT_BY_FILE.items():
        path = package / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(content)


@given('a package')
def create_package(context):
    context.package = make_folder(context) / 'waxwingford'
    write_package(context.package)


def copy_package(context):
    copy = make_folder(context) / 'elsewhere'
    shutil.copytree(context.package, copy)
    return copy


@when('it is copied elsewhere, and the copy is compiled and gets tests')
def copy_and_compile(context):
    context.copy = copy_package(context)
    (context.copy / 'tests').mkdir()
    (context.copy / 'tests' / 'steps.py').write_text('fifth = 5\n')
    assert compileall.compile_dir(context.copy, quiet=1)


def change_byte(package):
    (package / 'part/a.py').write_text('second = 3\n')


def rename_file(package):
    (package / 'part/a.py').rename(package / 'part/c.py')


def move_file(package):
    (package / 'part/a.py').rename(package / 'a.py')


def add_empty_file(package):
    (package / 'part/c.py').touch()


def move_line(package):
    (package / 'part/a.py').write_text('second = 2\nthird = 3\n')
    (package / 'part/b.py').write_text('fourth = 4\n')


CHANGE_BY_NAME = {
    'a byte of a file changes': change_byte,
    'a file is renamed': rename_file,
    'a file is moved': move_file,
    'an empty file is added': add_empty_file,
    'a line moves to the next file': move_line,
}


@when('it is copied elsewhere, and in the copy {change}')
def copy_and_change(context, change):
    context.copy = copy_package(context)
    CHANGE_BY_NAME[change](context.copy)


@then('both have the same digest')
def check_same_digest(context):
    assert read_build_info(context.copy) == read_build_info(context.package)


@then('the copy has another digest')
def check_other_digest(context):
    copy = read_build_info(context.copy)
    assert copy.digest != read_build_info(context.package).digest


@given('a package that is installed below its sources')
def install_package(context):
    checkout = make_folder(context)
    context.sources = checkout / 'waxwingford'
    context.package = checkout / 'target' / 'deps' / 'waxwingford'
    write_package(context.sources)
    write_package(context.package)


def differing_sources(context):
    build = read_build_info(context.package)
    return find_differing_sources(build, context.package)


@when('a byte of the sources changes')
def change_sources(context):
    change_byte(context.sources)


@then('no sources are found to differ')
def check_no_difference(context):
    assert differing_sources(context) is None


@then('the sources are found to differ, with their digest')
def check_difference(context):
    assert differing_sources(context) == read_build_info(context.sources)


@when('"{module}" is started with --version')
def show_version(context, module):
    context.finished = subprocess.run(
        (sys.executable, '-c', SHOW_VERSION.format(module), '--version'),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


@then('it shows version and digest of this code, and ends with status 0')
def check_version(context):
    assert not context.finished.returncode, context.finished
    build = read_build_info(ROOT / 'waxwingford')
    shown = f'waxwingford {build.version} (digest {build.digest})\n'
    assert context.finished.stdout == shown, context.finished
