"""Turns msgspec's errors into problems that name the bad value."""

import re
import tomllib
from collections.abc import Collection, Mapping, Sequence
from enum import Enum
from typing import Any, Final, get_args

import msgspec

from nutmegroad.contracts.documents import Document
from nutmegroad.contracts.problems import Problem, choices_of

_MESSAGE: Final = re.compile(
    r'(?P<fault>.*?)(?: - at (?:`|key in `)(?P<path>[^`]*)`)?',
    re.DOTALL,
)
_EXPECTED: Final = re.compile('Expected (?P<right>.*?)(?:, got (?P<got>.*))?')
_STEP: Final = re.compile(r'\.(?P<name>\w+)|\[(?P<index>\d+)\]')
#: Longer values are cut in a message.
_LONGEST_SHOWN: Final = 80


def problem_of(error: msgspec.DecodeError, text: str) -> Problem:
    """Return the problem that an error speaks of.

    Args:
        error: What msgspec raised.
        text: The TOML that it was given.
    """
    matched = _MESSAGE.fullmatch(str(error))
    if not isinstance(error, msgspec.ValidationError) or matched is None:
        return Problem('$', f'this is no TOML: {error}', 'a document in TOML')
    path = matched['path'] or '$'
    fault = matched['fault']
    shown = _shown_at(path, text)
    expected = _EXPECTED.fullmatch(fault)
    if expected is None:
        return Problem(path, fault, _choices_at(path))
    got = expected['got'] or 'a value out of bounds'
    return Problem(path, f'got {got}{shown}', expected['right'])


def _steps(path: str) -> list[str | int]:
    """Return the names and indexes of a path, as far as it is known."""
    return [
        step['name'] or int(step['index'])
        for step in _STEP.finditer(path.partition('[...]')[0])
    ]


def _shown_at(path: str, text: str) -> str:
    """Return the value at a path for a message; empty if it has parts.

    A hash is never shown: somebody may have written the secret itself.
    """
    if path.endswith('_hash'):
        return ''
    here: Any = tomllib.loads(text)
    for step in _steps(path):
        here = here[step]
    if '[...]' in path or isinstance(here, Mapping | list):
        return ''
    return f' {here!r}'[:_LONGEST_SHOWN]


def _choices_at(path: str) -> str:
    """Return which fields or words a path takes."""
    kind: Any = Document
    for step in _steps(path):
        if isinstance(step, str):
            kind = _kind_of(kind, step)
    return choices_of(_names_of(kind))


def _kind_of(kind: Any, name: str) -> Any:
    """Return the type of a field, or of the items of a tuple of it."""
    fields = msgspec.structs.fields(kind)
    found = next(entry.type for entry in fields if entry.name == name)
    return next(iter(get_args(found)), found)


def _names_of(kind: Any) -> Collection[str]:
    """Return the fields of a struct or the words of an enumeration."""
    if issubclass(kind, Enum):
        return [str(member.value) for member in kind]
    if issubclass(kind, msgspec.Struct):
        fields: Sequence[msgspec.structs.FieldInfo]
        fields = msgspec.structs.fields(kind)
        return [entry.name for entry in fields]
    return ()
