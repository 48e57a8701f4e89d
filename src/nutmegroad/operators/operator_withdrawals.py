"""Operators' routes for withdrawals.

GET  /operators/withdrawals   list the withdrawals, and whether each one is
                              in the table
POST /operators/withdrawals   withdraw a version, even if the table is
                              unavailable
"""

from typing import Final

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import (
    ConfigurationChanges,
    WithdrawalOutcome,
)
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Epoch, VersionId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import (
    Access,
    json_response,
    refusal_response,
)

_PATH: Final = '/operators/withdrawals'
_OK: Final = 200
_ACCEPTED: Final = 202
_IN_TABLE: Final = 'in the table'
_NOT_IN_TABLE: Final = 'in force here and spreading, not yet in the table'


class WithdrawBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A version to withdraw.

    Attributes:
        version: The version, as ``model@version``.
        epoch: Epoch up to which the version is withdrawn; None for the
            present one.
    """

    version: str
    epoch: int | None = None


class WithdrawalBody(Struct, frozen=True):
    """A withdrawal and whether it is recorded in the table.

    Attributes:
        version: The withdrawn version.
        epoch: Epoch up to which the version is withdrawn.
        in_table: Whether the withdrawal is known to be in the table.
        state: ``in_table`` as text.
        revision: Revision that records the withdrawal; None if unknown.
        reason: Why the withdrawal is not known to be in the table; empty
            otherwise.
    """

    version: str
    epoch: int
    in_table: bool
    state: str
    revision: int | None = None
    reason: str = ''


@register('operator routes', 'withdrawals')
class WithdrawalRoutes:
    """Routes for withdrawals.

    Args:
        kernel: Kernel that provides the components.
        access: Authenticates operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._configuration = kernel.need(Configuration)
        self._changes = kernel.need(ConfigurationChanges)

    def add_routes(self, app: Application) -> None:
        """Register the routes."""
        app.router.add_get(_PATH, self.index)
        app.router.add_post(_PATH, self.withdraw)

    async def index(self, http: Request) -> Response:
        """List the withdrawals that this host knows."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        unrecorded = self._configuration.unrecorded
        bodies = [
            WithdrawalBody(
                withdrawal.version,
                withdrawal.epoch,
                withdrawal not in unrecorded,
                _NOT_IN_TABLE if withdrawal in unrecorded else _IN_TABLE,
            )
            for withdrawal in self._configuration.withdrawals
        ]
        return json_response(bodies)

    async def withdraw(self, http: Request) -> Response:
        """Withdraw a version."""
        authorized = await self._access.read(http, WithdrawBody)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        epoch = authorized.body.epoch
        outcome = await self._changes.withdraw_version(
            VersionId(authorized.body.version),
            None if epoch is None else Epoch(epoch),
            authorized.operator,
        )
        if isinstance(outcome, Refusal):
            return refusal_response(outcome)
        status = _ACCEPTED if outcome.revision is None else _OK
        return json_response(_body_of(outcome), status)


def _body_of(outcome: WithdrawalOutcome) -> WithdrawalBody:
    """Return the response body for the outcome of a withdrawal."""
    in_table = outcome.revision is not None
    return WithdrawalBody(
        outcome.version,
        outcome.epoch,
        in_table,
        _IN_TABLE if in_table else _NOT_IN_TABLE,
        outcome.revision,
        outcome.reason,
    )
