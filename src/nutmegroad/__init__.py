"""A request router that knows the models, versions and cascades it serves.

This package exports the public API: what plug-ins, adapters and tests need.
Everything else is internal and may change. Names are imported lazily, on
first access, so that a program loads only the modules it uses. The same names
are declared for type checkers in ``__init__.pyi``.
"""

from importlib import import_module
from types import MappingProxyType
from typing import Final

#: The module that defines each public name.
_HOMES: Final = MappingProxyType(
    {
        'Clock': 'nutmegroad.foundations.clocks',
        'SystemClock': 'nutmegroad.foundations.clocks',
        'Kernel': 'nutmegroad.kernel.core',
        'Part': 'nutmegroad.kernel.core',
        'Admitter': 'nutmegroad.contracts.decisions',
        'AttemptEnd': 'nutmegroad.contracts.decisions',
        'AttemptStart': 'nutmegroad.contracts.decisions',
        'Choice': 'nutmegroad.contracts.decisions',
        'Observer': 'nutmegroad.contracts.decisions',
        'Planner': 'nutmegroad.contracts.decisions',
        'Quarantine': 'nutmegroad.contracts.decisions',
        'RetryBudget': 'nutmegroad.contracts.decisions',
        'Selector': 'nutmegroad.contracts.decisions',
        'Directory': 'nutmegroad.routing.directory',
        'Document': 'nutmegroad.contracts.documents',
        'parse_document': 'nutmegroad.contracts.documents',
        'NutmegroadError': 'nutmegroad.foundations.exceptions',
        'RegistryError': 'nutmegroad.foundations.exceptions',
        'SettingsError': 'nutmegroad.foundations.exceptions',
        'Invariants': 'nutmegroad.foundations.invariants',
        'Metrics': 'nutmegroad.foundations.metrics',
        'Member': 'nutmegroad.contracts.peers',
        'Mesh': 'nutmegroad.contracts.peers',
        'Message': 'nutmegroad.contracts.peers',
        'HostList': 'nutmegroad.contracts.platform',
        'Objects': 'nutmegroad.contracts.platform',
        'Ratings': 'nutmegroad.contracts.platform',
        'Table': 'nutmegroad.contracts.platform',
        'Weights': 'nutmegroad.contracts.platform',
        'lookup': 'nutmegroad.kernel.registry',
        'register': 'nutmegroad.kernel.registry',
        'ModelRequest': 'nutmegroad.contracts.requests',
        'Plan': 'nutmegroad.contracts.requests',
        'Refusal': 'nutmegroad.foundations.results',
        'ResultCode': 'nutmegroad.foundations.results',
        'Settings': 'nutmegroad.kernel.settings',
        'read_settings': 'nutmegroad.kernel.settings',
        'Address': 'nutmegroad.foundations.types',
        'DomainId': 'nutmegroad.foundations.types',
        'HostId': 'nutmegroad.foundations.types',
        'Ran': 'nutmegroad.foundations.types',
        'RequestId': 'nutmegroad.foundations.types',
        'TaskName': 'nutmegroad.foundations.types',
        'UpstreamId': 'nutmegroad.foundations.types',
        'UpstreamInfo': 'nutmegroad.foundations.types',
        'UpstreamKind': 'nutmegroad.foundations.types',
        'VersionId': 'nutmegroad.foundations.types',
        'WorkspaceId': 'nutmegroad.foundations.types',
        'Attempt': 'nutmegroad.contracts.upstreams',
        'EngineClient': 'nutmegroad.contracts.upstreams',
        'EngineReport': 'nutmegroad.contracts.upstreams',
        'ServiceClient': 'nutmegroad.contracts.upstreams',
    },
)

__version__: Final = '0.1.0'

__all__ = tuple(_HOMES)


def __getattr__(name: str) -> object:
    """Import a public name on first access."""
    home = _HOMES.get(name)
    if home is None:
        message = f'module {__name__!r} has no attribute {name!r}'
        raise AttributeError(message)
    return getattr(import_module(home), name)
