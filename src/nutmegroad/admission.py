"""Lets requests in by deadline and by fair shares, or refuses at once.

A request gets a permit as soon as this host's part of the engines' slots
has room. Until then it waits in a bounded queue. Whoever is refused, or is
pushed out of the queue, is answered in the same step.
"""

import asyncio
import random
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Final

from nutmegroad._demand import Demand
from nutmegroad._fair_queue import FairQueue, Lane, Waiting
from nutmegroad._service_times import ServiceTimes
from nutmegroad._slots import HostSlots, Identity
from nutmegroad.clocks import Clock
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.decisions import AttemptEnd, AttemptStart, Observers
from nutmegroad.directory import Directory
from nutmegroad.fleet import FleetLoad, LoadDigest
from nutmegroad.registry import register
from nutmegroad.requests import ModelRequest
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.shares import ShareLedger

#: Requests that may wait for each slot while no preset says so.
_QUEUE_LIMIT: Final = 2.0

#: How far beyond the bound a workspace may wait that has had less than its
#: share lately; a flood of others is no reason to refuse it.
_BEHIND: Final = 4

#: Callers are told to come back after so many times the backlog, so that
#: they do not come back together.
_SPREAD: Final = (1.0, 2.0)
_SOONEST: Final = 0.2
_LATEST: Final = 60.0

#: Seconds after a refusal for which the host counts as shedding.
_SHEDDING: Final = 3.0


class FairAdmitter:
    """Admits by deadline, share and priority.

    Args:
        slots: How many requests may run at once.
        configuration: Knows shares and the queue's bound.
        demand: Knows what workspaces ask for, here and elsewhere.
        clock: The host's clock.
        randomness: Spreads when callers come back.
    """

    def __init__(
        self,
        slots: HostSlots,
        configuration: Configuration,
        demand: Demand,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self.slots = slots
        self._configuration = configuration
        self._demand = demand
        self._clock = clock
        self._randomness = randomness
        self._times = ServiceTimes()
        self._queue = FairQueue(demand.weight)
        self._running = 0
        self._lanes: dict[Lane, int] = {}
        self._shed = float('-inf')

    @property
    def running(self) -> int:
        """Return how many permits are out."""
        return self._running

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many permits may be out."""
        return self.slots.limit(self._running)

    @property
    def entitlement(self) -> float:
        """Return this host's slots if all were divided by share."""
        return self._demand.entitlement(self.slots.permits)

    async def admit(
        self,
        request: ModelRequest,
    ) -> AbstractContextManager[None] | Refusal:
        """Return a permit to hold while the request runs, or a refusal."""
        waiting = self._waiting(request)
        if not self._queue.lane_waiting(waiting.lane) and self._has_room(
            waiting.lane
        ):
            self._queue.charge(request.workspace, waiting.cost)
            return self._permit(waiting)
        refusal = self._refusal(waiting)
        if refusal is not None:
            return refusal
        self._queue.push(waiting)
        outcome = await self._wait(waiting)
        return self._permit(waiting) if outcome is None else outcome

    def started(self, start: AttemptStart) -> None:
        """Learn nothing from a beginning."""

    def ended(self, end: AttemptEnd) -> None:
        """Learn how long requests take, and whether engines are full."""
        self.slots.pressure.ended(end.code)
        if end.code is ResultCode.OK:
            self._times.add(end)

    def wake(self) -> None:
        """Give out what room there is; called when limits may have grown."""
        while self._running < self.limit:
            waiting = self._queue.pop(self._lane_has_room)
            if waiting is None:
                return
            # One whose caller has just gone away gets no permit.
            if not waiting.outcome.done():
                self._take(waiting)
                waiting.outcome.set_result(None)

    def digest(self, identity: Identity) -> LoadDigest:
        """Return what other hosts are to know."""
        self._demand.observe(self._queue.counts)
        shed = self._clock.now() - self._shed < _SHEDDING
        return LoadDigest(
            host=identity.host,
            domain=identity.domain,
            limit=self.slots.holding,
            running=self._running,
            waiting=len(self._queue),
            shedding=shed,
            demand=self._demand.largest(),
        )

    def _waiting(self, request: ModelRequest) -> Waiting:
        """Return the request as the queue holds it."""
        return Waiting(
            request,
            frozenset(request.versions),
            self._times.expected(request),
            asyncio.get_running_loop().create_future(),
        )

    def _has_room(self, lane: Lane) -> bool:
        """Tell whether a request could run now."""
        room = self._running < self.limit
        return room and self._lane_has_room(lane)

    def _lane_has_room(self, lane: Lane) -> bool:
        """Tell whether a lane has a slot left."""
        return self._lanes.get(lane, 0) < self.slots.lane_limit(lane, self._running)

    def _refusal(self, waiting: Waiting) -> Refusal | None:
        """Return why a request may not even wait, or None."""
        request = waiting.request
        wait = self._queue.wait(request.workspace, self.limit)
        left = request.deadline - self._clock.now()
        if wait + waiting.cost > left:
            return self._refuse(
                waiting,
                ResultCode.DEADLINE_UNREACHABLE,
                f'It would wait {wait:.1f} s and take {waiting.cost:.1f} s, '
                f'but its deadline is in {left:.1f} s.',
            )
        bound = self._bound()
        if self._queue.is_behind(request.workspace):
            bound *= _BEHIND
        if len(self._queue) < bound:
            return None
        victim = self._victim(waiting)
        refusal = self._crowded(victim)
        if victim is waiting:
            return refusal
        self._queue.remove(victim)
        if not victim.outcome.done():
            victim.outcome.set_result(refusal)
        return None

    def _bound(self) -> float:
        """Return how many requests may wait."""
        accepted = self._configuration.accepted
        per_slot = _QUEUE_LIMIT
        if accepted is not None:
            per_slot = accepted.preset_entry.queue_limit
        return max(1, per_slot * self.limit)

    def _victim(self, waiting: Waiting) -> Waiting:
        """Return whom to push out: the greediest, cheapest to repeat."""
        own = waiting.request.workspace
        largest = self._queue.largest()
        excess = self._queue.excess(own, waiting.cost)
        if largest is None or excess >= self._queue.excess(largest):
            largest = own
        crowd = list(self._queue.of_workspace(largest))
        if largest == own:
            crowd.append(waiting)
        return max(crowd, key=_cheapness)

    def _crowded(self, victim: Waiting) -> Refusal:
        """Refuse for lack of room."""
        workspace = victim.request.workspace
        if len(self._queue.counts) > 1:
            return self._refuse(
                victim,
                ResultCode.SHARE_EXCEEDED,
                f'The workspace {workspace!r} has used its share of '
                f'{self.limit} slots, and others wait.',
            )
        return self._refuse(
            victim,
            ResultCode.OVERLOADED,
            f'{len(self._queue)} requests wait for {self.limit} slots.',
        )

    def _refuse(
        self,
        waiting: Waiting,
        code: ResultCode,
        reason: str,
    ) -> Refusal:
        """Refuse, with when to come back by the real backlog."""
        self._shed = self._clock.now()
        workspace = waiting.request.workspace
        self._demand.refused(workspace, waiting.cost)
        backlog = self._queue.wait(workspace, self.limit)
        spread = self._randomness.uniform(*_SPREAD)
        after = min(_LATEST, max(_SOONEST, backlog) * spread)
        return Refusal(code, reason, retry_after=after)

    async def _wait(self, waiting: Waiting) -> Refusal | None:
        """Wait for a slot, at most until the deadline is out of reach."""
        timer = asyncio.create_task(self._expire(waiting))
        try:
            return await waiting.outcome
        except asyncio.CancelledError:
            self._abandon(waiting)
            raise
        finally:
            timer.cancel()

    def _abandon(self, waiting: Waiting) -> None:
        """Clean up after a caller that went away."""
        outcome = waiting.outcome
        granted = outcome.done() and not outcome.cancelled()
        if granted and outcome.result() is None:
            self._release(waiting)
        self._queue.remove(waiting)

    async def _expire(self, waiting: Waiting) -> None:
        """Answer a request once it could not end in time any more."""
        latest = waiting.request.deadline - waiting.cost
        await self._clock.sleep(max(0, latest - self._clock.now()))
        if waiting.outcome.done():
            return
        self._queue.remove(waiting)
        reason = 'No slot came free in time for the deadline.'
        code = ResultCode.DEADLINE_UNREACHABLE
        waiting.outcome.set_result(self._refuse(waiting, code, reason))

    def _take(self, waiting: Waiting) -> None:
        """Count a permit."""
        waiting.began = self._clock.now()
        self._running += 1
        self._lanes[waiting.lane] = self._lanes.get(waiting.lane, 0) + 1
        self._demand.began(waiting.request.workspace)

    def _release(self, waiting: Waiting) -> None:
        """Take a permit back, and wake whoever is next."""
        self._running -= 1
        self._lanes[waiting.lane] -= 1
        if not self._lanes[waiting.lane]:
            self._lanes.pop(waiting.lane)
        workspace = waiting.request.workspace
        self._demand.ended(workspace)
        held = self._clock.now() - waiting.began
        self._queue.correct(workspace, held - waiting.cost)
        self.wake()

    def _permit(self, waiting: Waiting) -> AbstractContextManager[None]:
        """Return the permit of a request; one that waited is counted."""
        if not waiting.outcome.done():
            self._take(waiting)
        return self._held(waiting)

    @contextmanager
    def _held(self, waiting: Waiting) -> Iterator[None]:
        """Hold a permit."""
        try:
            yield
        finally:
            self._release(waiting)


@register('admitter', 'fair')
def fair_admitter(kernel: Kernel) -> FairAdmitter:
    """Make the admitter for a host."""
    configuration = kernel.need(Configuration)
    fleet = kernel.need(FleetLoad)
    identity = Identity(kernel.settings.host, kernel.settings.domain)
    slots = HostSlots(
        identity,
        kernel.need(Directory),
        fleet,
        kernel.need(ShareLedger),
        kernel.clock,
    )
    admitter = FairAdmitter(
        slots,
        configuration,
        Demand(configuration, fleet, identity),
        kernel.clock,
        kernel.randomness,
    )
    kernel.need(Observers).add(admitter)
    kernel.provide(FairAdmitter, admitter)
    return admitter


def _cheapness(waiting: Waiting) -> tuple[bool, int, int]:
    """Order by how little it costs to refuse a request now."""
    request = waiting.request
    cheap = request.repeatable and request.session is None
    return cheap, request.priority, waiting.order
