"""Reads TOML files."""

import os
import tomllib

from waxwingford.settings._problem import WHOLE_FILE, Problem

Document = dict[str, object]


def read_document(
    path: str | os.PathLike[str],
) -> Document | tuple[Problem, ...]:
    """Read a TOML file.

    :returns: its tables, or the problem found.
    """
    file = str(path)
    try:
        with open(path, encoding='utf-8') as stream:
            return tomllib.loads(stream.read())
    except OSError as error:
        reason = f'expected a readable file: {error.strerror}'
        return (Problem(file, WHOLE_FILE, 'nothing', reason),)
    except UnicodeDecodeError:
        return (Problem(file, WHOLE_FILE, 'bytes', 'expected UTF-8 text'),)
    except tomllib.TOMLDecodeError as error:
        return (Problem(file, WHOLE_FILE, 'text', f'expected TOML: {error}'),)
