"""Steps for the build command of the deployment, in a copy of the checkout."""

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib
import zipfile

from behave import given, then, when

from waxwingford.build_info import read_build_info, recorded_build_info
from waxwingford.build_info.tests.build_info_steps import (
    ROOT,
    make_folder,
    write_package,
)

LIBRARIES = {'first': '1.0', 'second_part': '2.1'}
PURE_WHEEL = 'Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n'
COMPILED_WHEEL = 'Wheel-Version: 1.0\nTag: cp37-cp37m-linux_x86_64\n'
#: Names of pip's variables and files of settings, which may name an index.
PIP_PREFIX = 'PIP_'


@given('a checkout without an index of libraries')
def create_checkout(context):
    context.checkout = make_folder(context)
    context.index = make_folder(context)
    shutil.copytree(
        ROOT / 'deploy',
        context.checkout / 'deploy',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    package = context.checkout / 'waxwingford'
    write_package(package)
    shutil.copytree(ROOT / 'waxwingford/build_info', package / 'build_info')
    context.deps = context.checkout / 'target' / 'deps'
    list_libraries(context, LIBRARIES)


def list_libraries(context, version_by_name):
    lines = [
        f'{name}=={version}\n' for name, version in version_by_name.items()
    ]
    path = context.checkout / 'deploy' / 'requirements.txt'
    path.write_text(''.join(lines))


def metadata_files(name, version, wheel):
    folder = f'{name}-{version}.dist-info'
    headers = f'Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n'
    return {
        f'{name}.py': f'version = "{version}"\n',
        f'{folder}/METADATA': headers,
        f'{folder}/WHEEL': wheel,
        f'{folder}/RECORD': '',
    }


def install_library(context, name, version, wheel=PURE_WHEEL):
    for file_name, content in metadata_files(name, version, wheel).items():
        path = context.deps / file_name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(content)


@given('its libraries are installed, and a file of the package has changed')
def install(context):
    for name, version in LIBRARIES.items():
        install_library(context, name, version)
    write_package(context.deps / 'waxwingford')
    changed = context.checkout / 'waxwingford' / '__init__.py'
    changed.write_text('__version__ = "0.2.0"\n')
    context.installed = content_by_file(context.deps)


def content_by_file(folder):
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in folder.rglob('*')
        if path.is_file()
    }


@when('the list of libraries is written again, with the same content')
def touch_list(context):
    path = context.checkout / 'deploy' / 'requirements.txt'
    later_s = context.deps.stat().st_mtime + 10
    os.utime(path, (later_s, later_s))


@when('another version of a library is listed')
def list_other_version(context):
    list_libraries(context, {**LIBRARIES, 'first': '1.1'})


@when('another version of a library is listed, and can be had')
def offer_other_version(context):
    list_other_version(context)
    for name, version in {**LIBRARIES, 'first': '1.1'}.items():
        wheel = context.index / f'{name}-{version}-py3-none-any.whl'
        with zipfile.ZipFile(wheel, 'w') as archive:
            files = metadata_files(name, version, PURE_WHEEL)
            for file_name, content in files.items():
                archive.writestr(file_name, content)


@when('a library is one that another interpreter has compiled')
def install_for_other_interpreter(context):
    install_library(context, 'first', LIBRARIES['first'], COMPILED_WHEEL)
    context.installed = content_by_file(context.deps)


@when('a file of the package has a syntax error')
def break_package(context):
    (context.checkout / 'waxwingford' / 'part' / 'a.py').write_text('def\n')


@when('it is built')
def run_build(context):
    path = context.checkout / 'deploy' / 'system.toml'
    command = tomllib.loads(path.read_text())['build']
    environment = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith(PIP_PREFIX)
    }
    folder = pathlib.Path(sys.executable).parent
    environment |= {
        'PATH': f'{folder}{os.pathsep}{environment["PATH"]}',
        'PIP_CONFIG_FILE': os.devnull,
        'PIP_NO_INDEX': '1',
        'PIP_FIND_LINKS': str(context.index),
    }
    context.finished = subprocess.run(
        command,
        shell=True,
        cwd=context.checkout,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )


@then('the build succeeds')
def check_success(context):
    assert not context.finished.returncode, context.finished
    # Nothing of the build is left beside what it has installed.
    assert os.listdir(context.deps.parent) == ['deps']


@then('the build fails')
def check_failure(context):
    assert context.finished.returncode, context.finished
    assert 'build failed: ' in context.finished.stderr, context.finished


@then('the build fails, and tells the status of pip')
def check_pip_failure(context):
    check_failure(context)
    assert 'pip ended with status 1' in context.finished.stderr


@then('everything installed is as it was')
def check_unchanged(context):
    assert content_by_file(context.deps) == context.installed
    assert os.listdir(context.deps.parent) == ['deps']


@then('nothing is installed')
def check_nothing_installed(context):
    assert not context.deps.exists()


@then('the libraries are the former ones')
def check_former_libraries(context):
    installed = content_by_file(context.deps)
    libraries = {
        name: content
        for name, content in context.installed.items()
        if not name.startswith('waxwingford/')
    }
    assert libraries.items() <= installed.items(), installed.keys()


@then('the package is that of the checkout')
def check_package(context):
    installed = read_build_info(context.deps / 'waxwingford')
    assert installed == read_build_info(context.checkout / 'waxwingford')
    assert recorded_build_info(context.deps / 'waxwingford') == installed


@then('only that version is installed')
def check_version_installed(context):
    folders = sorted(path.name for path in context.deps.glob('*.dist-info'))
    assert folders == ['first-1.1.dist-info', 'second_part-2.1.dist-info']
    assert (context.deps / 'first.py').read_text() == 'version = "1.1"\n'
