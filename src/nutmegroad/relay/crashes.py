"""Detection of harmful requests: requests that crash their upstreams.

A request is refused, apart from one probe execution, if several upstream
processes have terminated under it or under others with the same attribute.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final

from nutmegroad.fleet.crash_causes import BlockedRequest
from nutmegroad.fleet.crash_records import UpstreamCrash, fingerprint_upstream
from nutmegroad.fleet.crash_rows import CrashRows
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.request_attributes import format_fingerprint
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.timeouts import wait_done
from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.end_checks import EndVerifier
from nutmegroad.relay.process_checks import ProcessChecker, ProcessState
from nutmegroad.routes.requests import CallerRequest, PartId
from nutmegroad.upstreams.directory import (
    IncarnationEnd,
    Upstream,
    UpstreamEntry,
)
from nutmegroad.upstreams.selection import Choice

_LOG: Final = part_logger('crashes')

#: Seconds for which a request waits for the check of its upstream's process:
#: several round trips. A late host waits for longer. A machine without power
#: does not refuse connections; the request then proceeds, and the crash counts
#: once it is confirmed.
CHECK_TIMEOUT: Final = 0.05

#: Seconds within which the list of upstreams shows a restart at the time of a
#: broken exchange: the pause of the supervisor, and one heartbeat.
RESTART_WINDOW: Final = 10.0

#: Seconds from the first event of a stream after which its upstream counts as
#: answering it. What crashes an upstream may let it send an event before.
PROGRESS_TIME: Final = 0.25

#: Maximum number of unconfirmed broken exchanges that are recorded per upstream
#: in that time.
MAX_UNCONFIRMED: Final = 200


@dataclass(frozen=True, slots=True)
class _BrokenExchange:
    """A broken exchange whose cause is not known yet.

    Attributes:
        request: The request.
        entry: The upstream.
        crash: The crash to record if the upstream's process has terminated.
    """

    request: CallerRequest
    entry: UpstreamEntry
    crash: UpstreamCrash


class CrashMonitor:
    """Records which requests were pending when upstreams terminated.

    Args:
        connector: Opens direct connections to upstreams.
        verifier: Verifies that upstreams have terminated.
        tracker: Crashes that this host and others have recorded, by request.
        rows: Publishes harmful requests, and decides which host may make a
            probe execution.
        clock: The host's clock.
        counters: The host's metrics.
        own_delay: Returns the seconds by which this host delays an exchange.
    """

    def __init__(
        self,
        connector: Connector,
        verifier: EndVerifier,
        tracker: CrashTracker,
        rows: CrashRows,
        clock: Clock,
        counters: RelayCounters,
        own_delay: Callable[[], float],
    ) -> None:
        self._own_delay = own_delay
        self._processes = ProcessChecker(connector)
        self._verifier = verifier
        self._tracker = tracker
        self._rows = rows
        self._clock = clock
        self._counters = counters
        self._checks: set[asyncio.Task[None]] = set()
        self._unconfirmed: dict[
            UpstreamIncarnation, deque[_BrokenExchange]
        ] = {}

    def guard(self, request: CallerRequest) -> 'CrashGuard':
        """Return the crash guard of one request."""
        return CrashGuard(self, request)

    def harmful(self, request: CallerRequest) -> BlockedRequest | None:
        """Return why a request is refused as harmful, or None."""
        return self._tracker.harmful(request.attributes)

    async def claim_probe(
        self, request: CallerRequest, harmful: BlockedRequest
    ) -> bool:
        """Return whether this host may make a probe execution of a request.

        Before a request is refused for a long period, one host executes it
        while no other suspected request runs: the request may be harmless, and
        each time have run beside the one that caused the crash.
        """
        if harmful.pause or not await self._rows.claim_probe(harmful.causes):
            return False
        _LOG.decision(
            'tried once more',
            request=request.request_id,
            content=format_fingerprint(request.content),
            causes=[cause.label for cause in harmful.causes],
            ends=harmful.crash_count,
        )
        return True

    async def exchange_broken(
        self,
        request: CallerRequest,
        upstream: Upstream,
        began: float,
    ) -> None:
        """Check whether a broken exchange was caused by a crash.

        Args:
            request: The request.
            upstream: The upstream.
            began: Clock seconds at which it was sent there.
        """
        fingerprint = fingerprint_upstream(upstream.entry.incarnation)
        crash = UpstreamCrash(fingerprint, began, self._clock.now())
        broken = _BrokenExchange(request, upstream.entry, crash)
        checked = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(
            self._check_process(upstream, broken, checked)
        )
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)
        await wait_done(checked, CHECK_TIMEOUT + self._own_delay())

    def upstream_ended(
        self, upstream: UpstreamIncarnation, end: IncarnationEnd
    ) -> None:
        """Count recent broken exchanges of an upstream that has restarted.

        The connection attempt does not detect this crash if the supervisor
        restarts the process before it, or if the upstream's machine has lost
        power and so does not refuse connections.
        """
        if end is not IncarnationEnd.RESTARTED:
            return
        oldest = self._clock.now() - RESTART_WINDOW
        for broken in self._unconfirmed.pop(upstream, ()):
            if broken.crash.crashed_at >= oldest:
                self._record_crash(broken)

    def answered(self, request: CallerRequest) -> None:
        """Clear the attributes of a request after a complete answer."""
        cleared = self._tracker.record_answer(
            request.attributes, self._clock.now()
        )
        if cleared:
            _LOG.decision(
                'harmful request cleared by a complete answer',
                request=request.request_id,
                content=format_fingerprint(request.content),
                cleared=[each.label for each in cleared],
            )

    def progressed(self, request: CallerRequest) -> None:
        """Record that an upstream has been answering a request for a while."""
        self._tracker.record_progress(request.attributes, self._clock.now())

    def close_with(self, stack: AsyncExitStack) -> None:
        """Cancel running checks when a stack closes."""
        stack.callback(self._cancel)

    def _cancel(self) -> None:
        """Cancel running checks."""
        for task in self._checks:
            task.cancel()

    async def _check_process(
        self,
        upstream: Upstream,
        broken: _BrokenExchange,
        checked: asyncio.Future[None],
    ) -> None:
        """Check whether an upstream's process has terminated, and record that.

        Args:
            upstream: The upstream.
            broken: The broken exchange.
            checked: Done once the request need not wait any longer.
        """
        found = await self._processes.check(upstream.entry)
        state = found.state
        if upstream.restarted:
            # The connection attempt reached a new incarnation.
            state = ProcessState.ENDED
        elif state is ProcessState.ENDED:
            state = await self._verifier.verify(upstream, behind_proxy=False)
        self._counters.exchange_broken(state.value)
        if state is ProcessState.ENDED:
            await self._confirm(broken)
            checked.set_result(None)
            return
        if not upstream.path_lost:
            self._record_unconfirmed(broken)
        checked.set_result(None)
        if not await found.was_closed_at_once():
            return
        self._counters.exchange_broken(ProcessState.CLOSED_BY_PROXY.value)
        state = await self._verifier.verify(upstream, behind_proxy=True)
        if state is ProcessState.UNKNOWN:
            return
        known = self._unconfirmed.get(upstream.entry.incarnation)
        if known and broken in known:
            # No restart has confirmed it in the meantime.
            known.remove(broken)
            if state is ProcessState.ENDED:
                await self._confirm(broken)

    async def _confirm(self, broken: _BrokenExchange) -> None:
        """Record a confirmed crash; publish it if the request is harmful."""
        if self._record_crash(broken) is not None:
            await self._rows.write()

    def _record_crash(self, broken: _BrokenExchange) -> BlockedRequest | None:
        """Record that an upstream has terminated under a request.

        Returns:
            Why the request is blocked from now on, or None if it is not.
        """
        request = broken.request
        self._tracker.record_crash(request.attributes, broken.crash)
        harmful = self._tracker.harmful(request.attributes)
        causes = () if harmful is None else harmful.causes
        _LOG.decision(
            'upstream ended under it',
            request=request.request_id,
            content=format_fingerprint(request.content),
            parts=_part_ids(request),
            causes=[cause.label for cause in causes],
            upstream=broken.entry.upstream,
            version=broken.entry.version,
            ran=round(broken.crash.crashed_at - broken.crash.sent_at, 3),
            ends=0 if harmful is None else harmful.crash_count,
        )
        return harmful

    def _record_unconfirmed(self, broken: _BrokenExchange) -> None:
        """Record a broken exchange that a later restart may confirm."""
        oldest = self._clock.now() - RESTART_WINDOW
        for other, exchanges in tuple(self._unconfirmed.items()):
            if not exchanges or exchanges[-1].crash.crashed_at < oldest:
                self._unconfirmed.pop(other)
        name = broken.entry.incarnation
        known = self._unconfirmed.setdefault(
            name, deque(maxlen=MAX_UNCONFIRMED)
        )
        known.append(broken)


class CrashGuard:
    """Keeps one request from upstreams that it may crash.

    Args:
        monitor: Records which requests were pending when upstreams terminated.
        request: The request.
    """

    @property
    def probing(self) -> bool:
        """Whether a probe execution is due that has reached no upstream yet."""
        return self._probing

    def __init__(self, monitor: CrashMonitor, request: CallerRequest) -> None:
        self._monitor = monitor
        self._request = request
        self._probing = False
        # Clock seconds of the present execution's first event; None before it.
        self._first_event: float | None = None
        self._progressed = False

    async def blocked_by(
        self, choose: Callable[[], Choice | None]
    ) -> BlockedRequest | None:
        """Return why the request may not be sent to an upstream now, or None.

        A probe execution stays due until it has reached an upstream: attempts
        that no upstream accepts reveal nothing about the request.

        Args:
            choose: Returns an upstream that can execute it. If there is none,
                the probe is left to another request.
        """
        if self._probing:
            return None
        harmful = self._monitor.harmful(self._request)
        if harmful is None:
            return None
        if choose() is not None:
            self._probing = await self._monitor.claim_probe(
                self._request, harmful
            )
        return None if self._probing else harmful

    def execution_started(self) -> None:
        """Record that an upstream may execute the request; ends the probe."""
        self._probing = False
        self._first_event = None

    async def exchange_broken(self, upstream: Upstream, began: float) -> None:
        """Handle a broken exchange of a request that may have been executed.

        Args:
            upstream: The upstream.
            began: Clock seconds at which the request was sent there.
        """
        await self._monitor.exchange_broken(self._request, upstream, began)

    def answered(self) -> None:
        """Record a complete answer of an upstream that is no server error."""
        self._monitor.answered(self._request)

    def event_received(self, now: float) -> None:
        """Record that an upstream goes on answering.

        Args:
            now: Clock time in seconds.
        """
        if self._first_event is None:
            self._first_event = now
        elif not self._progressed and now - self._first_event >= PROGRESS_TIME:
            self._progressed = True
            self._monitor.progressed(self._request)


def _part_ids(request: CallerRequest) -> tuple[PartId, ...]:
    """Return the ids of the parts of a request's prompt, in order."""
    if request.generation is None:
        return ()
    return tuple(part.part_id for part in request.generation.parts)
