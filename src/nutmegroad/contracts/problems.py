"""What is wrong with a configuration document, and where."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A field that is wrong.

    Attributes:
        path: The field's path, such as ``$.presets[0].tasks[2].task``.
        wrong: What is wrong, with the bad value.
        expected: What would be right.
    """

    path: str
    wrong: str
    expected: str

    def __str__(self) -> str:
        """Return one sentence for a person."""
        return f'{self.path}: {self.wrong}; expected {self.expected}.'


def choices_of(names: Collection[str]) -> str:
    """Return the names as the end of a sentence."""
    quoted = ', '.join(f'"{name}"' for name in sorted(names))
    return f'one of {quoted}' if quoted else 'none, as none is defined'


def repeated(path: str, names: Iterable[str]) -> Iterator[Problem]:
    """Find names that stand twice.

    Args:
        path: Path of a name, with ``{0}`` for its place.
        names: The names, in order.
    """
    seen: dict[str, int] = {}
    for place, name in enumerate(names):
        first = seen.setdefault(name, place)
        if first != place:
            yield Problem(
                path.format(place),
                f'"{name}" stands at {path.format(first)} already',
                'a value of its own',
            )


def unknown(
    path: str,
    kind: str,
    names: Iterable[str],
    known: Collection[str],
) -> Iterator[Problem]:
    """Find names that nothing defines.

    Args:
        path: Path of the field that holds the names.
        kind: What they name, such as ``version``.
        names: The names.
        known: Names that are defined.
    """
    for name in names:
        if name not in known:
            wrong = f'there is no {kind} "{name}" to refer to'
            yield Problem(path, wrong, choices_of(known))


def references(
    path: str,
    kind: str,
    names: Collection[str],
    known: Collection[str],
) -> Iterator[Problem]:
    """Find names in a list that stand twice or that nothing defines."""
    yield from repeated(f'{path}[{{0}}]', names)
    for place, name in enumerate(names):
        yield from unknown(f'{path}[{place}]', kind, (name,), known)
