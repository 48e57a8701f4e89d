"""A stand-in for many engines in one process, which only serves reports.

Used to measure what polling engines costs a host. Run as ``python -m
experiments.slopes.engines COUNT VERSIONS``. Every engine listens on a port of
its own; ``GET /ports`` on any of them lists all ports. The first line of
output gives the address of the first one.
"""

import asyncio
import random
import sys
from typing import Final

import uvloop
from aiohttp import web
from fakes.bodies import json_reply

#: Capacity of an engine's batch, in requests: 8 for each accelerator.
SLOTS: Final = 64


class Engines:
    """Serves the reports of all engines.

    The load in the reports is a random walk with a fixed seed.

    Args:
        count: Number of engines.
        versions: Number of versions; each engine has one of them loaded.
    """

    def __init__(self, count: int, versions: int) -> None:
        self._count = count
        self._versions = versions
        self._ports: dict[int, int] = {}
        self._loads = [SLOTS // 2 for _ in range(count)]
        self._randomness = random.Random(1)

    async def serve(self) -> int:
        """Start all listeners; return the port of the first engine."""
        app = web.Application()
        app.router.add_get('/engine/report', self._report)
        app.router.add_get('/ports', self._list_ports)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        for number in range(self._count):
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            port = runner.addresses[number][1]
            self._ports[port] = number
        return next(iter(self._ports))

    async def _list_ports(self, _request: web.Request) -> web.Response:
        return json_reply(tuple(self._ports))

    async def _report(self, request: web.Request) -> web.Response:
        number = self._ports[int(request.host.rpartition(':')[2])]
        step = self._randomness.choice((-2, -1, 0, 1, 2))
        load = min(SLOTS, max(0, self._loads[number] + step))
        self._loads[number] = load
        report = {
            'versions': [f'model-{number % self._versions}@1'],
            'running': load,
            'queued': 0,
            'slots': SLOTS,
            'leaving': False,
            'checks_fencing': True,
        }
        return json_reply(report)


async def _run(count: int, versions: int) -> None:
    port = await Engines(count, versions).serve()
    sys.stdout.write(f'listening 127.0.0.1:{port}\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == '__main__':
    uvloop.run(_run(int(sys.argv[1]), int(sys.argv[2])))
