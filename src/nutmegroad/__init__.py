"""A model-aware router for versions and cascades.

What a plug-in, an adapter or a test bench needs is here; people import it
from the package. All else is internal and may change. A name is loaded when
it is first asked for, so a program that needs a part starts with that part
alone; ``__init__.pyi`` has the same names for type checkers.
"""

from importlib import import_module
from types import MappingProxyType
from typing import Final

#: The module of each public name.
_HOMES: Final = MappingProxyType(
    {
        'Clock': 'nutmegroad.clocks',
        'SystemClock': 'nutmegroad.clocks',
        'Kernel': 'nutmegroad.core',
        'Part': 'nutmegroad.core',
        'Admitter': 'nutmegroad.decisions',
        'AttemptEnd': 'nutmegroad.decisions',
        'AttemptStart': 'nutmegroad.decisions',
        'Choice': 'nutmegroad.decisions',
        'Observer': 'nutmegroad.decisions',
        'Planner': 'nutmegroad.decisions',
        'Quarantine': 'nutmegroad.decisions',
        'RetryBudget': 'nutmegroad.decisions',
        'Selector': 'nutmegroad.decisions',
        'Directory': 'nutmegroad.directory',
        'Document': 'nutmegroad.documents',
        'parse_document': 'nutmegroad.documents',
        'NutmegroadError': 'nutmegroad.exceptions',
        'RegistryError': 'nutmegroad.exceptions',
        'SettingsError': 'nutmegroad.exceptions',
        'Invariants': 'nutmegroad.invariants',
        'Metrics': 'nutmegroad.metrics',
        'Member': 'nutmegroad.peers',
        'Mesh': 'nutmegroad.peers',
        'Message': 'nutmegroad.peers',
        'HostList': 'nutmegroad.platform',
        'Objects': 'nutmegroad.platform',
        'Ratings': 'nutmegroad.platform',
        'Table': 'nutmegroad.platform',
        'Weights': 'nutmegroad.platform',
        'lookup': 'nutmegroad.registry',
        'register': 'nutmegroad.registry',
        'ModelRequest': 'nutmegroad.requests',
        'Plan': 'nutmegroad.requests',
        'Refusal': 'nutmegroad.results',
        'ResultCode': 'nutmegroad.results',
        'Settings': 'nutmegroad.settings',
        'read_settings': 'nutmegroad.settings',
        'Address': 'nutmegroad.types',
        'DomainId': 'nutmegroad.types',
        'HostId': 'nutmegroad.types',
        'Ran': 'nutmegroad.types',
        'RequestId': 'nutmegroad.types',
        'TaskName': 'nutmegroad.types',
        'UpstreamId': 'nutmegroad.types',
        'UpstreamInfo': 'nutmegroad.types',
        'UpstreamKind': 'nutmegroad.types',
        'VersionId': 'nutmegroad.types',
        'WorkspaceId': 'nutmegroad.types',
        'Attempt': 'nutmegroad.upstreams',
        'EngineClient': 'nutmegroad.upstreams',
        'EngineReport': 'nutmegroad.upstreams',
        'ServiceClient': 'nutmegroad.upstreams',
    },
)

__version__: Final = '0.1.0'

__all__ = tuple(_HOMES)


def __getattr__(name: str) -> object:
    """Load a public name."""
    home = _HOMES.get(name)
    if home is None:
        message = f'module {__name__!r} has no attribute {name!r}'
        raise AttributeError(message)
    return getattr(import_module(home), name)
