"""Problem of a settings file or a bundle file."""

from collections.abc import Iterable
from typing import NamedTuple

#: Value and expectation of a required key that is missing.
MISSING_VALUE = 'nothing'
KEY_REQUIRED = 'expected a value: the key is required'
#: Key of a problem of the whole file.
WHOLE_FILE = '(whole file)'
_MAX_VALUE_CHARACTERS = 80


class Problem(NamedTuple):
    """Problem of a single key, or of the whole file.

    :ivar file: path of the file as given by the caller.
    :ivar key: dotted key, for example ``leases.control_ms``.
    :ivar value: representation of the invalid value, truncated.
    :ivar expected: description of a valid value.
    """

    file: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        """Format the problem as a single line.

        :returns: ``file: key: got value, expected ...``.
        """
        return f'{self.file}: {self.key}: got {self.value}, {self.expected}'


class SettingsInvalid(NamedTuple):
    """Result of loading an invalid settings file.

    :ivar problems: all problems found in the file.
    """

    problems: tuple[Problem, ...]


def format_value(found: object) -> str:
    """Represent an invalid value, truncated."""
    text = repr(found)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return text
    return f'{text[:_MAX_VALUE_CHARACTERS]}...'


def suggest_key(unknown: str, known_keys: Iterable[str]) -> str:
    """Describe what is expected in place of an unknown key."""
    # Imported here, as it is large and only invalid files need it.
    import difflib

    matches = difflib.get_close_matches(
        unknown, sorted(known_keys), n=1, cutoff=0
    )
    if not matches:
        return 'expected no such key'
    return f'expected a known key; the nearest is {matches[0]}'
