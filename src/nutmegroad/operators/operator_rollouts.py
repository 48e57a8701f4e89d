"""Operators' routes for rollouts and for preparing presets.

GET  /operators/rollouts   return rollouts with the reason of each step, and
                           quarantines
POST /operators/rollouts   start, pause, resume or abort a rollout, or lift
                           the quarantines of a version
POST /operators/prepared   load the versions of a preset ahead of a switch
"""

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import VersionId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import (
    Access,
    json_response,
    refusal_response,
)
from nutmegroad.rollouts.order_controller import OrderController
from nutmegroad.rollouts.rollout_service import Action, RolloutService


class RolloutActionBody(Struct, frozen=True, forbid_unknown_fields=True):
    """An action on the rollout of a version.

    Attributes:
        version: The version, as ``model@version``.
        action: Action to take.
    """

    version: str
    action: Action


class PrepareBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A preset whose versions are loaded ahead; also the reply.

    Attributes:
        preset: Name of the preset; empty to stop preparing.
    """

    preset: str


@register('operator routes', 'rollouts')
class RolloutRoutes:
    """Routes for rollouts and for preparing presets.

    Args:
        kernel: Kernel that provides the components.
        access: Authenticates operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._service = kernel.need(RolloutService)
        self._order_controller = kernel.need(OrderController)

    def add_routes(self, app: Application) -> None:
        """Register the routes."""
        app.router.add_get('/operators/rollouts', self.show)
        app.router.add_post('/operators/rollouts', self.act)
        app.router.add_post('/operators/prepared', self.prepare)

    async def show(self, http: Request) -> Response:
        """Return rollouts with the reason of each step, and quarantines."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        return json_response(self._service.status())

    async def act(self, http: Request) -> Response:
        """Start, pause, resume or abort a rollout, or lift quarantines."""
        authorized = await self._access.read(http, RolloutActionBody)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        refusal = await self._service.act(
            VersionId(authorized.body.version),
            authorized.body.action,
            authorized.operator,
        )
        if refusal is not None:
            return refusal_response(refusal)
        return json_response(self._service.status())

    async def prepare(self, http: Request) -> Response:
        """Have the versions of a preset loaded before it is in force."""
        authorized = await self._access.read(http, PrepareBody)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        refusal = await self._order_controller.prepare(
            authorized.body.preset,
            authorized.operator,
        )
        if refusal is not None:
            return refusal_response(refusal)
        return json_response(authorized.body)
