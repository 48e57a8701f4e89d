"""The operators' call that has a preset's versions loaded ahead."""

from collections.abc import Callable
from typing import Final

import msgspec
from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.documents import Role
from nutmegroad.order_keeper import OrderKeeper
from nutmegroad.replies import JSON_TYPE, refuse
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import OperatorId, RequestId

_NO_REQUEST: Final = RequestId('')


class PreparedBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``POST /operators/prepared``, and its reply.

    Attributes:
        preset: The preset to prepare for; empty to stop preparing.
    """

    preset: str


class OrderRoutes:
    """The operators' HTTP call.

    Args:
        keeper: Gives the orders.
        authorize: Checks who asks.
    """

    def __init__(
        self,
        keeper: OrderKeeper,
        authorize: Callable[[Request, Role], OperatorId | Refusal],
    ) -> None:
        self._keeper = keeper
        self._authorize = authorize

    def add_to(self, app: Application) -> None:
        """Answer the call in an application."""
        app.router.add_post('/operators/prepared', self.prepare)

    async def prepare(self, http: Request) -> Response:
        """Have a preset's versions loaded before it is in force."""
        operator = self._authorize(http, Role.OPERATE)
        if isinstance(operator, Refusal):
            return refuse(operator, _NO_REQUEST)
        try:
            body = msgspec.json.decode(await http.read(), type=PreparedBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as problem:
            reason = f'The body is not as expected: {problem}.'
            code = ResultCode.OPERATOR_REQUEST_INVALID
            return refuse(Refusal(code, reason), _NO_REQUEST)
        refusal = await self._keeper.prepare(body.preset, operator)
        if refusal is not None:
            return refuse(refusal, _NO_REQUEST)
        content = msgspec.json.encode(body)
        return Response(body=content, content_type=JSON_TYPE)
