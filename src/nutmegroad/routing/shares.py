"""Concurrency limits across hosts without a central counter.

Each host has a static part of its failure domain's slots. A host that needs
more borrows from one that needs less. A loan expires by itself. The lender
counts its duration from when it lent the slots, and the borrower from before it
asked for them, so no slot is ever available to both. A host that is cut off
from the others is back at its static part when its loans have expired.
"""

from dataclasses import dataclass
from typing import ClassVar, Final

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.types import HostId, WorkspaceId

#: Duration of a loan in seconds.
LOAN_DURATION: Final = 4.0

#: Maximum relative lag of the borrower's clock against the lender's.
_CLOCK_MARGIN: Final = 0.01


class ShareRequest(Message, frozen=True, tag='share-ask'):
    """Requests slots from another host.

    Attributes:
        wanted: Number of slots.
        claim: Number of these slots to which the host's workspaces are
            entitled.
    """

    part: ClassVar[str] = 'admission'

    wanted: int
    claim: int


class ShareLoan(Message, frozen=True, tag='share-loan'):
    """Reply to a ``ShareRequest``: the slots that are lent.

    Attributes:
        slots: Number of slots; 0 for none.
    """

    part: ClassVar[str] = 'admission'

    slots: int


@dataclass(frozen=True, slots=True)
class _Loan:
    """Slots lent or borrowed, and the clock seconds at which the loan ends."""

    slots: int
    until: float


class ShareLedger:
    """Tracks the slots that a host has lent and borrowed."""

    def __init__(self) -> None:
        self._lent: list[_Loan] = []
        self._borrowed: list[_Loan] = []

    def lend(self, slots: int, now: float) -> None:
        """Record slots lent to another host.

        Args:
            slots: Number of slots.
            now: Clock seconds.
        """
        self._lent.append(_Loan(slots, now + LOAN_DURATION))

    def borrow(self, slots: int, asked: float) -> None:
        """Record slots borrowed from another host.

        Args:
            slots: Number of slots.
            asked: Clock seconds before they were requested.
        """
        until = asked + LOAN_DURATION * (1 - _CLOCK_MARGIN)
        self._borrowed.append(_Loan(slots, until))

    def balance(self, now: float) -> int:
        """Return the slots borrowed less those lent."""
        return self.borrowed_slots(now) - self.lent_slots(now)

    def borrowed_slots(self, now: float) -> int:
        """Return the slots that are borrowed from other hosts."""
        self._borrowed = [loan for loan in self._borrowed if loan.until > now]
        return sum(loan.slots for loan in self._borrowed)

    def lent_slots(self, now: float) -> int:
        """Return the slots that are lent to other hosts."""
        self._lent = [loan for loan in self._lent if loan.until > now]
        return sum(loan.slots for loan in self._lent)

    def expiring_slots(self, now: float, within: float) -> int:
        """Return the borrowed slots whose loan expires soon.

        Args:
            now: Clock seconds.
            within: Seconds from now within which the loan expires.
        """
        return sum(
            loan.slots
            for loan in self._borrowed
            if now < loan.until <= now + within
        )


def static_part(total: int, host: HostId, others: list[HostId]) -> int:
    """Return a host's static part of some slots.

    The parts of all hosts add up to ``total``.

    Args:
        total: Slots to divide.
        host: The host.
        others: The other hosts of its failure domain.
    """
    names = sorted({host, *others})
    base, remainder = divmod(total, len(names))
    return base + (names.index(host) < remainder)


def water_fill(
    total: float,
    demand: dict[WorkspaceId, float],
    weights: dict[WorkspaceId, float],
) -> dict[WorkspaceId, float]:
    """Divide slots by weight, and unneeded slots among the other workspaces.

    Args:
        total: Slots to divide.
        demand: Slots that each workspace would use.
        weights: Weight of each workspace.
    """
    granted: dict[WorkspaceId, float] = {}
    slots_left = total
    # The smallest demands for their weight are met first.
    ordered = sorted(demand, key=lambda one: demand[one] / weights[one])
    weight_left = sum(weights[one] for one in ordered)
    for workspace in ordered:
        fair = slots_left * weights[workspace] / weight_left
        granted[workspace] = min(demand[workspace], fair)
        slots_left -= granted[workspace]
        weight_left -= weights[workspace]
    return granted
