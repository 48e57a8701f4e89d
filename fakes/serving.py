"""How a stand-in listens: as a program of its own, or inside a test."""

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
#: Seconds that calls in progress get when a stand-in stops: little, since
#: a stand-in that goes away is one of the faults that it stands for.
SHUTDOWN_TIMEOUT: Final = 0.1


class Served:
    """An application that listens on loopback while it is open.

    Args:
        app: What answers.
        port: TCP port; 0 takes a free one.
    """

    @property
    def address(self) -> Address:
        """Return where it listens; it must be open."""
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
        """Begin to listen."""
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
    """Return a parser that knows ``--port``, for more arguments."""
    parser = ArgumentParser(description=description)
    parser.add_argument(
        '--port',
        type=int,
        default=0,
        help='TCP port on 127.0.0.1; 0, as it is if left out, takes a free one',
    )
    return parser


def run(app: web.Application, port: int) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    uvloop.run(_serve(app, port))


async def _serve(app: web.Application, port: int) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with Served(app, port) as served:
        sys.stdout.write(f'listening {served.address}\n')
        sys.stdout.flush()
        await stopping.wait()
