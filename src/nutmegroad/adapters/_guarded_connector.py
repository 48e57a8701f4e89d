"""Connections that are closed if an upstream sends without delivering."""

import asyncio
from functools import partial
from typing import Any, cast

from aiohttp import ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler

from nutmegroad.foundations.progress import (
    MAX_WITHOUT_PROGRESS,
    ProgressGuard,
)


class GuardedHandler(ResponseHandler):
    """A connection that watches the growth of the body that it receives."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._progress = ProgressGuard()

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the next answer."""
        super().set_response_params(**options)
        self._progress = ProgressGuard()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; fail if they deliver nothing for too long."""
        super().data_received(received)
        payload = self._payload
        delivered = None if payload is None else payload.total_bytes
        if not self._progress.is_stuck(len(received), delivered):
            return
        message = f'{MAX_WITHOUT_PROGRESS} bytes without content'
        problem = ClientPayloadError(message)
        if payload is not None:
            payload.set_exception(problem)
        self.set_exception(problem)
        self.close()


class GuardedConnector(TCPConnector):
    """A connector of guarded connections."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = cast(
            'partial[ResponseHandler]',
            partial(GuardedHandler, loop=self._loop),
        )
