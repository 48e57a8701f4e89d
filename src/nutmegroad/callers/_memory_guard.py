"""Middleware that accounts for the memory of callers' requests."""

from contextlib import closing
from typing import Final

from aiohttp.typedefs import Handler, Middleware
from aiohttp.web import (
    Application,
    Request,
    RequestKey,
    StreamResponse,
    middleware,
)

from nutmegroad.callers.answer_streams import READ_TIMEOUT
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.ingress.delivery import deliver
from nutmegroad.overload.holdings import counted_by
from nutmegroad.overload.memory_budget import Holding, MemoryBudget

#: Key under which an HTTP request stores the account of its bytes.
HOLDING_KEY: Final = RequestKey('holding', Holding)


class MemoryGuard:
    """Opens the account of each request, and closes it after the answer.

    Args:
        memory: The host's budget.
        metrics: Counts answers that callers don't take.
    """

    def __init__(self, memory: MemoryBudget, metrics: Metrics) -> None:
        self._memory = memory
        self._metrics = metrics

    def install(self, app: Application) -> None:
        """Add the middleware to an application, outside all others."""
        app.middlewares.insert(0, self._make_middleware())

    def _make_middleware(self) -> Middleware:
        """Return the middleware function."""

        @middleware
        async def hold(request: Request, handler: Handler) -> StreamResponse:
            """Answer a request, whose bytes are held until it is taken."""
            with (
                closing(self._memory.open()) as holding,
                counted_by(holding),
            ):
                request[HOLDING_KEY] = holding
                reply = await handler(request)
                taken = await deliver(request, reply, READ_TIMEOUT, holding)
                if taken is not None:
                    self._metrics.reply_dropped('slow_caller')
                return reply

        return hold
