"""Problems found in a configuration document, and checks of its names."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid field.

    Attributes:
        path: Path of the field, such as ``$.presets[0].tasks[2].task``.
        wrong: What is wrong, including the invalid value.
        expected: What a valid value would be.
    """

    path: str
    wrong: str
    expected: str

    def __str__(self) -> str:
        """Return the problem as one sentence."""
        return f'{self.path}: {self.wrong}; expected {self.expected}.'


def describe_choices(names: Collection[str]) -> str:
    """Return the valid names as the end of a sentence."""
    quoted = ', '.join(f'"{name}"' for name in sorted(names))
    return f'one of {quoted}' if quoted else 'none, as none is defined'


def duplicate_names(path: str, names: Iterable[str]) -> Iterator[Problem]:
    """Yield a problem for each name that repeats an earlier one.

    Args:
        path: Path of a name, with ``{0}`` for its index.
        names: The names, in order.
    """
    seen: dict[str, int] = {}
    for index, name in enumerate(names):
        first = seen.setdefault(name, index)
        if first != index:
            yield Problem(
                path.format(index),
                f'"{name}" is already used at {path.format(first)}',
                'a unique value',
            )


def undefined_names(
    path: str,
    kind: str,
    names: Iterable[str],
    known: Collection[str],
) -> Iterator[Problem]:
    """Yield a problem for each name that is not defined.

    Args:
        path: Path of the field that holds the names.
        kind: What the names refer to, such as ``version``.
        names: The names.
        known: The defined names.
    """
    for name in names:
        if name not in known:
            wrong = f'{kind} "{name}" is not defined'
            yield Problem(path, wrong, describe_choices(known))


def invalid_references(
    path: str,
    kind: str,
    names: Collection[str],
    known: Collection[str],
) -> Iterator[Problem]:
    """Yield the problems of a list of names: duplicates and undefined ones."""
    yield from duplicate_names(f'{path}[{{0}}]', names)
    for index, name in enumerate(names):
        yield from undefined_names(f'{path}[{index}]', kind, (name,), known)
