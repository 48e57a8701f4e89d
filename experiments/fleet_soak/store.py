"""The soak's row store as a program, with faults controlled over HTTP.

    python -m experiments.fleet_soak.store --listen IP:PORT

``POST /fault/NAME`` activates a fault, ``POST /forget`` drops the change
history, ``POST /copy`` takes a snapshot and ``POST /come_back`` restores the
oldest snapshot. ``GET /calls`` returns how many calls hosts have made.
"""

import argparse
import asyncio
import sys
from typing import Final

from aiohttp import web
from fakes.row_store import RowStore, StoreCopy, StoreFault

#: Tables that only operators and workers write, not hosts.
TABLES_NOT_WRITTEN_BY_HOSTS: Final = frozenset(('op', 'servers'))


async def serve(listen: str) -> None:
    """Serve on an address, given as IP:PORT, until the process is killed."""
    store = RowStore(era=1)
    snapshots: list[StoreCopy] = []

    async def put_fault(request: web.Request) -> web.Response:
        """Activate the named fault; ``none`` deactivates it."""
        store.fault = StoreFault(request.match_info['name'].replace('_', ' '))
        return web.Response()

    async def forget(request: web.Request) -> web.Response:
        """Drop the change history."""
        store.drop_history()
        return web.Response()

    async def copy(request: web.Request) -> web.Response:
        """Take a snapshot."""
        snapshots.append(store.snapshot())
        return web.Response()

    async def come_back(request: web.Request) -> web.Response:
        """Restore the oldest snapshot, and discard it."""
        store.restore(snapshots.pop(0))
        return web.Response()

    async def calls(request: web.Request) -> web.Response:
        """Return how many reads and writes hosts have made."""
        reads = sum(store.calls.get(call, 0) for call in ('get', 'feed'))
        writes = sum(
            table not in TABLES_NOT_WRITTEN_BY_HOSTS
            for table, _, _ in store.writes
        )
        return web.json_response({'reads': reads, 'writes': writes})

    app = store.app()
    app.router.add_get('/calls', calls)
    app.router.add_post('/copy', copy)
    app.router.add_post('/come_back', come_back)
    app.router.add_post('/fault/{name}', put_fault)
    app.router.add_post('/forget', forget)
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = listen.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    sys.stdout.write('{"event": "listening"}\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line, and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    asyncio.run(serve(parser.parse_args().listen))


if __name__ == '__main__':
    main()
