"""Admission control by deadline and fair shares.

A request gets a permit as soon as this host's part of the engines' slots has
room. Until then it waits in a bounded queue. A request that is refused on
arrival or evicted from the queue is answered immediately.
"""

import asyncio
import random
from contextlib import AbstractContextManager
from dataclasses import asdict
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart, Observers
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.routing._demand import Demand
from nutmegroad.routing._fair_queue import FairQueue, QueuedRequest
from nutmegroad.routing._permits import Permits
from nutmegroad.routing._service_times import ServiceTimes
from nutmegroad.routing._shedding import LoadShedder
from nutmegroad.routing._slots import HostSlots, Identity
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.fleet_load import FleetLoad, LoadDigest
from nutmegroad.routing.shares import ShareLedger

_LOG: Final = part_logger('admission')


class FairAdmitter:
    """Admits requests by deadline, quota share and priority.

    Args:
        slots: Limits of the number of requests that may run concurrently.
        configuration: Configuration with quota shares and the queue limit.
        demand: Demand of the workspaces, here and at other hosts.
        clock: The host's clock.
        randomness: Jitter of retry times.

    Attributes:
        slots: Limits of the number of requests that may run concurrently.
        permits: The issued permits.
        request_queued: Set whenever a request is queued.
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
        self.request_queued = asyncio.Event()
        self._queue = FairQueue(demand.weight)
        self.permits = Permits(slots, self._queue, demand, clock)
        self._shedder = LoadShedder(
            self._queue,
            configuration,
            demand,
            clock,
            randomness,
        )
        self._demand = demand
        self._clock = clock
        self._times = ServiceTimes()

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def entitlement(self) -> float:
        """Return this host's permits under a division by quota share."""
        return self._demand.entitlement(self.slots.permits)

    async def admit(
        self,
        request: ModelRequest,
    ) -> AbstractContextManager[None] | Refusal:
        """Return a permit to hold while the request runs, or a refusal."""
        waiting = self._waiting(request)
        if self._may_run(waiting):
            self._queue.tags.charge(request.workspace, waiting.cost)
            self.permits.issue(waiting)
            return self.permits.held(waiting)
        refusal = self._refusal(waiting)
        if refusal is None:
            self._queue.push(waiting)
            self.request_queued.set()
            refusal = await self._wait(waiting)
        if refusal is None:
            return self.permits.held(waiting)
        self._log_refusal(request, refusal)
        return refusal

    def started(self, start: AttemptStart) -> None:
        """Ignore the start of an attempt."""

    def ended(self, end: AttemptEnd) -> None:
        """Learn how long requests run and whether engines are full."""
        self.slots.adaptive_limit.ended(end.code)
        if end.code is ResultCode.OK:
            self._times.add(end)

    def digest(self) -> LoadDigest:
        """Return the load digest to send to other hosts."""
        self._demand.observe(self._queue.counts)
        return LoadDigest(
            host=self.slots.identity.host,
            domain=self.slots.identity.domain,
            limit=self.slots.allotment,
            running=self.permits.running,
            waiting=len(self._queue),
            shedding=self._shedder.shedding,
            demand=self._demand.largest(),
        )

    def _waiting(self, request: ModelRequest) -> QueuedRequest:
        """Return the queue entry of a request."""
        return QueuedRequest(
            request,
            frozenset(request.versions),
            self._times.expected(request),
            asyncio.get_running_loop().create_future(),
        )

    def _may_run(self, waiting: QueuedRequest) -> bool:
        """Return whether a request may run without being queued."""
        if self._slack(waiting) <= 0:
            return False
        if self._queue.lane_waiting(waiting.lane):
            return False
        return self.permits.has_room(waiting.lane)

    def _slack(self, waiting: QueuedRequest) -> float:
        """Return the seconds within which a request must start in time."""
        remaining = waiting.request.deadline - self._clock.now()
        return remaining - waiting.cost

    def _refusal(self, waiting: QueuedRequest) -> Refusal | None:
        """Return why a request may not be queued, or None if it may.

        A request already in the queue is evicted if that makes room.
        """
        limit = self.permits.limit
        wait = self._queue.max_wait(waiting.request.workspace, limit)
        slack = self._slack(waiting)
        if slack <= 0 or wait > slack:
            return self._shedder.refuse(
                waiting,
                limit,
                ResultCode.DEADLINE_UNREACHABLE,
                f'The expected wait is {wait:.1f} s, but the request must '
                f'start within {max(0, slack):.1f} s to meet its deadline.',
            )
        # A queued request borrows what is missing, so the queue may be as long
        # as the slots that it can get, not only those held at this moment.
        obtainable = limit + self.slots.borrowable
        refused = self._shedder.to_refuse(waiting, obtainable)
        if refused is None:
            return None
        refusal = self._shedder.refuse_queue_full(refused, limit)
        if refused is waiting:
            return refusal
        self._queue.remove(refused)
        if not refused.outcome.done():
            refused.outcome.set_result(refusal)
        return None

    async def _wait(self, waiting: QueuedRequest) -> Refusal | None:
        """Wait for a slot, at most until the deadline cannot be met."""
        timer = asyncio.create_task(self._expire(waiting))
        try:
            return await waiting.outcome
        except asyncio.CancelledError:
            self._abandon(waiting)
            raise
        finally:
            timer.cancel()

    def _log_refusal(self, request: ModelRequest, refusal: Refusal) -> None:
        """Log a refusal with the inputs of the limit that caused it."""
        running = self.permits.running
        _LOG.decision(
            'refused',
            request=request.request,
            code=refusal.code.name,
            running=running,
            queued=self.queued,
            limit=self.permits.limit,
            **asdict(self.slots.inputs(running)),
        )

    def _abandon(self, waiting: QueuedRequest) -> None:
        """Clean up after a caller that has disconnected."""
        outcome = waiting.outcome
        self._queue.remove(waiting)
        granted = outcome.done() and not outcome.cancelled()
        if granted and outcome.result() is None:
            self.permits.release(waiting)

    async def _expire(self, waiting: QueuedRequest) -> None:
        """Refuse a queued request as soon as it cannot meet its deadline."""
        await self._clock.sleep(max(0, self._slack(waiting)))
        if waiting.outcome.done():
            return
        self._queue.remove(waiting)
        refusal = self._shedder.refuse(
            waiting,
            self.permits.limit,
            ResultCode.DEADLINE_UNREACHABLE,
            'No slot became free in time to meet the deadline.',
        )
        waiting.outcome.set_result(refusal)


@register('admitter', 'fair')
def fair_admitter(kernel: Kernel) -> FairAdmitter:
    """Create the admitter of a host."""
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
