"""Patches that disable single mechanisms of the daemon.

They serve to check that the judge detects the absence of each mechanism.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final
from unittest.mock import _patch, patch

from nutmegroad.adapters._event_streams import AnswerReader
from nutmegroad.callers.intake import IntakeReader
from nutmegroad.callers.session_pins import SessionPins
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.configuration.poller import ConfigurationPoller
from nutmegroad.contracts.fences import Fence
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Ran
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.records.at_most_once import AtMostOnce, ExecutionGrant
from nutmegroad.records.record_copies import RecordSender
from nutmegroad.records.tickets import SpentTicket, TicketIssuer
from nutmegroad.routing.directory import Directory

#: The patched owner, the name of its attribute, and the replacement.
_Patch = tuple[Any, str, Any]


async def _skip_claim(self: Any, order: Any) -> ExecutionGrant:
    """Execute requests with an idempotency key without claiming the key."""
    return ExecutionGrant(order, self._fence(order, None))


def _accept_spent_ticket(
    self: Any, ticket: Any, request: Any, fingerprint: Any
) -> Any:
    """Accept a ticket that has been spent already."""
    return SpentTicket(ticket.number, request, fingerprint, ticket.until)


async def _accept_older_revision(self: Any, head: Any, host: Any) -> Any:
    """Accept any revision, including older ones."""
    accepted = await self._accepted(head, host)
    if isinstance(accepted, AcceptedConfiguration):
        self._configuration._accepted = accepted
        return None
    return accepted


async def _skip_pin(self: Any, intake: Any) -> Any:
    """Leave named sessions without a pinned version."""
    return intake


def _ignore_token(self: Any, headers: Any, workspace: Any) -> Any:
    """Ignore the token of a session."""
    return '', None


def _accept_any_attempt(self: Any, chunk: Any) -> Any:
    """Accept chunks of any attempt."""
    if chunk.index < self.expected:
        return None
    self.expected += 1
    return self._accept(chunk)


async def _skip_drain(self: Any, until: float) -> None:
    """Return without waiting for open requests."""


async def _skip_hand_over(self: Any, last: bool = False) -> bool:
    """Send no copies of billing records to peers."""
    return False


def _report_not_run(self: Any, refusal: Refusal) -> Refusal:
    """Mark each refusal as not run."""
    return replace(refusal, ran=Ran.NOT_RUN)


MUTANTS: Final[dict[str, _Patch]] = {
    'withdrawn': (
        Configuration,
        'is_withdrawn',
        lambda configuration, version, epoch: False,
    ),
    'lease': (
        Configuration,
        'isolated',
        property(lambda configuration: False),
    ),
    'claim': (AtMostOnce, '_claim_key', _skip_claim),
    'ticket': (TicketIssuer, 'spend', _accept_spent_ticket),
    'forward only': (ConfigurationPoller, '_take', _accept_older_revision),
    'pin': (SessionPins, 'pin', _skip_pin),
    'token': (IntakeReader, '_session', _ignore_token),
    'attempt id': (AnswerReader, '_read_chunk', _accept_any_attempt),
    'drain': (GracefulStop, '_wait', _skip_drain),
    'hand-over': (RecordSender, 'hand', _skip_hand_over),
    'leaving': (
        Directory,
        '_begin_leaving',
        lambda directory, *arguments: False,
    ),
    'not run': (Fence, 'review', _report_not_run),
}


def mutant(name: str) -> '_patch[Callable[..., Any]]':
    """Return a patch that disables a mechanism."""
    owner, attribute, replacement = MUTANTS[name]
    return patch.object(owner, attribute, replacement)
