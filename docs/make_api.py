"""Write docs/api.md: the public names of each subpackage, from the code.

Run it after a change of public names::

    python docs/make_api.py
"""

import importlib
import inspect
import pathlib
import pkgutil
from collections.abc import Iterator
from typing import Any

import waxwingford

PAGE = pathlib.Path(__file__).with_name('api.md')
#: The narrative page that belongs to each subpackage.
NARRATIVE_BY_SUBPACKAGE = {
    'adapters': 'architecture.md',
    'batch': 'design/batch.md',
    'build_info': 'OPERATIONS.md',
    'bundles': 'bundles.md',
    'colocation': 'design/colocation.md',
    'commands': 'operators.md',
    'daemon': 'architecture.md',
    'entry': 'callers.md',
    'http_server': 'design/platform.md',
    'inbound': 'design/inbound.md',
    'kernel': 'newcomers.md',
    'metrics': 'operators.md',
    'ownership': 'design/batch.md',
    'peers': 'architecture.md',
    'platform': 'design/platform.md',
    'placement': 'design/colocation.md',
    'ports': 'design/decisions.md',
    'records': 'design/batch.md',
    'relays': 'design/relays.md',
    'routing': 'design/requests.md',
    'settings': 'settings.md',
    'timeline': 'operators.md',
    'scheduler': 'OPERATIONS.md',
    'scheduling': 'design/platform.md',
    'shard': 'design/platform.md',
}


def summary(member: Any) -> str:
    """Read the first line of a doc comment.

    :param member: a public member of a subpackage.
    :returns: the line; empty for constants and type aliases.
    """
    if not (inspect.isclass(member) or inspect.isfunction(member)):
        return ''
    text = inspect.getdoc(member) or ''
    return text.partition('\n')[0]


def section(name: str) -> Iterator[str]:
    """Describe one subpackage.

    :param name: of the subpackage.
    :returns: lines of the page.
    """
    module = importlib.import_module(f'waxwingford.{name}')
    text = (inspect.getdoc(module) or '').partition('\n')[0]
    page = NARRATIVE_BY_SUBPACKAGE[name]
    yield f'\n## waxwingford.{name}\n\n{text} Narrative: [{page}]({page}).\n\n'
    public = getattr(module, '__all__', ())
    if public:
        yield '| name | what it is |\n|---|---|\n'
    for member in sorted(public):
        yield f'| `{member}` | {summary(getattr(module, member))} |\n'


def api_page() -> str:
    """Write the page.

    :returns: Markdown.
    """
    names = sorted(
        found.name
        for found in pkgutil.iter_modules(waxwingford.__path__)
        if found.ispkg
    )
    lines = (line for name in names for line in section(name))
    return (
        '# Public names\n\nWritten by `python docs/make_api.py`; the doc comments'
        ' in the code give parameters, units and errors.\n' + ''.join(lines)
    )


if __name__ == '__main__':
    PAGE.write_text(api_page(), encoding='utf-8')
