"""Operators' routes for roll-outs and for loading ahead.

GET  /operators/rollouts   roll-outs, the evidence, the reason of each step
POST /operators/rollouts   start, pause, resume or abort one; lift quarantines
POST /operators/prepared   have a preset's versions loaded before it holds
"""

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import VersionId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import Access, refuse_operator, reply
from nutmegroad.rollouts.order_controller import OrderController
from nutmegroad.rollouts.rollout_service import Action, RolloutService


class RolloutBody(Struct, frozen=True, forbid_unknown_fields=True):
    """What is to become of a roll-out.

    Attributes:
        version: ``model@version``.
        action: What to do.
    """

    version: str
    action: Action


class PreparedBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A preset to load for ahead; it is the reply also.

    Attributes:
        preset: Its name; empty to stop preparing.
    """

    preset: str


@register('operator routes', 'rollouts')
class RolloutRoutes:
    """Serves operators the roll-outs.

    Args:
        kernel: Where the parts are.
        access: Knows operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._service = kernel.need(RolloutService)
        self._keeper = kernel.need(OrderController)

    def add_routes(self, app: Application) -> None:
        """Add the routes to the application."""
        app.router.add_get('/operators/rollouts', self.show)
        app.router.add_post('/operators/rollouts', self.act)
        app.router.add_post('/operators/prepared', self.prepare)

    async def show(self, http: Request) -> Response:
        """Show roll-outs, the evidence and the reason of each step."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        return reply(self._service.status())

    async def act(self, http: Request) -> Response:
        """Start, pause, resume or abort a roll-out, or lift quarantines."""
        ordered = await self._access.read(http, RolloutBody)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        refusal = await self._service.act(
            VersionId(ordered.body.version),
            ordered.body.action,
            ordered.operator,
        )
        if refusal is not None:
            return refuse_operator(refusal)
        return reply(self._service.status())

    async def prepare(self, http: Request) -> Response:
        """Have a preset's versions loaded before it is in force."""
        ordered = await self._access.read(http, PreparedBody)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        refusal = await self._keeper.prepare(
            ordered.body.preset,
            ordered.operator,
        )
        if refusal is not None:
            return refuse_operator(refusal)
        return reply(ordered.body)
