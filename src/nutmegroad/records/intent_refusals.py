"""Refusals of requests that run at most once."""

from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran


def key_reused() -> Refusal:
    """Return the refusal for a key or ticket used by another request."""
    return Refusal(
        ResultCode.KEY_REUSED,
        'The idempotency key or ticket was used for another request.',
    )


def still_running(seconds: float) -> Refusal:
    """Return the refusal for a repeat of a request that may be running.

    Args:
        seconds: Seconds for which the first request may still be running.
    """
    return Refusal(
        ResultCode.STILL_RUNNING,
        'A request with this idempotency key or ticket is running.',
        Ran.UNKNOWN,
        retry_after=min(max(seconds, 0.1), 1),
    )


def outcome_unknown() -> Refusal:
    """Return the refusal for a repeat whose outcome is never known."""
    return Refusal(
        ResultCode.OUTCOME_UNKNOWN,
        'A request with this idempotency key was started and never settled; '
        'it may have been executed and will not be executed again.',
        Ran.UNKNOWN,
    )


def intent_unavailable() -> Refusal:
    """Return the refusal for a request whose intent was not written."""
    return Refusal(
        ResultCode.INTENT_UNAVAILABLE,
        'The request may not be repeated and its intent could not be '
        'written, so it was not sent.',
        retry_after=5,
    )
