"""The plug-in modules that every host imports; each registers itself."""

from importlib import import_module
from typing import Final

from nutmegroad.foundations.exceptions import RegistryError

PLUGINS: Final = (
    'nutmegroad.kernel.part',
    'nutmegroad.adapters.part',
    'nutmegroad.membership.part',
    'nutmegroad.routing.upstreams_part',
    'nutmegroad.configuration.part',
    'nutmegroad.operators.operator_configuration',
    'nutmegroad.operators.operator_hosts',
    'nutmegroad.operators.operator_presets',
    'nutmegroad.operators.operator_requests',
    'nutmegroad.operators.operator_withdrawals',
    'nutmegroad.operators.operator_workspaces',
    'nutmegroad.records.part',
    'nutmegroad.routing.policies',
    'nutmegroad.routing.baselines',
    'nutmegroad.routing.plain_selectors',
    'nutmegroad.routing.selection',
    'nutmegroad.routing.admission',
    'nutmegroad.routing.retries',
    'nutmegroad.routing.load_part',
    'nutmegroad.quality.part',
    'nutmegroad.routing.part',
    'nutmegroad.quality.ratings_part',
    'nutmegroad.rollouts.exposure_part',
    'nutmegroad.rollouts.part',
    'nutmegroad.rollouts.trials_part',
    'nutmegroad.rollouts.orders_part',
    'nutmegroad.daemon.part',
    'nutmegroad.operators.operator_rollouts',
    'nutmegroad.operators.part',
    'nutmegroad.callers.part',
)


def load_plugins(more: tuple[str, ...] = ()) -> None:
    """Import every plug-in, and more that the settings name.

    Raises:
        RegistryError: If one of those can not be imported.
    """
    for name in PLUGINS:
        import_module(name)
    for extra in more:
        _load_extra(extra)


def _load_extra(name: str) -> None:
    """Import a module that is not ours.

    Raises:
        RegistryError: If it can not be imported.
    """
    try:
        import_module(name)
    except ImportError as problem:
        message = f'The plug-in {name!r} can not be imported: {problem}.'
        raise RegistryError(message) from problem
