"""The plug-in modules that every host imports; each registers itself."""

from importlib import import_module
from typing import Final

from nutmegroad.exceptions import RegistryError

PLUGINS: Final = (
    'nutmegroad._metrics_part',
    'nutmegroad._platform_part',
    'nutmegroad._mesh_part',
    'nutmegroad._upstreams_part',
    'nutmegroad._configuration_part',
    'nutmegroad.operator_configuration',
    'nutmegroad.operator_presets',
    'nutmegroad.operator_withdrawals',
    'nutmegroad.operator_workspaces',
    'nutmegroad._records_part',
    'nutmegroad.policies',
    'nutmegroad.baselines',
    'nutmegroad.plain_selectors',
    'nutmegroad.selection',
    'nutmegroad.admission',
    'nutmegroad.retries',
    'nutmegroad._load_part',
    'nutmegroad._quality_part',
    'nutmegroad._routing_part',
    'nutmegroad._ratings_part',
    'nutmegroad._exposure_part',
    'nutmegroad._rollouts_part',
    'nutmegroad._trials_part',
    'nutmegroad._orders_part',
    'nutmegroad._safety_part',
    'nutmegroad.operator_rollouts',
    'nutmegroad._operators_part',
    'nutmegroad._callers_part',
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
