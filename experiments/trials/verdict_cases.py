"""Cases of rollouts for the trials of the verdict."""

from dataclasses import dataclass, replace
from typing import Final

#: Fraction of the traffic of each kind of request.
KIND_FRACTIONS: Final = (0.45, 0.35, 0.2)

#: Services as deployments have them: requests per second, and for each kind of
#: request its fraction of the traffic and the old version's fraction of poor
#: answers.
SERVICES: Final = (
    ('small engines', 24.0, ((0.16, 0.02), (0.53, 0.02), (0.31, 0.02))),
    ('engines', 79.0, ((0.14, 0.02), (0.47, 0.02), (0.39, 0.02))),
    ('small desk', 8.7, ((0.7, 0.01), (0.3, 0.15))),
    ('desk', 27.6, ((0.7, 0.01), (0.3, 0.15))),
    ('large desk', 94.0, ((0.7, 0.01), (0.3, 0.15))),
)


@dataclass(frozen=True, slots=True)
class Case:
    """A kind of rollout.

    Attributes:
        name: Name in the table.
        rate: Requests per second to the service.
        kinds: For each kind of request, its fraction of the traffic and the
            old version's fraction of poor answers.
        degradation: Fraction of good answers that the new version makes poor.
        degraded_kind: The only kind of request that is degraded; None for all.
        degraded_from: Seconds from the start after which answers degrade.
        disturbed: Whether a fraction of all requests fails for a while.
        duration: Seconds of the rollout.
    """

    name: str
    rate: float
    kinds: tuple[tuple[float, float], ...]
    degradation: float = 0
    degraded_kind: int | None = None
    degraded_from: float = 0
    disturbed: bool = False
    duration: float = 24.0


def cases() -> list[Case]:
    """Return all cases: a grid of rates and fractions, and services."""
    all_cases: list[Case] = []
    for rate in (1.0, 4.0, 9.0, 24.0, 80.0, 100.0):
        for poor_fraction in (0, 0.02, 0.1, 0.25):
            kinds = tuple(
                (fraction, poor_fraction) for fraction in KIND_FRACTIONS
            )
            all_cases.extend(
                _variants(Case(f'base {poor_fraction}', rate, kinds))
            )
    for name, rate, kinds in SERVICES:
        for duration in (16.0, 24.0):
            baseline = Case(
                f'{name} {duration:g} s', rate, kinds, duration=duration
            )
            all_cases.extend(_variants(baseline))
    return all_cases


def _variants(baseline: Case) -> list[Case]:
    """Return cases of good and bad versions of one service."""
    bad = [
        replace(
            baseline,
            name=f'bad by {degradation}, {baseline.name}',
            degradation=degradation,
        )
        for degradation in (0.1, 0.2, 0.3, 0.5, 1.0)
    ]
    half = replace(baseline, degradation=0.5)
    return [
        replace(baseline, name=f'good, {baseline.name}'),
        replace(
            baseline, name=f'good, disturbed, {baseline.name}', disturbed=True
        ),
        *bad,
        replace(
            half, name=f'bad late by 0.5, {baseline.name}', degraded_from=8
        ),
        replace(
            half,
            name=f'bad for a kind by 0.5, {baseline.name}',
            degraded_kind=1,
        ),
        replace(
            half,
            name=f'bad by 0.5, disturbed, {baseline.name}',
            disturbed=True,
        ),
    ]
