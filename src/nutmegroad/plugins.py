"""The plug-in modules that every host imports; each registers itself."""

from importlib import import_module
from typing import Final

PLUGINS: Final = (
    'nutmegroad._metrics_part',
    'nutmegroad._platform_part',
    'nutmegroad._upstreams_part',
    'nutmegroad._configuration_part',
    'nutmegroad._records_part',
    'nutmegroad.policies',
    'nutmegroad.baselines',
    'nutmegroad.selection',
    'nutmegroad.admission',
    'nutmegroad.retries',
    'nutmegroad._load_part',
    'nutmegroad._routing_part',
    'nutmegroad._listeners_part',
)


def load_plugins() -> None:
    """Import every plug-in."""
    for name in PLUGINS:
        import_module(name)
