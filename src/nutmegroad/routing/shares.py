"""Limits that hold across hosts with no central counter.

Each host has a static part of its failure domain's slots. A host that needs
more borrows from one that needs less. A loan ends by itself: the lender
counts from when it lent, the borrower from before it asked, so no slot is
ever with both. A host that is cut off is back at its static part when its
loans have lapsed.
"""

from dataclasses import dataclass
from typing import ClassVar, Final

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.types import HostId, WorkspaceId

#: Seconds for which a loan holds.
LOAN_HOLDS: Final = 4.0

#: Share by which the borrower's clock may be slow against the lender's.
_CLOCK_MARGIN: Final = 0.01


class ShareAsk(Message, frozen=True, tag='share-ask'):
    """A host asks another one for slots.

    Attributes:
        wanted: How many.
        claim: How many of these its workspaces are entitled to.
    """

    part: ClassVar[str] = 'admission'

    wanted: int
    claim: int


class ShareLoan(Message, frozen=True, tag='share-loan'):
    """The reply: slots that are lent.

    Attributes:
        slots: How many; 0 for none.
    """

    part: ClassVar[str] = 'admission'

    slots: int


@dataclass(frozen=True, slots=True)
class _Loan:
    """Slots lent or borrowed, and the clock seconds at which that ends."""

    slots: int
    until: float


class ShareLedger:
    """The slots that a host has lent and borrowed."""

    def __init__(self) -> None:
        self._lent: list[_Loan] = []
        self._borrowed: list[_Loan] = []

    def lend(self, slots: int, now: float) -> None:
        """Give slots away for a while."""
        self._lent.append(_Loan(slots, now + LOAN_HOLDS))

    def borrow(self, slots: int, asked: float) -> None:
        """Take slots that were lent.

        Args:
            slots: How many.
            asked: Clock seconds before they were asked for.
        """
        until = asked + LOAN_HOLDS * (1 - _CLOCK_MARGIN)
        self._borrowed.append(_Loan(slots, until))

    def balance(self, now: float) -> int:
        """Return the slots borrowed less those lent."""
        self._lent = [loan for loan in self._lent if loan.until > now]
        self._borrowed = [loan for loan in self._borrowed if loan.until > now]
        borrowed = sum(loan.slots for loan in self._borrowed)
        return borrowed - sum(loan.slots for loan in self._lent)

    def expiring(self, now: float, within: float) -> int:
        """Return the borrowed slots whose loan ends soon."""
        return sum(
            loan.slots
            for loan in self._borrowed
            if now < loan.until <= now + within
        )


def static_part(total: int, host: HostId, others: list[HostId]) -> int:
    """Return a host's part of some slots, so that all parts sum to them."""
    names = sorted({host, *others})
    whole, left = divmod(total, len(names))
    return whole + (names.index(host) < left)


def water_fill(
    total: float,
    demand: dict[WorkspaceId, float],
    weights: dict[WorkspaceId, float],
) -> dict[WorkspaceId, float]:
    """Divide slots by weight; what one does not need goes to the others."""
    granted: dict[WorkspaceId, float] = {}
    left = total
    # Those that need least for their weight are served first.
    ordered = sorted(demand, key=lambda one: demand[one] / weights[one])
    weight_left = sum(weights[one] for one in ordered)
    for workspace in ordered:
        fair = left * weights[workspace] / weight_left
        granted[workspace] = min(demand[workspace], fair)
        left -= granted[workspace]
        weight_left -= weights[workspace]
    return granted
