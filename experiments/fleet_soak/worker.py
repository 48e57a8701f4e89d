"""A worker of the soak, as a program: lists itself, runs what it is sent.

    python -m experiments.fleet_soak.worker --id w1 --listed IP:PORT ...

What it ran goes to standard output, a JSON line each. SIGTERM lets it say
that it leaves, serve on for its notice and a little longer, and end; SIGUSR1
lets it fail part of its requests until the next.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from experiments.fleet_soak.history import (
    EVENTS,
    Kind,
    event_of,
    expected_body,
    put_of,
)

#: Seconds between two signs of life, and for which a worker that leaves
#: serves on: its notice and a little more.
HEARTBEAT: Final = 0.5
LINGER: Final = 2.4

#: A deliberate fault: bodies of other requests, under the right id.
FOREIGN_BODIES: Final = 'foreign-bodies'

#: What stands in the path of requests that end the worker.
HARMFUL: Final = 'harmful'

#: Share of requests that fail while a worker is in trouble.
FAILING: Final = 0.4

#: Seconds between two events of a stream, and for a plain answer.
EVENT_GAP: Final = 0.05
WORK: Final = 0.02


class Worker:
    """Runs requests and lists itself in the store.

    Args:
        options: The command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._leaving = False
        self._troubled = False
        self._randomness = random.Random(options.seed)

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=2**22)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    async def list_itself(self) -> None:
        """Write a sign of life again and again."""
        async with ClientSession(timeout=ClientTimeout(total=1)) as session:
            while True:
                await self._beat(session)
                await asyncio.sleep(HEARTBEAT)

    async def leave(self) -> None:
        """Say that it leaves, serve on for a while, and end."""
        self._leaving = True
        async with ClientSession(timeout=ClientTimeout(total=1)) as session:
            while not await self._beat(session):
                await asyncio.sleep(HEARTBEAT)
            say('left', moment=time.monotonic())
            await asyncio.sleep(LINGER)
        sys.exit(0)

    def trouble(self) -> None:
        """Begin to fail, or stop it."""
        self._troubled = not self._troubled

    async def _beat(self, session: ClientSession) -> bool:
        """Write the entry; tell whether the store took it."""
        self._sequence += 1
        entry = {
            'service': 'desk',
            'address': self._options.listed,
            'zone': self._options.zone,
            'version': self._options.version,
            'slots': 16,
            'state': 'draining' if self._leaving else 'ready',
            'born': self._born,
            'sequence': self._sequence,
        }
        text = json.dumps(entry).encode()
        body = put_of('servers', self._options.id, text)
        url = f'http://{self._options.store}/v1/rows-tx'
        try:
            async with session.post(url, json=body) as answer:
                return answer.status == web.HTTPOk.status_code
        except (ClientError, TimeoutError, OSError):
            return False

    async def _run(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or show that it did not run."""
        name = request.headers.get('Nutmegroad-Request-Id', '')
        usual = {'Nutmegroad-Request-Id': name}
        if (
            request.headers.get('Nutmegroad-Expect-Instance')
            != self._options.id
        ):
            return web.Response(status=421, headers=usual)
        kind = _kind_of(request.path.split('/')[1])
        share = FAILING if self._troubled else self._options.failing
        failing = self._randomness.random() < share
        say(
            'ran',
            request=name,
            moment=time.monotonic(),
            workspace=request.headers.get('Nutmegroad-Tenant', ''),
            authorization=request.headers.get('Authorization', ''),
            harmful=request.path if HARMFUL in request.path else '',
            failed=failing,
        )
        usual['Nutmegroad-Response-Signature'] = f'{self._options.id}.{name}'
        await asyncio.sleep(WORK)
        if failing:
            return web.Response(status=500, headers=usual, body=b'failed')
        if HARMFUL in request.path:
            # As a process that crashes: after the head, with all that it runs.
            await web.StreamResponse(headers=usual).prepare(request)
            os._exit(1)
        if kind is Kind.DRAFT:
            return await self._stream(request, name, usual)
        if self._options.mutant == FOREIGN_BODIES:
            name = 'another request'
        return web.Response(headers=usual, body=expected_body(name, kind))

    async def _stream(
        self,
        request: web.Request,
        name: str,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Send the events that the caller has left out."""
        after = int(request.headers.get('Last-Event-Id') or 0)
        answer = web.StreamResponse(headers=headers)
        await answer.prepare(request)
        for number in range(after + 1, EVENTS + 1):
            await answer.write(event_of(name, number))
            await asyncio.sleep(EVENT_GAP)
        await answer.write_eof()
        return answer


def _kind_of(route: str) -> Kind:
    """Return the kind of a route; routes that are added are for look-ups."""
    known = {kind.value: kind for kind in Kind}
    return known.get(route, Kind.LOOK)


def say(event: str, **fields: Any) -> None:
    """Write what happened."""
    line = json.dumps({'event': event, **fields})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM has been heeded."""
    worker = Worker(options)
    runner = web.AppRunner(worker.app(), handler_cancellation=True)
    await runner.setup()
    host, _, port = options.listen.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    loop = asyncio.get_running_loop()
    tasks = [asyncio.ensure_future(worker.list_itself())]
    loop.add_signal_handler(
        signal.SIGTERM,
        lambda: tasks.append(asyncio.ensure_future(worker.leave())),
    )
    loop.add_signal_handler(signal.SIGUSR1, worker.trouble)
    say('listening')
    await asyncio.gather(tasks[0])


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ('id', 'listen', 'listed', 'store', 'zone'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--version', default='v1')
    parser.add_argument('--failing', type=float, default=0)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--mutant', default='')
    asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
