"""The fence of one request: what of it has gone out, and until when it may.

The gate of each attempt asks the fence last, in the step in which the
first byte goes out. So the fence knows what was sent, whoever sent it.
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
    """What a fence holds a request to.

    Attributes:
        request: The request.
        repeatable: Whether it may run twice.
        send_by: Clock seconds after which its first byte may not go out;
            None for a request without a lease.
    """

    request: RequestId
    repeatable: bool
    send_by: float | None = None


class Fence:
    """Lets the first bytes of one request's attempts pass.

    A host that was paused for longer than its lease finds it lapsed here:
    the clock is monotonic and goes on while the process stands still.

    Args:
        terms: What the request is held to.
        clock: The host's clock.
        invariants: Told whether the request went out too often.
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
    def passed(self) -> int:
        """Return how many attempts went out and may have run."""
        return self._passed

    def check(self) -> Refusal | None:
        """Let a first byte go out now, or say why not."""
        terms = self._terms
        if terms.send_by is not None and self._clock.now() >= terms.send_by:
            return Refusal(
                ResultCode.HOST_PAUSED,
                'The lease of the request lapsed before it was sent.',
                retry_after=1,
            )
        if not terms.repeatable and not self._invariants.check(
            ONE_DISPATCH,
            self._passed == 0,
            f'the request {terms.request} was about to go out again',
        ):
            return Refusal(
                ResultCode.OUTCOME_UNKNOWN,
                'The request went out before and may not be repeated.',
                Ran.UNKNOWN,
            )
        self._passed += 1
        return None

    def attempt(self) -> 'AttemptFence':
        """Return the way of one attempt through the fence."""
        return AttemptFence(self)

    def withdraw(self) -> None:
        """Take in that an attempt that went out was proved not run."""
        self._passed -= 1

    def review(self, refusal: Refusal) -> Refusal:
        """Return a refusal, put right if it says ``not run`` falsely."""
        claims = refusal.ran is Ran.NOT_RUN
        held = self._invariants.check(
            TRUE_NOT_RUN,
            not claims or self._passed == 0,
            f'the request {self._terms.request} is refused as not run by '
            f'{refusal.code.name}, and it went out',
        )
        if held:
            return refusal
        return Refusal(
            refusal.code,
            refusal.reason,
            Ran.UNKNOWN,
            refusal.retry_after,
        )


class AttemptFence:
    """The way of one attempt through its request's fence.

    An attempt that is resumed at the upstream that has it passes once.

    Args:
        fence: The fence.
    """

    def __init__(self, fence: Fence) -> None:
        self._fence = fence
        self._passed = False
        self._ran = False

    def check(self) -> Refusal | None:
        """Let the attempt's first byte go out now, or say why not."""
        if self._passed:
            return None
        refusal = self._fence.check()
        self._passed = refusal is None
        return refusal

    def end(self, reply: object) -> None:
        """Take in how the attempt ended: whatever came, or a refusal."""
        not_run = isinstance(reply, Refusal) and reply.ran is Ran.NOT_RUN
        if not self._passed or self._ran:
            return
        if not_run:
            self._passed = False
            self._fence.withdraw()
        else:
            # What resumes it later and fails unsent does not undo that.
            self._ran = True
