"""Fences, which limit when and how often a request is sent to upstreams.

The gate of each attempt checks the fence of the request last, in the same
event-loop step in which the first byte is sent. So the fence counts every
attempt that was sent, whichever code sent it.
"""

from dataclasses import dataclass

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.invariants import (
    ONE_DISPATCH,
    TRUE_NOT_RUN,
    Invariants,
)
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, RequestId


@dataclass(frozen=True, slots=True)
class FenceTerms:
    """The limits that a fence enforces.

    Attributes:
        request: The request.
        repeatable: Whether the request may be executed more than once.
        send_by: Clock seconds at which its lease expires, from when on no
            first byte may be sent; None for a request without a lease.
    """

    request: RequestId
    repeatable: bool
    send_by: float | None = None


class Fence:
    """Decides whether the first byte of an attempt of a request may be sent.

    A host that was paused for longer than the lease of the request detects
    the expiry here, since the monotonic clock advances during the pause.

    Args:
        terms: The limits to enforce.
        clock: The host's clock.
        invariants: Records whether the request was sent too often.
    """

    def __init__(
        self,
        terms: FenceTerms,
        clock: Clock,
        invariants: Invariants,
    ) -> None:
        self._terms = terms
        self._clock = clock
        self._invariants = invariants
        self._passed = 0

    @property
    def sent_count(self) -> int:
        """The number of attempts that were sent and may have been executed."""
        return self._passed

    def admit(self) -> Refusal | None:
        """Admit and count an attempt that is sent now.

        Returns:
            None if it may be sent, otherwise why not.
        """
        terms = self._terms
        if terms.send_by is not None and self._clock.now() >= terms.send_by:
            return Refusal(
                ResultCode.HOST_PAUSED,
                'The lease of the request expired before it was sent.',
                retry_after=1,
            )
        if not terms.repeatable and not self._invariants.check(
            ONE_DISPATCH,
            self._passed == 0,
            f'request {terms.request} was about to be sent again',
        ):
            return Refusal(
                ResultCode.OUTCOME_UNKNOWN,
                'The request was sent before and may not be repeated.',
                Ran.UNKNOWN,
            )
        self._passed += 1
        return None

    def new_attempt(self) -> 'AttemptFence':
        """Return the fence of a new attempt."""
        return AttemptFence(self)

    def uncount(self) -> None:
        """Subtract an attempt that was sent but proved not to have run."""
        self._passed -= 1

    def review(self, refusal: Refusal) -> Refusal:
        """Return a refusal, corrected if it wrongly claims ``NOT_RUN``."""
        claims_not_run = refusal.ran is Ran.NOT_RUN
        is_true = self._invariants.check(
            TRUE_NOT_RUN,
            not claims_not_run or self._passed == 0,
            f'request {self._terms.request} is refused as not run with '
            f'{refusal.code.name}, but it was sent',
        )
        if is_true:
            return refusal
        return Refusal(
            refusal.code,
            refusal.reason,
            Ran.UNKNOWN,
            refusal.retry_after,
        )


class AttemptFence:
    """The part of a request's fence that belongs to one attempt.

    An attempt that is resumed at its upstream is counted only once.

    Args:
        fence: The fence of the request.
    """

    def __init__(self, fence: Fence) -> None:
        self._fence = fence
        self._passed = False
        self._ran = False

    def admit(self) -> Refusal | None:
        """Admit the attempt if it is sent now for the first time.

        Returns:
            None if it may be sent, otherwise why not.
        """
        if self._passed:
            return None
        refusal = self._fence.admit()
        self._passed = refusal is None
        return refusal

    def record_end(self, reply: object) -> None:
        """Record the end of the attempt.

        Args:
            reply: The reply of the upstream, or a refusal.
        """
        not_run = isinstance(reply, Refusal) and reply.ran is Ran.NOT_RUN
        if not self._passed or self._ran:
            return
        if not_run:
            self._passed = False
            self._fence.uncount()
        else:
            # A later attempt to resume it that fails before it is sent does
            # not change that the attempt may have run.
            self._ran = True
