"""Faults that a test or a demo switches on inside a stand-in."""

import random
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Annotated, Final

from aiohttp import web
from msgspec import DecodeError, Meta, Struct
from msgspec.json import decode

from nutmegroad.foundations.clocks import Clock

#: The scope that every call falls under.
ALL_SCOPES: Final = 'all'
FAULTS_PATH: Final = '/admin/faults'


@unique
class FaultKind(Enum):
    """What goes wrong; each stand-in honours the kinds on its own page."""

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


class FaultOrder(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``POST /admin/faults``.

    Attributes:
        kind: What goes wrong.
        scope: The part of the stand-in that it strikes.
        share: Share of the calls that it hits, from 0 to 1.
        seconds: How long it lasts; for ``bad``, how long the fall takes.
            None is for ever, and at once for ``bad``.
        delay: Seconds that it adds, or the factor of an engine's ``slow``.
        count: How many calls it hits before it is over; None is no bound.
        version: The only version that it strikes; empty for all.
        task: The only task class that it strikes; empty for all. Where replies
            to written rows are lost: the first word of their keys.
        quality: What the quality falls to, for ``bad``.
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
    """What a call touches, to find the faults that strike it.

    Attributes:
        scope: The part of the stand-in that is called.
        version: The version that is called; empty if none is.
        task: The task class of the call; empty if it has none.
    """

    scope: str = ALL_SCOPES
    version: str = ''
    task: str = ''


ANY_TARGET: Final = FaultTarget()


@dataclass(slots=True)
class ActiveFault:
    """A fault that is switched on.

    Attributes:
        order: What was asked for.
        since: When it was switched on, in seconds of the clock.
        hits: How many calls it has hit.
    """

    order: FaultOrder
    since: float
    hits: int = 0

    def is_over(self, now: float) -> bool:
        """Tell whether its time or its count is used up."""
        order = self.order
        if order.count is not None and self.hits >= order.count:
            return True
        # A version that has turned bad stays bad once it has fallen.
        if order.seconds is None or order.kind is FaultKind.BAD:
            return False
        return now >= self.since + order.seconds

    def strikes(self, kind: FaultKind, target: FaultTarget) -> bool:
        """Tell whether it concerns such a call."""
        order = self.order
        return (
            order.kind is kind
            and order.scope in {ALL_SCOPES, target.scope}
            and order.version in {'', target.version}
            and order.task in {'', target.task}
        )


class Faults:
    """The faults that are on in one stand-in.

    Args:
        clock: Tells when a fault is over.
        randomness: Draws which calls are hit.
    """

    def __init__(self, clock: Clock, randomness: random.Random) -> None:
        self._clock = clock
        self._randomness = randomness
        self._active: list[ActiveFault] = []

    def add(self, order: FaultOrder) -> None:
        """Switch a fault on."""
        self._active.append(ActiveFault(order, self._clock.now()))

    def clear(self) -> None:
        """Switch all faults off."""
        self._active.clear()

    def find(
        self,
        kind: FaultKind,
        target: FaultTarget = ANY_TARGET,
    ) -> ActiveFault | None:
        """Return the newest such fault, without drawing or counting a hit."""
        now = self._clock.now()
        self._active = [
            fault for fault in self._active if not fault.is_over(now)
        ]
        for fault in reversed(self._active):
            if fault.strikes(kind, target):
                return fault
        return None

    def hit(
        self,
        kind: FaultKind,
        target: FaultTarget = ANY_TARGET,
    ) -> FaultOrder | None:
        """Return the fault that hits this call, and count the hit."""
        fault = self.find(kind, target)
        if fault is None or self._randomness.random() >= fault.order.share:
            return None
        fault.hits += 1
        return fault.order


FAULTS: Final = web.AppKey('faults', Faults)


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Let callers switch an application's faults."""
    app[FAULTS] = faults
    app.router.add_post(FAULTS_PATH, _switch_on)
    app.router.add_delete(FAULTS_PATH, _switch_off)


def drop_connection(request: web.Request) -> web.Response:
    """Close a caller's connection at once; the response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _switch_on(request: web.Request) -> web.Response:
    try:
        order = decode(await request.read(), type=FaultOrder)
    except DecodeError as error:
        raise web.HTTPBadRequest(
            text=f'The fault is wrong: {error}.'
        ) from error
    request.app[FAULTS].add(order)
    return web.Response(status=HTTPStatus.NO_CONTENT)


async def _switch_off(request: web.Request) -> web.Response:
    request.app[FAULTS].clear()
    return web.Response(status=HTTPStatus.NO_CONTENT)
