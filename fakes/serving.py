"""Serves a stand-in's application, as a program or inside a test."""

import asyncio
import signal
import sys
from argparse import ArgumentParser
from contextlib import AsyncExitStack
from typing import Final, Self

import uvloop
from aiohttp import web

from nutmegroad.foundations.types import Address

LOOPBACK: Final = '127.0.0.1'
#: Seconds that calls in progress get to finish when a stand-in stops. It is
#: short because a disappearing system is one of the faults to simulate.
SHUTDOWN_TIMEOUT: Final = 0.1


class LoopbackServer:
    """Serves an application on a loopback port while it is open.

    Args:
        app: The web application.
        port: TCP port; 0 selects a free one.
    """

    @property
    def address(self) -> Address:
        """Listening address; available only while the server is open."""
        ip, port = self._runner.addresses[0]
        return Address(ip, port)

    def __init__(self, app: web.Application, port: int = 0) -> None:
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        self._port = port
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start listening."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._runner.cleanup)
            await self._runner.setup()
            await web.TCPSite(self._runner, LOOPBACK, self._port).start()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and close all connections."""
        await self._stack.aclose()


def port_parser(description: str) -> ArgumentParser:
    """Return a command line parser with ``--port``, to be extended."""
    parser = ArgumentParser(description=description)
    parser.add_argument(
        '--port',
        type=int,
        default=0,
        help='TCP port on 127.0.0.1; 0 selects a free one (default: 0)',
    )
    return parser


def run(app: web.Application, port: int) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    uvloop.run(_serve(app, port))


async def _serve(app: web.Application, port: int) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with LoopbackServer(app, port) as server:
        sys.stdout.write(f'listening {server.address}\n')
        sys.stdout.flush()
        await stopping.wait()
