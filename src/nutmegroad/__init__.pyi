"""A model-aware router for versions and cascades.

What a plug-in, an adapter or a test bench needs is here; people import it
from the package. All else is internal and may change.
"""

from typing import Final

from nutmegroad.clocks import Clock as Clock
from nutmegroad.clocks import SystemClock as SystemClock
from nutmegroad.core import Kernel as Kernel
from nutmegroad.core import Part as Part
from nutmegroad.decisions import Admitter as Admitter
from nutmegroad.decisions import AttemptEnd as AttemptEnd
from nutmegroad.decisions import AttemptStart as AttemptStart
from nutmegroad.decisions import Choice as Choice
from nutmegroad.decisions import Observer as Observer
from nutmegroad.decisions import Planner as Planner
from nutmegroad.decisions import Quarantine as Quarantine
from nutmegroad.decisions import RetryBudget as RetryBudget
from nutmegroad.decisions import Selector as Selector
from nutmegroad.directory import Directory as Directory
from nutmegroad.documents import Document as Document
from nutmegroad.documents import parse_document as parse_document
from nutmegroad.exceptions import NutmegroadError as NutmegroadError
from nutmegroad.exceptions import RegistryError as RegistryError
from nutmegroad.exceptions import SettingsError as SettingsError
from nutmegroad.invariants import Invariants as Invariants
from nutmegroad.metrics import Metrics as Metrics
from nutmegroad.peers import Member as Member
from nutmegroad.peers import Mesh as Mesh
from nutmegroad.peers import Message as Message
from nutmegroad.platform import HostList as HostList
from nutmegroad.platform import Objects as Objects
from nutmegroad.platform import Ratings as Ratings
from nutmegroad.platform import Table as Table
from nutmegroad.platform import Weights as Weights
from nutmegroad.registry import lookup as lookup
from nutmegroad.registry import register as register
from nutmegroad.requests import ModelRequest as ModelRequest
from nutmegroad.requests import Plan as Plan
from nutmegroad.results import Refusal as Refusal
from nutmegroad.results import ResultCode as ResultCode
from nutmegroad.settings import Settings as Settings
from nutmegroad.settings import read_settings as read_settings
from nutmegroad.types import Address as Address
from nutmegroad.types import DomainId as DomainId
from nutmegroad.types import HostId as HostId
from nutmegroad.types import Ran as Ran
from nutmegroad.types import RequestId as RequestId
from nutmegroad.types import TaskName as TaskName
from nutmegroad.types import UpstreamId as UpstreamId
from nutmegroad.types import UpstreamInfo as UpstreamInfo
from nutmegroad.types import UpstreamKind as UpstreamKind
from nutmegroad.types import VersionId as VersionId
from nutmegroad.types import WorkspaceId as WorkspaceId
from nutmegroad.upstreams import Attempt as Attempt
from nutmegroad.upstreams import EngineClient as EngineClient
from nutmegroad.upstreams import EngineReport as EngineReport
from nutmegroad.upstreams import ServiceClient as ServiceClient

__version__: Final = '0.1.0'
