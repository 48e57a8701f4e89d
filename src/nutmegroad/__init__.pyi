"""A model-aware router for versions and cascades.

What a plug-in, an adapter or a test bench needs is here; people import it
from the package. All else is internal and may change.
"""

from typing import Final

from nutmegroad.contracts.decisions import Admitter as Admitter
from nutmegroad.contracts.decisions import AttemptEnd as AttemptEnd
from nutmegroad.contracts.decisions import AttemptStart as AttemptStart
from nutmegroad.contracts.decisions import Choice as Choice
from nutmegroad.contracts.decisions import Observer as Observer
from nutmegroad.contracts.decisions import Planner as Planner
from nutmegroad.contracts.decisions import Quarantine as Quarantine
from nutmegroad.contracts.decisions import RetryBudget as RetryBudget
from nutmegroad.contracts.decisions import Selector as Selector
from nutmegroad.contracts.documents import Document as Document
from nutmegroad.contracts.documents import parse_document as parse_document
from nutmegroad.contracts.peers import Member as Member
from nutmegroad.contracts.peers import Mesh as Mesh
from nutmegroad.contracts.peers import Message as Message
from nutmegroad.contracts.platform import HostList as HostList
from nutmegroad.contracts.platform import Objects as Objects
from nutmegroad.contracts.platform import Ratings as Ratings
from nutmegroad.contracts.platform import Table as Table
from nutmegroad.contracts.platform import Weights as Weights
from nutmegroad.contracts.requests import ModelRequest as ModelRequest
from nutmegroad.contracts.requests import Plan as Plan
from nutmegroad.contracts.upstreams import Attempt as Attempt
from nutmegroad.contracts.upstreams import EngineClient as EngineClient
from nutmegroad.contracts.upstreams import EngineReport as EngineReport
from nutmegroad.contracts.upstreams import ServiceClient as ServiceClient
from nutmegroad.foundations.clocks import Clock as Clock
from nutmegroad.foundations.clocks import SystemClock as SystemClock
from nutmegroad.foundations.exceptions import NutmegroadError as NutmegroadError
from nutmegroad.foundations.exceptions import RegistryError as RegistryError
from nutmegroad.foundations.exceptions import SettingsError as SettingsError
from nutmegroad.foundations.invariants import Invariants as Invariants
from nutmegroad.foundations.metrics import Metrics as Metrics
from nutmegroad.foundations.results import Refusal as Refusal
from nutmegroad.foundations.results import ResultCode as ResultCode
from nutmegroad.foundations.types import Address as Address
from nutmegroad.foundations.types import DomainId as DomainId
from nutmegroad.foundations.types import HostId as HostId
from nutmegroad.foundations.types import Ran as Ran
from nutmegroad.foundations.types import RequestId as RequestId
from nutmegroad.foundations.types import TaskName as TaskName
from nutmegroad.foundations.types import UpstreamId as UpstreamId
from nutmegroad.foundations.types import UpstreamInfo as UpstreamInfo
from nutmegroad.foundations.types import UpstreamKind as UpstreamKind
from nutmegroad.foundations.types import VersionId as VersionId
from nutmegroad.foundations.types import WorkspaceId as WorkspaceId
from nutmegroad.kernel.core import Kernel as Kernel
from nutmegroad.kernel.core import Part as Part
from nutmegroad.kernel.registry import lookup as lookup
from nutmegroad.kernel.registry import register as register
from nutmegroad.kernel.settings import Settings as Settings
from nutmegroad.kernel.settings import read_settings as read_settings
from nutmegroad.routing.directory import Directory as Directory

__version__: Final = '0.1.0'
