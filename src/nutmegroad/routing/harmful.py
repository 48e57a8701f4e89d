"""Keeps requests under which upstreams crashed from reaching further ones.

Crashes are remembered by the attributes of requests, since callers send them
again under other ids and to other hosts, and send others that have the cause in
common. A request that merely ran beside a harmful one looks the same at first.
Therefore one host of each failure domain executes a suspected request once
more, as a probe, before it is blocked for long.
"""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import ClassVar, Final

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.upstreams import EngineClient
from nutmegroad.fleet.crash_probes import is_probe_due
from nutmegroad.fleet.crash_records import (
    NEVER,
    UpstreamCrash,
    fingerprint_upstream,
)
from nutmegroad.fleet.crash_reports import CrashReport
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.request_attributes import (
    AttributeFingerprint,
    RequestAttributes,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import (
    AttemptId,
    HostId,
    Ran,
    UpstreamId,
    UpstreamIncarnation,
    UpstreamInfo,
    VersionId,
)
from nutmegroad.routing.attempts import AttemptExecution
from nutmegroad.routing.attributes import AttributedRequest

_LOG: Final = part_logger('harmful')

#: Seconds that a request waits for the check whether its upstream crashed; a
#: late host waits for longer. One whose machine lost power does not refuse the
#: connection, so the request continues after this time.
TERMINATION_CHECK_TIMEOUT: Final = 0.05

#: Minimum seconds after which a refused caller should retry; the result of a
#: probe execution is expected by then.
PROBE_RETRY_AFTER: Final = 1.5

#: Maximum number of attributes whose probe executions are remembered.
MAX_PROBED: Final = 1000

#: Maximum number of upstreams whose last crash is remembered.
MAX_INCARNATIONS: Final = 1000

#: Seconds between two broadcasts while there is something to send.
BROADCAST_INTERVAL: Final = 0.25

#: Results of an attempt whose upstream may have crashed meanwhile.
_INTERRUPTED: Final = frozenset(
    (ResultCode.ANSWER_CUT, ResultCode.UPSTREAM_ERROR)
)


class CrashDigest(Message, frozen=True, tag='crash-digest'):
    """Attributes of requests under which upstreams have crashed recently.

    Attributes:
        crashes: The crashes, and answers received since.
    """

    part: ClassVar[str] = 'harmful'
    replaceable: ClassVar[bool] = True

    crashes: CrashReport


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt under which its upstream may have crashed.

    Attributes:
        attempt: The id of the attempt.
        upstream: The upstream.
        version: The version that was to answer; empty at a plain service.
        seconds: Seconds for which it was executed; 0 if unknown.
    """

    attempt: AttemptId
    upstream: UpstreamInfo
    version: VersionId
    seconds: float


class HarmfulRequests:
    """Decides which requests may not be sent to upstreams.

    Args:
        engines: Client that shows whether an upstream accepts connections.
        clock: The host's clock.
    """

    def __init__(self, engines: EngineClient, clock: Clock) -> None:
        #: Returns the seconds by which this host delays an exchange.
        self.own_delay: Callable[[], float] = _no_delay
        self.crashes = CrashTracker(clock)
        #: Returns whether this host may probe requests with an attribute.
        self.may_probe: Callable[[AttributeFingerprint], bool] = _allow_always
        self._engines = engines
        self._clock = clock
        # Clock seconds of the probes with each attribute. The attribute that
        # was probed last is the last one.
        self._probed: dict[AttributeFingerprint, list[float]] = {}
        # The last incarnation of each upstream that crashed, with the clock
        # time in seconds; the one that crashed last is the last one.
        self._incarnations: dict[
            UpstreamId, tuple[float, UpstreamIncarnation]
        ] = {}

    def refusal_for(self, request: AttributedRequest) -> Refusal | None:
        """Return why a request may not go to an upstream now, or None."""
        harmful = self.crashes.harmful(request.attributes)
        if harmful is None:
            return None
        causes = [cause.label for cause in harmful.causes]
        if not harmful.pause and self._claim_probe(harmful.causes):
            _LOG.decision(
                'tried once more',
                request=request.request,
                causes=causes,
                ends=harmful.crash_count,
            )
            return None
        return Refusal(
            ResultCode.REQUEST_HARMFUL,
            f'{harmful.crash_count} upstreams have crashed '
            f'while executing requests with {" and ".join(causes)}.',
            Ran.NOT_RUN,
            max(harmful.pause, PROBE_RETRY_AFTER),
        )

    async def attempt_ended(
        self, request: AttributedRequest, execution: AttemptExecution
    ) -> None:
        """Record how an engine's attempt ended."""
        if execution.received.ending is not None:
            self.record_answer(request)
            return
        end = execution.end
        await self.record_failure(
            request,
            EndedAttempt(
                execution.start.attempt,
                execution.state.info,
                execution.start.version,
                0 if end is None else end.seconds,
            ),
            execution.received.refusal,
        )

    def record_answer(self, request: AttributedRequest) -> None:
        """Record a complete answer, which clears the request's attributes."""
        cleared = self.crashes.record_answer(
            request.attributes, self._clock.now()
        )
        if cleared:
            _LOG.decision(
                'cleared by an answer',
                request=request.request,
                cleared=[each.label for each in cleared],
            )

    async def record_failure(
        self,
        request: AttributedRequest,
        attempt: EndedAttempt,
        refusal: Refusal | None,
    ) -> None:
        """Record a failed attempt if its upstream has crashed.

        Args:
            request: The request.
            attempt: The attempt.
            refusal: Why it failed.
        """
        if refusal is None or refusal.code not in _INTERRUPTED:
            return
        now = self._clock.now()
        if not await self._has_crashed(attempt.upstream):
            return
        began = now - attempt.seconds
        incarnation = self._identify_incarnation(attempt, began, now)
        crash = UpstreamCrash(fingerprint_upstream(incarnation), began, now)
        self.crashes.record_crash(request.attributes, crash)
        harmful = self.crashes.harmful(request.attributes)
        causes = () if harmful is None else harmful.causes
        _LOG.decision(
            'upstream ended under it',
            request=request.request,
            attributes=[each.label for each in request.attributes],
            causes=[cause.label for cause in causes],
            upstream=attempt.upstream.upstream,
            version=attempt.version,
            ran=round(attempt.seconds, 3),
            ends=0 if harmful is None else harmful.crash_count,
        )

    def _identify_incarnation(
        self, attempt: EndedAttempt, began: float, now: float
    ) -> UpstreamIncarnation:
        """Return what identifies the incarnation that has crashed.

        An upstream restarts under the same id, so the id of the first attempt
        that broke is added. All that began before that belong to one crash.

        Args:
            attempt: The attempt.
            began: Clock seconds at which it began.
            now: Clock seconds of the crash.
        """
        name = attempt.upstream.upstream
        crashed_at, incarnation = self._incarnations.pop(name, (NEVER, None))
        if incarnation is None or began >= crashed_at:
            crashed_at = now
            incarnation = UpstreamIncarnation(f'{name}/{attempt.attempt}')
        self._incarnations[name] = (crashed_at, incarnation)
        if len(self._incarnations) > MAX_INCARNATIONS:
            self._incarnations.pop(next(iter(self._incarnations)))
        return incarnation

    async def _has_crashed(self, upstream: UpstreamInfo) -> bool:
        """Return whether an upstream refuses new connections."""
        timeout = TERMINATION_CHECK_TIMEOUT + self.own_delay()
        with suppress(TimeoutError):
            async with ReadTimeout(timeout):
                report = await self._engines.report(upstream)
                return (
                    isinstance(report, Refusal)
                    and report.code is ResultCode.UPSTREAM_UNREACHABLE
                )
        return False

    def _claim_probe(self, causes: RequestAttributes) -> bool:
        """Return whether this host probes a request now, and record it."""
        now = self._clock.now()
        attributes = [cause.fingerprint for cause in causes]
        if not all(self._is_probe_due(each, now) for each in attributes):
            return False
        # One host of the failure domain has the duty, whatever their number.
        if not self.may_probe(min(attributes)):
            return False
        for each in attributes:
            self._probed[each] = [*self._probed.pop(each, ()), now]
        while len(self._probed) > MAX_PROBED:
            self._probed.pop(next(iter(self._probed)))
        return True

    def _is_probe_due(
        self, attribute: AttributeFingerprint, now: float
    ) -> bool:
        """Return whether an attribute may be probed, by earlier probes."""
        record = self.crashes.records.get(attribute)
        answered_at = NEVER if record is None else record.answered_at
        return is_probe_due(self._probed.get(attribute, ()), answered_at, now)


class CrashExchange:
    """Broadcasts under which requests upstreams have crashed.

    Args:
        mesh: Links to other hosts.
        crashes: The crashes known to this host, by request.
        clock: The host's clock.
    """

    def __init__(self, mesh: Mesh, crashes: CrashTracker, clock: Clock) -> None:
        self._mesh = mesh
        self._crashes = crashes
        self._clock = clock
        mesh.handle(CrashDigest, self._receive)

    async def run(self) -> None:
        """Broadcast while there is something to send, until cancelled.

        Received entries are sent on, so that they reach hosts without a
        direct link.
        """
        while True:
            await self._clock.sleep(BROADCAST_INTERVAL)
            if self._crashes.has_updates:
                self._mesh.broadcast(CrashDigest(self._crashes.report()))

    async def _receive(self, host: HostId, digest: CrashDigest) -> None:
        """Store the entries that another host has sent."""
        self._crashes.merge(digest.crashes)


def _no_delay() -> float:
    """Return that this host delays nothing."""
    return 0


def _allow_always(attribute: AttributeFingerprint) -> bool:
    """Allow every probe; used when there is no other host to decide."""
    return True
