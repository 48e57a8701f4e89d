"""Kinds of roll-outs on which the verdict is tried."""

from dataclasses import dataclass, replace
from typing import Final

#: Parts of the traffic by kind of request.
PARTS: Final = (0.45, 0.35, 0.2)

#: Services as deployments have them: requests a second, and for each kind of
#: request its part and the old version's share of poor answers.
SHAPES: Final = (
    ('small engines', 24.0, ((0.16, 0.02), (0.53, 0.02), (0.31, 0.02))),
    ('engines', 79.0, ((0.14, 0.02), (0.47, 0.02), (0.39, 0.02))),
    ('small desk', 8.7, ((0.7, 0.01), (0.3, 0.15))),
    ('desk', 27.6, ((0.7, 0.01), (0.3, 0.15))),
    ('large desk', 94.0, ((0.7, 0.01), (0.3, 0.15))),
)


@dataclass(frozen=True, slots=True)
class Case:
    """A kind of roll-out.

    Attributes:
        name: What it is called in the table.
        rate: Requests a second to the service.
        kinds: Parts of them by kind of request, and the old version's share
            of poor answers of each.
        worse: Share of sound answers that the new version spoils.
        only: The kind of request that it is bad for; None for all.
        late: Seconds from its beginning on which it is bad.
        disturbed: Whether a part of everything fails for a while.
        seconds: Its duration.
    """

    name: str
    rate: float
    kinds: tuple[tuple[float, float], ...]
    worse: float = 0
    only: int | None = None
    late: float = 0
    disturbed: bool = False
    seconds: float = 24.0


def cases() -> list[Case]:
    """Return what is tried: grids of rates and shares, and shapes of sites."""
    found: list[Case] = []
    for rate in (1.0, 4.0, 9.0, 24.0, 80.0, 100.0):
        for base in (0, 0.02, 0.1, 0.25):
            kinds = tuple((part, base) for part in PARTS)
            found.extend(_of(Case(f'base {base}', rate, kinds)))
    for name, rate, kinds in SHAPES:
        for seconds in (16.0, 24.0):
            usual = Case(f'{name} {seconds:g} s', rate, kinds, seconds=seconds)
            found.extend(_of(usual))
    return found


def _of(usual: Case) -> list[Case]:
    """Return good and bad versions of one service."""
    bad = [
        replace(usual, name=f'bad by {worse}, {usual.name}', worse=worse)
        for worse in (0.1, 0.2, 0.3, 0.5, 1.0)
    ]
    half = replace(usual, worse=0.5)
    return [
        replace(usual, name=f'good, {usual.name}'),
        replace(usual, name=f'good, disturbed, {usual.name}', disturbed=True),
        *bad,
        replace(half, name=f'bad late by 0.5, {usual.name}', late=8),
        replace(half, name=f'bad for a kind by 0.5, {usual.name}', only=1),
        replace(
            half,
            name=f'bad by 0.5, disturbed, {usual.name}',
            disturbed=True,
        ),
    ]
