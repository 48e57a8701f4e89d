"""The scenarios that load measurements run."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from experiments.deployment import Rig
from experiments.load.incidents import (
    Incident,
    degrade_version,
    freeze_domain,
    kill_engines,
    platform_outage,
    resume_domain,
    slow_engine,
)
from experiments.load.traffic import Curve

#: Capacity of each deployment: the highest sustained rate in requests per
#: second, from ``python -m experiments.load.capacity``. docs/MEASUREMENTS.md
#: has the run.
CAPACITY: Final = MappingProxyType({'lesen': 70.0, 'cascade': 70.0})

_ENGINE_ARGS: Final = (
    '--step-base=0.02',
    '--step-per-request=0.001',
    '--slots=8',
    '--queue-limit=16',
    '--report-lag=0.5',
)

_SMALL_MEDIUM: Final = ('brief-small@2', 'brief-medium@4')
_MEDIUM_LARGE: Final = ('brief-medium@4', 'brief-large@6')
_LARGES: Final = ('brief-large@6', 'brief-large@7', 'brief-small@2')
_GALLEY: Final = ('galley-small@5', 'galley-large@3')
_GALLEY_ROLLOUT: Final = ('galley-medium@2', 'galley-large@3', 'galley-large@4')

#: The deployments by name. They have 9 and 5 engines, and 3 services and 9
#: hosts each.
DEPLOYMENTS: Final = MappingProxyType(
    {
        'lesen': Rig(
            'lesen',
            (_SMALL_MEDIUM, _MEDIUM_LARGE, _LARGES),
            hosts=3,
            engine_args=_ENGINE_ARGS,
        ),
        'cascade': Rig(
            'cascade',
            (_GALLEY, _GALLEY_ROLLOUT),
            hosts=3,
            engine_args=_ENGINE_ARGS,
            engine_overrides={'everett-hall': (_GALLEY,)},
        ),
    }
)


@dataclass(frozen=True, slots=True)
class Degradation:
    """The degradation of a version in a scenario.

    Attributes:
        version: Id of the version.
        at: Start of the degradation, as a fraction of the length of the run.
    """

    version: str
    at: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load scenario.

    Attributes:
        name: Its name.
        deployment: Name of the example deployment.
        curve: Shape of the arrival rate.
        load: Peak arrival rate, relative to the capacity.
        preset: The preset in force.
        incidents: The incidents in order.
        degradation: The version that degrades, if one does.
        flood: A workspace that sends additional load, and its rate relative
            to the capacity.
        outage: Start of a platform outage as a fraction of the length of the
            run, and its duration in seconds.
        note: Limits of the conclusions that the scenario allows.
        seconds: Minimum length of a run that serves the scenario's purpose.
    """

    name: str
    deployment: str
    curve: Curve
    load: float
    preset: str
    incidents: tuple[Incident, ...] = ()
    degradation: Degradation | None = None
    flood: tuple[str, float] | None = None
    outage: tuple[float, float] | None = None
    note: str = ''
    seconds: float = 0


def _peak_scenario(load: float) -> Scenario:
    """Return a peak scenario: the load of the night before a sitting.

    Args:
        load: Peak arrival rate, relative to the capacity.
    """
    return Scenario(
        f'peak-{load:.1f}',
        'lesen',
        Curve.SITTING_NIGHT,
        load,
        'peak',
    )


_ROLLOUT_VERSION: Final = 'galley-large@4'
_STEADY_VERSION: Final = 'brief-medium@4'

SCENARIOS: Final = (
    Scenario('idle', 'lesen', Curve.FLAT, 0.1, 'peak'),
    Scenario('ordinary-day', 'lesen', Curve.ORDINARY_DAY, 0.6, 'ordinary'),
    Scenario(
        'catering-morning',
        'cascade',
        Curve.CATERING_MORNING,
        0.8,
        'ordinary',
    ),
    _peak_scenario(1.0),
    _peak_scenario(1.5),
    _peak_scenario(2.5),
    Scenario(
        'domain-engines-gone',
        'lesen',
        Curve.SITTING_NIGHT,
        0.8,
        'peak',
        (Incident(0.4, kill_engines),),
    ),
    Scenario(
        'one-engine-slow',
        'lesen',
        Curve.SITTING_NIGHT,
        0.8,
        'peak',
        (Incident(0.2, slow_engine(5)),),
    ),
    Scenario(
        'bad-at-once',
        'cascade',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.25, degrade_version(_ROLLOUT_VERSION, 0.3)),),
        degradation=Degradation(_ROLLOUT_VERSION, 0.25),
        seconds=22,
        note='The goal refers to an hour, the run lasts seconds: the share is '
        'an upper bound, which cannot fall to 1% in so short a run.',
    ),
    Scenario(
        'steady-bad-at-once',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.25, degrade_version(_STEADY_VERSION, 0.3)),),
        degradation=Degradation(_STEADY_VERSION, 0.25),
        seconds=22,
        note='The version is not in roll-out, since such a version may get no '
        'request within a run. The share is an upper bound here, too.',
    ),
    Scenario(
        'bad-slowly',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.1, degrade_version(_STEADY_VERSION, 0.5, 8)),),
        degradation=Degradation(_STEADY_VERSION, 0.1),
        seconds=22,
        note='The quality declines over 8 s; the version counts as degraded '
        'from the start of the decline.',
    ),
    Scenario(
        'platform-down',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.15, platform_outage()),),
        seconds=16,
        note='Hosts are isolated one lease (8 s) after the outage begins.',
    ),
    Scenario(
        'domain-cut-off',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.25, freeze_domain), Incident(0.65, resume_domain)),
        note='The hosts of a failure domain are stopped by SIGSTOP, and the '
        'load balancer removes them 2 s later. The scenario does not cover a '
        'disconnected domain that continues to serve, nor upstreams that only '
        'some hosts can reach.',
    ),
    Scenario(
        'outage-end',
        'lesen',
        Curve.FLAT,
        0.5,
        'ordinary',
        (Incident(0.2, platform_outage(6)),),
        outage=(0.2, 6),
        note='Calls to the platform are counted every second.',
    ),
    Scenario(
        'flood',
        'lesen',
        Curve.FLAT,
        0.6,
        'peak',
        flood=('head-office', 1.5),
    ),
)

#: Scenarios of ``--quick``.
QUICK_SCENARIOS: Final = ('ordinary-day', 'peak-2.5', 'bad-at-once')


def find_scenarios(names: list[str]) -> list[Scenario]:
    """Return the scenarios with the given names, or all if none is given.

    Raises:
        ValueError: If a name is unknown.
    """
    known = {scenario.name: scenario for scenario in SCENARIOS}
    for name in names:
        if name not in known:
            choices = ', '.join(known)
            message = f'There is no scenario {name!r}; choose from {choices}.'
            raise ValueError(message)
    return [known[name] for name in names or known]
