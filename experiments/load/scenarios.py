"""The scenarios of the measurements."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from experiments.deployment import Rig
from experiments.load.incidents import (
    Incident,
    freeze_domain,
    kill_engines,
    platform_down,
    slow_engine,
    thaw_domain,
    turn_bad,
)
from experiments.load.traffic import Curve

#: Highest rate, in requests a second, at which goodput holds; measured by
#: ``python -m experiments.load.capacity``; docs/MEASUREMENTS.md has the run.
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
_GALLEY_ALL: Final = ('galley-medium@2', 'galley-large@3', 'galley-large@4')

#: The deployments of the brief: 9 and 5 engines, 3 services, 9 hosts.
RIGS: Final = MappingProxyType(
    {
        'lesen': Rig(
            'lesen',
            (_SMALL_MEDIUM, _MEDIUM_LARGE, _LARGES),
            hosts=3,
            engine_args=_ENGINE_ARGS,
        ),
        'cascade': Rig(
            'cascade',
            (_GALLEY, _GALLEY_ALL),
            hosts=3,
            engine_args=_ENGINE_ARGS,
            uneven={'everett-hall': (_GALLEY,)},
        ),
    }
)


@dataclass(frozen=True, slots=True)
class Bad:
    """The version that turns bad in a scenario.

    Attributes:
        version: Its name.
        at: Share of the run's time at which it begins to.
    """

    version: str
    at: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """One situation that is measured.

    Attributes:
        name: Its name.
        deployment: Name of the example.
        curve: How arrivals go up and down.
        load: Highest rate, as a share of the capacity.
        preset: The preset in force.
        incidents: What goes wrong, in order.
        bad: The version that turns bad, if one does.
        flood: Extra load of one workspace, as a share of the capacity.
        outage: Share of the time at which an outage begins, and its seconds.
        note: What the scenario does not show.
        seconds: Seconds that it needs at least to show what it is for.
    """

    name: str
    deployment: str
    curve: Curve
    load: float
    preset: str
    incidents: tuple[Incident, ...] = ()
    bad: Bad | None = None
    flood: tuple[str, float] | None = None
    outage: tuple[float, float] | None = None
    note: str = ''
    seconds: float = 0


def _peak(load: float) -> Scenario:
    """Return the night before a sitting, at a share of the capacity."""
    return Scenario(
        f'peak-{load:.1f}',
        'lesen',
        Curve.SITTING_NIGHT,
        load,
        'peak',
    )


_BAD_ROLLOUT: Final = 'galley-large@4'
_BAD_STEADY: Final = 'brief-medium@4'

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
    _peak(1.0),
    _peak(1.5),
    _peak(2.5),
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
        (Incident(0.25, turn_bad(_BAD_ROLLOUT, 0.3)),),
        bad=Bad(_BAD_ROLLOUT, 0.25),
        seconds=22,
        note='Seconds stand for the hour of the goal: the share is an upper '
        'bound that no run of seconds can bring to 1%.',
    ),
    Scenario(
        'steady-bad-at-once',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.25, turn_bad(_BAD_STEADY, 0.3)),),
        bad=Bad(_BAD_STEADY, 0.25),
        seconds=22,
        note='A steady version, since one in roll-out may get no request '
        'within a run; of its share of an hour the same holds.',
    ),
    Scenario(
        'bad-slowly',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.1, turn_bad(_BAD_STEADY, 0.5, 8)),),
        bad=Bad(_BAD_STEADY, 0.1),
        seconds=22,
        note='The version falls over 8 s; it counts as bad from their start.',
    ),
    Scenario(
        'platform-down',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.15, platform_down()),),
        seconds=16,
        note='Hosts are isolated one lease (8 s) after the outage begins.',
    ),
    Scenario(
        'domain-cut-off',
        'lesen',
        Curve.FLAT,
        0.6,
        'ordinary',
        (Incident(0.25, freeze_domain), Incident(0.65, thaw_domain)),
        note='The hosts of a domain are stopped by SIGSTOP, and the balancer '
        'leaves them out 2 s later. It does not show a cut-off domain that '
        'goes on serving, nor upstreams that only some hosts can reach.',
    ),
    Scenario(
        'outage-end',
        'lesen',
        Curve.FLAT,
        0.5,
        'ordinary',
        (Incident(0.2, platform_down(6)),),
        outage=(0.2, 6),
        note='Calls to the platform are counted each second.',
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
QUICK: Final = ('ordinary-day', 'peak-2.5', 'bad-at-once')


def scenarios(names: list[str]) -> list[Scenario]:
    """Return the scenarios of those names; all where there are none.

    Raises:
        ValueError: If there is no such scenario.
    """
    known = {scenario.name: scenario for scenario in SCENARIOS}
    for name in names:
        if name not in known:
            choices = ', '.join(known)
            message = f'There is no scenario {name!r}; there are {choices}.'
            raise ValueError(message)
    return [known[name] for name in names or known]
