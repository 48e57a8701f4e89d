"""Operators' routes for withdrawals.

GET  /operators/withdrawals   what is withdrawn, and whether the table has it
POST /operators/withdrawals   withdraw a version, with the table or without
"""

from typing import Final

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import Changes, Withdrawn
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Epoch, VersionId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import Access, refuse_operator, reply

_PATH: Final = '/operators/withdrawals'
_OK: Final = 200
_ACCEPTED: Final = 202
_IN_TABLE: Final = 'in the table'
_SPREADING: Final = 'in force here and spreading, not yet in the table'


class WithdrawBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A version to be withdrawn.

    Attributes:
        version: ``model@version``.
        epoch: Its epochs up to this one; None for the present one.
    """

    version: str
    epoch: int | None = None


class WithdrawalBody(Struct, frozen=True):
    """A withdrawal, as operators see it.

    Attributes:
        version: The version.
        epoch: Its epochs up to this one are withdrawn.
        in_table: Whether the table is known to have it.
        state: The same as a sentence's end.
        revision: The revision that has it; None if not known.
        reason: Why the table does not have it; empty if it has.
    """

    version: str
    epoch: int
    in_table: bool
    state: str
    revision: int | None = None
    reason: str = ''


@register('operator routes', 'withdrawals')
class WithdrawalRoutes:
    """Serves operators the withdrawals.

    Args:
        kernel: Where the parts are.
        access: Knows operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._configuration = kernel.need(Configuration)
        self._changes = kernel.need(Changes)

    def add_routes(self, app: Application) -> None:
        """Add the routes to the application."""
        app.router.add_get(_PATH, self.index)
        app.router.add_post(_PATH, self.withdraw)

    async def index(self, http: Request) -> Response:
        """List the withdrawals that this host knows."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        missing = self._configuration.unrecorded
        listed = [
            WithdrawalBody(
                withdrawal.version,
                withdrawal.epoch,
                withdrawal not in missing,
                _SPREADING if withdrawal in missing else _IN_TABLE,
            )
            for withdrawal in self._configuration.withdrawals
        ]
        return reply(listed)

    async def withdraw(self, http: Request) -> Response:
        """Withdraw a version."""
        ordered = await self._access.read(http, WithdrawBody)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        epoch = ordered.body.epoch
        outcome = await self._changes.withdraw(
            VersionId(ordered.body.version),
            None if epoch is None else Epoch(epoch),
            ordered.operator,
        )
        if isinstance(outcome, Refusal):
            return refuse_operator(outcome)
        status = _ACCEPTED if outcome.revision is None else _OK
        return reply(_body_of(outcome), status)


def _body_of(outcome: Withdrawn) -> WithdrawalBody:
    """Return what became of a withdrawal, truthfully."""
    in_table = outcome.revision is not None
    return WithdrawalBody(
        outcome.version,
        outcome.epoch,
        in_table,
        _IN_TABLE if in_table else _SPREADING,
        outcome.revision,
        outcome.reason,
    )
