"""Imports the plug-in modules, which register themselves when imported."""

from importlib import import_module
from typing import Final

from nutmegroad.foundations.exceptions import RegistryError

#: Plug-in modules that every host imports, in this order.
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


def load_plugins(extra: tuple[str, ...] = ()) -> None:
    """Import the plug-ins of the project, then extra ones.

    Args:
        extra: Names of further modules, from the settings.

    Raises:
        RegistryError: If an extra module cannot be imported.
    """
    for name in PLUGINS:
        import_module(name)
    for extra_name in extra:
        _load_extra(extra_name)


def _load_extra(name: str) -> None:
    """Import a plug-in that is not part of the project.

    Raises:
        RegistryError: If it cannot be imported.
    """
    try:
        import_module(name)
    except ImportError as error:
        message = f'The plug-in {name!r} cannot be imported: {error}.'
        raise RegistryError(message) from error
