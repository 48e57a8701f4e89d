"""Serves an HTTP application for as long as the kernel is open."""

from typing import Final, Protocol

from aiohttp.web import Application, AppRunner, TCPSite

from nutmegroad.core import Kernel
from nutmegroad.registry import register
from nutmegroad.types import Address

#: Seconds that a listener's last replies may take when it closes.
LAST_REPLIES: Final = 1.0


class Listener(Protocol):
    """Serves applications."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
    ) -> Address:
        """Serve an application until the kernel closes.

        Returns:
            Where it listens; the port is known even if 0 was asked for.
        """


class SocketListener:
    """Serves applications on TCP sockets."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
    ) -> Address:
        """Serve an application until the kernel closes."""
        return await listen(kernel, app, address)


@register('part', 'listener')
class ListenerPart:
    """Provides what serves the applications of the other parts."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Serve on sockets."""
        kernel.provide(Listener, SocketListener())


async def listen(
    kernel: Kernel,
    app: Application,
    address: Address,
) -> Address:
    """Serve an application on a TCP socket until the kernel closes."""
    runner = AppRunner(
        app,
        access_log=None,
        # The graceful stop has waited for what was open before this.
        shutdown_timeout=LAST_REPLIES,
        handler_cancellation=True,
    )
    await runner.setup()
    kernel.stack.push_async_callback(runner.cleanup)
    await TCPSite(runner, address.ip, address.port).start()
    ip, port = runner.addresses[0][:2]
    return Address(ip, port)
