"""Arms: the alternative sets of policies that a measurement compares."""

import re
from dataclasses import dataclass
from typing import Final

from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.kernel.registry import registered

#: Kinds of policy; the setting that selects a policy has the name of its kind.
POLICY_KINDS: Final = (
    'planner',
    'selector',
    'admitter',
    'retries',
    'quarantine',
)

_CUSTOM_ARM: Final = re.compile('([a-z0-9-]+):(.*)')


class ArmError(ValueError):
    """Raised for an unknown arm, or an arm with an unknown policy."""


@dataclass(frozen=True, slots=True)
class Arm:
    """A set of policies under comparison.

    Attributes:
        name: Its name in reports.
        policies: Pairs of a kind and the name of a policy; the daemon's
            default applies to kinds that are left out.
    """

    name: str
    policies: tuple[tuple[str, str], ...]

    @property
    def flags(self) -> tuple[str, ...]:
        """Command-line flags that select the policies in the daemon."""
        return tuple(f'--{kind}={name}' for kind, name in self.policies)

    def explain_missing_policy(self) -> str:
        """Describe a policy that is not registered; empty if all are."""
        for kind, name in self.policies:
            policies = registered(kind)
            if name not in policies:
                choices = ', '.join(sorted(policies)) or 'none'
                return (
                    f'The arm {self.name!r} needs the {kind} {name!r}, which '
                    f'is not registered; available: {choices}.'
                )
        return ''


def _make_arm(name: str, **policies: str) -> Arm:
    """Return an arm with policies by kind."""
    return Arm(name, tuple(policies.items()))


#: The baselines come first; ``best`` uses all policies that improve on them.
ARMS: Final = (
    _make_arm(
        'least-in-flight', planner='cheapest', selector='least-in-flight'
    ),
    _make_arm('round-robin-dearest', planner='dearest', selector='round-robin'),
    _make_arm(
        'cheapest-only',
        planner='cheapest-only',
        selector='least-in-flight',
    ),
    _make_arm(
        'static-share', planner='static-share', selector='least-in-flight'
    ),
    _make_arm(
        'best',
        planner='adaptive',
        selector='expected',
        admitter='fair',
        retries='share',
    ),
)


def choose(names: list[str]) -> list[Arm]:
    """Return the arms with the given names.

    Args:
        names: Names of arms, or definitions of new ones in the form
            ``NAME:planner=P,selector=S``. An empty list selects every arm
            whose policies are registered.

    Raises:
        ArmError: If a name is unknown or a policy is not registered.
    """
    load_plugins()
    if not names:
        return [arm for arm in ARMS if not arm.explain_missing_policy()]
    arms = [_parse_arm(name) for name in names]
    for arm in arms:
        if arm.explain_missing_policy():
            raise ArmError(arm.explain_missing_policy())
    return arms


def explain_skipped_arms(names: list[str]) -> list[str]:
    """Explain which of the default arms are skipped, and why.

    Args:
        names: Names of the arms that were requested; if there are any, no
            default arm is skipped.
    """
    if names:
        return []
    return [
        arm.explain_missing_policy()
        for arm in ARMS
        if arm.explain_missing_policy()
    ]


def _parse_arm(text: str) -> Arm:
    """Parse the name or the definition of an arm."""
    known = {arm.name: arm for arm in ARMS}
    if text in known:
        return known[text]
    custom = _CUSTOM_ARM.fullmatch(text)
    if custom is None:
        message = (
            f'There is no arm {text!r}; choose from {", ".join(known)}, or '
            'define one as NAME:planner=P,selector=S.'
        )
        raise ArmError(message)
    name, settings = custom.groups()
    pairs = [setting.partition('=') for setting in settings.split(',')]
    for kind, _, _ in pairs:
        if kind not in POLICY_KINDS:
            message = (
                f'The arm {name!r} sets {kind!r}, which is not a kind of '
                f'policy; choose from {", ".join(POLICY_KINDS)}.'
            )
            raise ArmError(message)
    return Arm(name, tuple((kind, policy) for kind, _, policy in pairs))
