"""Readable differences between two configuration documents."""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import chain
from typing import Any, Final

import msgspec

from nutmegroad.contracts.documents import (
    CallRule,
    Document,
    DocumentSection,
    PresetTask,
    RolloutShare,
)

#: Fields whose values are not shown, since they are derived from secrets.
_HIDDEN: Final = frozenset(('key_hash', 'old_key_hash', 'token_hash'))
_SECTIONS: Final = (
    'version',
    'task',
    'service',
    'workspace',
    'preset',
    'operator',
)


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference between two documents.

    Attributes:
        subject: The entry that differs, such as ``workspace outlets``.
        sentence: Description of the change for operators.
    """

    subject: str
    sentence: str

    def __str__(self) -> str:
        """Return the subject and the sentence."""
        return f'{self.subject}: {self.sentence}'


def compare(old: Document, new: Document) -> tuple[Difference, ...]:
    """Return the changes that replacing ``old`` by ``new`` makes."""
    parts = (
        _compare_entries(
            section,
            getattr(old, f'{section}s'),
            getattr(new, f'{section}s'),
        )
        for section in _SECTIONS
    )
    name = _compare_value('document', 'name', old.name, new.name)
    return tuple(chain(name, *parts))


def _compare_entries(
    label: str,
    old: Iterable[DocumentSection],
    new: Iterable[DocumentSection],
) -> Iterator[Difference]:
    """Compare the entries of a section, matched by their keys."""
    before = {_key_of(entry): entry for entry in old}
    after = {_key_of(entry): entry for entry in new}
    for key in sorted(before.keys() - after.keys()):
        yield Difference(f'{label} {key}', 'It is removed.')
    for key, entry in after.items():
        subject = f'{label} {key}'
        old_entry = before.get(key)
        if old_entry is None:
            yield Difference(subject, 'It is added.')
        else:
            yield from _compare_fields(subject, old_entry, entry)


def _key_of(entry: Any) -> str:
    """Return the key that identifies an entry within its section."""
    match entry:
        case PresetTask():
            return entry.task
        case RolloutShare():
            return entry.version
        case CallRule():
            return f'{entry.method} {entry.path}'
    return str(getattr(entry, 'id', '') or entry.name)


def _compare_fields(
    subject: str,
    old: DocumentSection,
    new: DocumentSection,
) -> Iterator[Difference]:
    """Compare two entries field by field."""
    for field in msgspec.structs.fields(type(old)):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            compare_field = _comparison_of(before, after)
            yield from compare_field(subject, field.name, before, after)


def _comparison_of(
    old: Any,
    new: Any,
) -> Callable[[str, str, Any, Any], Iterator[Difference]]:
    """Return the comparison function for two values of a field."""
    if isinstance(old, dict):
        return _compare_mappings
    if not isinstance(old, tuple):
        return _compare_value
    if any(isinstance(entry, DocumentSection) for entry in (*old, *new)):
        return _compare_lists
    return _compare_names


def _compare_value(
    subject: str,
    name: str,
    old: Any,
    new: Any,
) -> Iterator[Difference]:
    """Compare two scalar values."""
    if old == new:
        return
    change = f'changes from {_format_value(old)} to {_format_value(new)}'
    if name in _HIDDEN:
        change = 'changes'
    yield Difference(subject, f'Its {_words(name)} {change}.')


def _compare_mappings(
    subject: str,
    name: str,
    old: Mapping[str, Any],
    new: Mapping[str, Any],
) -> Iterator[Difference]:
    """Compare two mappings key by key."""
    for key in sorted({*old, *new}):
        label = f'{name} for {key}'
        yield from _compare_value(subject, label, old.get(key), new.get(key))


def _compare_lists(
    subject: str,
    name: str,
    old: Collection[DocumentSection],
    new: Collection[DocumentSection],
) -> Iterator[Difference]:
    """Compare two lists of entries, such as the tasks of a preset."""
    label = f'{subject}, {_words(name).removesuffix("s")}'
    yield from _compare_entries(label, old, new)
    yield from _compare_order(
        subject,
        name,
        [_key_of(entry) for entry in old],
        [_key_of(entry) for entry in new],
    )


def _compare_names(
    subject: str,
    name: str,
    old: Collection[str],
    new: Collection[str],
) -> Iterator[Difference]:
    """Compare two lists of names, such as the versions of a workspace."""
    kind = name.removesuffix('s')
    before, after = frozenset(old), frozenset(new)
    for added in sorted(after - before):
        yield Difference(subject, f'It is allowed {kind} {added}.')
    for removed in sorted(before - after):
        sentence = f'It is no longer allowed {kind} {removed}.'
        yield Difference(subject, sentence)
    yield from _compare_order(subject, name, old, new)


def _compare_order(
    subject: str,
    name: str,
    old: Iterable[str],
    new: Iterable[str],
) -> Iterator[Difference]:
    """Yield a difference if the same names are in a different order."""
    before, after = list(old), list(new)
    if before != after and sorted(before) == sorted(after):
        sentence = f'The order of its {_words(name)} changes.'
        yield Difference(subject, sentence)


def _format_value(field_value: Any) -> str:
    """Return a value as shown in a sentence."""
    if field_value is None:
        return 'none'
    return str(
        field_value.value if isinstance(field_value, Enum) else field_value
    )


def _words(name: str) -> str:
    """Return a field name with spaces instead of underscores."""
    return name.replace('_', ' ')
