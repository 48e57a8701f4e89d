"""Arms: the sets of policies that a measurement compares."""

import re
from dataclasses import dataclass
from typing import Final

from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.kernel.registry import registered

#: Settings that name a policy; each is also the policy's kind.
KINDS: Final = ('planner', 'selector', 'admitter', 'retries', 'quarantine')

_CUSTOM: Final = re.compile('([a-z0-9-]+):(.*)')


class ArmError(ValueError):
    """An arm that does not exist, or one with a policy that does not."""


@dataclass(frozen=True, slots=True)
class Arm:
    """One set of policies.

    Attributes:
        name: What it is called in reports.
        policies: Names of policies by kind; those left out are the
            daemon's own defaults.
    """

    name: str
    policies: tuple[tuple[str, str], ...]

    @property
    def flags(self) -> tuple[str, ...]:
        """Return the daemon's flags."""
        return tuple(f'--{kind}={name}' for kind, name in self.policies)

    def missing(self) -> str:
        """Say which policy is not registered; empty if all are."""
        for kind, name in self.policies:
            named = registered(kind)
            if name not in named:
                choices = ', '.join(sorted(named)) or 'none'
                return (
                    f'The arm {self.name!r} needs the {kind} {name!r}, which '
                    f'is not registered; there are: {choices}.'
                )
        return ''


def _arm(name: str, **policies: str) -> Arm:
    """Return an arm."""
    return Arm(name, tuple(policies.items()))


#: The baselines of the issue come first; ``best`` is all that we have.
ARMS: Final = (
    _arm('least-in-flight', planner='cheapest', selector='least-in-flight'),
    _arm('round-robin-dearest', planner='dearest', selector='round-robin'),
    _arm(
        'cheapest-only',
        planner='cheapest-only',
        selector='least-in-flight',
    ),
    _arm('static-share', planner='static-share', selector='least-in-flight'),
    _arm(
        'best',
        planner='adaptive',
        selector='expected',
        admitter='fair',
        retries='share',
    ),
)


def choose(names: list[str]) -> list[Arm]:
    """Return the arms of those names.

    Args:
        names: Names of arms, or ``NAME:planner=P,selector=S``; none asks
            for every arm whose policies are registered.

    Raises:
        ArmError: If a name is unknown or a policy is not registered.
    """
    load_plugins()
    if not names:
        return [arm for arm in ARMS if not arm.missing()]
    arms = [_read(name) for name in names]
    for arm in arms:
        if arm.missing():
            raise ArmError(arm.missing())
    return arms


def not_run(names: list[str]) -> list[str]:
    """Say why arms that nobody named are left out."""
    if names:
        return []
    return [arm.missing() for arm in ARMS if arm.missing()]


def _read(text: str) -> Arm:
    """Read one arm."""
    known = {arm.name: arm for arm in ARMS}
    if text in known:
        return known[text]
    custom = _CUSTOM.fullmatch(text)
    if custom is None:
        message = (
            f'There is no arm {text!r}; arms are {", ".join(known)}, or '
            'one of your own as NAME:planner=P,selector=S.'
        )
        raise ArmError(message)
    name, settings = custom.groups()
    pairs = [setting.partition('=') for setting in settings.split(',')]
    for kind, _, _ in pairs:
        if kind not in KINDS:
            message = (
                f'The arm {name!r} sets {kind!r}, which is no kind of '
                f'policy; kinds are {", ".join(KINDS)}.'
            )
            raise ArmError(message)
    return Arm(name, tuple((kind, policy) for kind, _, policy in pairs))
