"""Fault injection for the stand-ins, over HTTP or from within a test."""

import random
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Annotated, Final

from aiohttp import web
from msgspec import DecodeError, Meta, Struct
from msgspec.json import decode

from nutmegroad.foundations.clocks import Clock

#: Scope that includes all calls of a stand-in.
ALL_SCOPES: Final = 'all'
#: Path of the calls that add and clear faults.
FAULTS_PATH: Final = '/admin/faults'


@unique
class FaultKind(Enum):
    """Kinds of faults.

    Each stand-in supports a subset, listed in ``docs/design/stand-ins.md``.
    """

    DOWN = 'down'
    SLOW = 'slow'
    LOSE_REPLY = 'lose_reply'
    STALE = 'stale'
    WRONG = 'wrong'
    FREEZE = 'freeze'
    CUT = 'cut'
    CROSS = 'cross'
    DUPLICATE = 'duplicate'
    LATE = 'late'
    ERROR = 'error'
    BAD = 'bad'


class FaultSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/faults``.

    Attributes:
        kind: Kind of the fault.
        scope: Part of the stand-in that is affected.
        share: Fraction of the calls that are affected, from 0 to 1.
        seconds: Duration of the fault, None for no end; for ``bad``, the time
            in which the quality falls, None for immediately.
        delay: Added delay in seconds; for an engine's ``slow``, the factor by
            which it is slowed down.
        count: Maximum number of affected calls; None for no limit.
        version: Only this version is affected; empty for all.
        task: Only this task class is affected; empty for all. For lost replies
            to row writes, the part of the rows' keys before the first slash.
        quality: Quality that a ``bad`` version falls to.
    """

    kind: FaultKind
    scope: str = ALL_SCOPES
    share: Annotated[float, Meta(ge=0, le=1)] = 1
    seconds: Annotated[float, Meta(ge=0)] | None = None
    delay: Annotated[float, Meta(ge=0)] = 0
    count: Annotated[int, Meta(ge=0)] | None = None
    version: str = ''
    task: str = ''
    quality: Annotated[float, Meta(ge=0, le=1)] = 0


@dataclass(frozen=True, slots=True)
class FaultTarget:
    """Properties of a call that decide which faults affect it.

    Attributes:
        scope: Part of the stand-in that is called.
        version: Requested version; empty if none.
        task: Task class of the call; empty if it has none.
    """

    scope: str = ALL_SCOPES
    version: str = ''
    task: str = ''


#: Target of calls that have no scope, version or task.
ANY_TARGET: Final = FaultTarget()


@dataclass(slots=True)
class ActiveFault:
    """A fault that is in effect.

    Attributes:
        spec: Description of the fault.
        since: Clock time in seconds at which it was added.
        hits: Number of calls that it has affected.
    """

    spec: FaultSpec
    since: float
    hits: int = 0

    def has_expired(self, now: float) -> bool:
        """Return whether its duration or its number of calls is exhausted."""
        spec = self.spec
        if spec.count is not None and self.hits >= spec.count:
            return True
        # A version stays bad after its quality has fallen.
        if spec.seconds is None or spec.kind is FaultKind.BAD:
            return False
        return now >= self.since + spec.seconds

    def matches(self, kind: FaultKind, target: FaultTarget) -> bool:
        """Return whether it affects calls with such a target."""
        spec = self.spec
        return (
            spec.kind is kind
            and spec.scope in {ALL_SCOPES, target.scope}
            and spec.version in {'', target.version}
            and spec.task in {'', target.task}
        )


class Faults:
    """Active faults of one stand-in.

    Args:
        clock: Source of times, for the expiry of faults.
        randomness: Selects the calls that are affected.
    """

    def __init__(self, clock: Clock, randomness: random.Random) -> None:
        self._clock = clock
        self._randomness = randomness
        self._active: list[ActiveFault] = []

    def add(self, spec: FaultSpec) -> None:
        """Activate a fault."""
        self._active.append(ActiveFault(spec, self._clock.now()))

    def clear(self) -> None:
        """Deactivate all faults."""
        self._active.clear()

    def find(
        self,
        kind: FaultKind,
        target: FaultTarget = ANY_TARGET,
    ) -> ActiveFault | None:
        """Return the newest matching fault; neither draws nor counts a hit."""
        now = self._clock.now()
        self._active = [
            fault for fault in self._active if not fault.has_expired(now)
        ]
        for fault in reversed(self._active):
            if fault.matches(kind, target):
                return fault
        return None

    def hit(
        self,
        kind: FaultKind,
        target: FaultTarget = ANY_TARGET,
    ) -> FaultSpec | None:
        """Return the fault that affects a call, if any, and count the hit."""
        fault = self.find(kind, target)
        if fault is None or self._randomness.random() >= fault.spec.share:
            return None
        fault.hits += 1
        return fault.spec


#: Application key of the faults.
FAULTS: Final = web.AppKey('faults', Faults)


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Add routes that activate and deactivate faults."""
    app[FAULTS] = faults
    app.router.add_post(FAULTS_PATH, _add_fault)
    app.router.add_delete(FAULTS_PATH, _clear_faults)


def drop_connection(request: web.Request) -> web.Response:
    """Abort the caller's connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _add_fault(request: web.Request) -> web.Response:
    try:
        spec = decode(await request.read(), type=FaultSpec)
    except DecodeError as error:
        raise web.HTTPBadRequest(text=f'invalid fault: {error}') from error
    request.app[FAULTS].add(spec)
    return web.Response(status=HTTPStatus.NO_CONTENT)


async def _clear_faults(request: web.Request) -> web.Response:
    request.app[FAULTS].clear()
    return web.Response(status=HTTPStatus.NO_CONTENT)
