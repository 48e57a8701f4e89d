"""Converts msgspec's decoding errors into problems that name the value."""

import re
import tomllib
from collections.abc import Collection, Mapping, Sequence
from enum import Enum
from typing import Any, Final, get_args

import msgspec

from nutmegroad.contracts.documents import Document
from nutmegroad.contracts.problems import Problem, describe_choices

_MESSAGE: Final = re.compile(
    r'(?P<fault>.*?)(?: - at (?:`|key in `)(?P<path>[^`]*)`)?',
    re.DOTALL,
)
_EXPECTED: Final = re.compile(
    'Expected (?P<expected>.*?)(?:, got (?P<got>.*))?',
)
_STEP: Final = re.compile(r'\.(?P<name>\w+)|\[(?P<index>\d+)\]')
#: Characters after which a value is truncated in a message.
_MAX_VALUE_LENGTH: Final = 80


def problem_of(error: msgspec.DecodeError, text: str) -> Problem:
    """Return the problem that a decoding error describes.

    Args:
        error: The error that msgspec raised.
        text: The TOML that was decoded.
    """
    matched = _MESSAGE.fullmatch(str(error))
    if not isinstance(error, msgspec.ValidationError) or matched is None:
        return Problem('$', f'not valid TOML: {error}', 'a document in TOML')
    path = matched['path'] or '$'
    fault = matched['fault']
    shown_value = _format_value_at(path, text)
    expected = _EXPECTED.fullmatch(fault)
    if expected is None:
        return Problem(path, fault, _choices_at(path))
    got = expected['got'] or 'a value out of bounds'
    return Problem(path, f'got {got}{shown_value}', expected['expected'])


def _steps(path: str) -> list[str | int]:
    """Return the field names and indexes of a path, up to any ``[...]``."""
    return [
        step['name'] or int(step['index'])
        for step in _STEP.finditer(path.partition('[...]')[0])
    ]


def _format_value_at(path: str, text: str) -> str:
    """Return the value at a path, formatted for a message.

    The result is empty for tables, lists and paths with ``[...]``.

    A field for a hash is never shown, since the operator may have entered the
    secret itself by mistake.
    """
    if path.endswith('_hash'):
        return ''
    found: Any = tomllib.loads(text)
    for step in _steps(path):
        found = found[step]
    if '[...]' in path or isinstance(found, Mapping | list):
        return ''
    return f' {found!r}'[:_MAX_VALUE_LENGTH]


def _choices_at(path: str) -> str:
    """Return the field names or enum values that are valid at a path."""
    kind: Any = Document
    for step in _steps(path):
        if isinstance(step, str):
            kind = _field_type(kind, step)
    return describe_choices(_names_of(kind))


def _field_type(kind: Any, name: str) -> Any:
    """Return the type of a field, or of its items if it is a tuple."""
    fields = msgspec.structs.fields(kind)
    found = next(entry.type for entry in fields if entry.name == name)
    return next(iter(get_args(found)), found)


def _names_of(kind: Any) -> Collection[str]:
    """Return the field names of a struct or the values of an enum."""
    if issubclass(kind, Enum):
        return [str(member.value) for member in kind]
    if issubclass(kind, msgspec.Struct):
        fields: Sequence[msgspec.structs.FieldInfo]
        fields = msgspec.structs.fields(kind)
        return [entry.name for entry in fields]
    return ()
