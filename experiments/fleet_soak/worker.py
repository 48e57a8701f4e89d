"""A worker of the soak as a program: registers itself, executes requests.

    python -m experiments.fleet_soak.worker --id w1 --listed IP:PORT ...

It writes a JSON line to standard output for each execution. On SIGTERM it
announces that it drains, continues to serve for the drain period and a little
longer, and exits. SIGUSR1 makes it fail a fraction of its requests until the
next SIGUSR1. SIGUSR2 makes it answer without a length or chunks, and break off
a fraction of its answers, until the next SIGUSR2. SIGHUP makes it brittle for
some seconds, and SIGALRM lets it name a limit on its requests.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time
from enum import Enum, unique
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from fakes.connections import reset_connection
from fakes.crash_scripts import PROMPT_PARTS, shared_part_ids

from experiments.fleet_soak.history import (
    STREAM_EVENTS,
    Kind,
    expected_body,
    stream_event,
)
from experiments.fleet_soak.room import NEED_DURATION, NEED_LIMIT, Room
from experiments.fleet_soak.transactions import put_transaction

#: Seconds between two heartbeats.
HEARTBEAT_INTERVAL: Final = 0.5

#: Seconds for which a draining worker continues to serve: the operator's bound
#: on drains, and a little more.
DRAIN_DURATION: Final = 2.4

#: A deliberate fault: answers with the body of another request, under the
#: right request id.
FOREIGN_BODIES: Final = 'foreign-bodies'

#: Part of the path of requests that crash the worker.
HARMFUL: Final = 'harmful'

#: Fraction of requests that fail after SIGUSR1.
FAILURE_FRACTION: Final = 0.4

#: Seconds between two events of a streamed answer.
EVENT_INTERVAL: Final = 0.05

#: Requests that a worker executes.
SLOTS: Final = 16

#: Seconds of work before each answer.
WORK_DURATION: Final = 0.02


class Worker:
    """Executes requests and registers itself in the store.

    Args:
        options: The parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._draining = False
        self._failing = False
        self._unframed = False
        self._rng = random.Random(options.seed)
        self.room = Room(SLOTS, fall_over)

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=2**22)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        async with ClientSession(timeout=ClientTimeout(total=1)) as session:
            while True:
                await self._send_heartbeat(session)
                await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def drain(self) -> None:
        """Announce the drain, serve for the drain period, and exit."""
        self._draining = True
        async with ClientSession(timeout=ClientTimeout(total=1)) as session:
            while not await self._send_heartbeat(session):
                await asyncio.sleep(HEARTBEAT_INTERVAL)
            write_event('left', moment=time.monotonic())
            await asyncio.sleep(DRAIN_DURATION)
        sys.exit(0)

    def toggle_failures(self) -> None:
        """Start to fail a fraction of the requests, or stop it."""
        self._failing = not self._failing

    def toggle_framing(self) -> None:
        """Start to answer without a length or chunks, or stop it."""
        self._unframed = not self._unframed

    def come_into_need(self) -> None:
        """Name a limit on its requests for a time."""
        self.room.come_into_need()
        write_event(
            'in need',
            moment=time.monotonic(),
            limit=NEED_LIMIT,
            duration=NEED_DURATION,
        )

    async def _send_heartbeat(self, session: ClientSession) -> bool:
        """Write the worker's entry; return whether the store accepted it."""
        self._sequence += 1
        entry = {
            'service': 'desk',
            'address': self._options.listed,
            'zone': self._options.zone,
            'version': self._options.version,
            'slots': SLOTS,
            'state': 'draining' if self._draining else 'ready',
            'born': self._started_ms,
            'sequence': self._sequence,
        }
        text = json.dumps(entry).encode()
        body = put_transaction('servers', self._options.id, text)
        url = f'http://{self._options.store}/v1/rows-tx'
        try:
            async with session.post(url, json=body) as answer:
                return answer.status == web.HTTPOk.status_code
        except (ClientError, TimeoutError, OSError):
            return False

    async def _run(self, request: web.Request) -> web.StreamResponse:
        """Execute a request, or refuse it with status 421.

        A request that is addressed to another worker is not executed.
        """
        request_id = request.headers.get('Nutmegroad-Request-Id', '')
        headers = {'Nutmegroad-Request-Id': request_id, **self.room.headers}
        if (
            request.headers.get('Nutmegroad-Expect-Instance')
            != self._options.id
        ):
            return web.Response(status=421, headers=headers)
        if not self.room.take():
            headers['Nutmegroad-Not-Executed'] = '1'
            return web.Response(status=503, headers=headers)
        try:
            return await self._execute(request, request_id, headers)
        finally:
            self.room.release()

    async def _execute(
        self,
        request: web.Request,
        request_id: str,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Execute a request, and answer it."""
        kind = _kind_of_route(request.path.split('/')[1])
        fraction = FAILURE_FRACTION if self._failing else self._options.failing
        failing = self._rng.random() < fraction
        write_event(
            'ran',
            request=request_id,
            moment=time.monotonic(),
            workspace=request.headers.get('Nutmegroad-Tenant', ''),
            authorization=request.headers.get('Authorization', ''),
            harmful=_harmful_cause(request),
            failed=failing,
        )
        headers['Nutmegroad-Response-Signature'] = (
            f'{self._options.id}.{request_id}'
        )
        await asyncio.sleep(WORK_DURATION)
        if failing:
            return web.Response(status=500, headers=headers, body=b'failed')
        if _harmful_cause(request):
            # Like a crash of the process: after the head of the answer is
            # sent, along with all other executions.
            await web.StreamResponse(headers=headers).prepare(request)
            os._exit(1)
        if self._unframed:
            return await self._answer_unframed(request, kind, headers)
        if kind is Kind.DRAFT:
            return await self._stream(request, request_id, headers)
        if self._options.mutant == FOREIGN_BODIES:
            request_id = 'another request'
        return web.Response(
            headers=headers, body=expected_body(request_id, kind)
        )

    async def _stream(
        self,
        request: web.Request,
        request_id: str,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Stream the events after the caller's ``Last-Event-Id``."""
        after = int(request.headers.get('Last-Event-Id') or 0)
        answer = web.StreamResponse(headers=headers)
        await answer.prepare(request)
        for number in range(after + 1, STREAM_EVENTS + 1):
            await answer.write(stream_event(request_id, number))
            await asyncio.sleep(EVENT_INTERVAL)
        await answer.write_eof()
        return answer

    async def _answer_unframed(
        self,
        request: web.Request,
        kind: Kind,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        """Answer without a length; the connection ends the answer.

        Some streams are broken off inside an event, by an orderly close or by
        a reset. Other answers are broken off by a reset only: nothing else
        tells them from complete ones.
        """
        after = int(request.headers.get('Last-Event-Id') or 0)
        request_id = headers['Nutmegroad-Request-Id']
        body = expected_body(request_id, kind)
        if kind is Kind.DRAFT:
            body = b''.join(
                stream_event(request_id, number)
                for number in range(after + 1, STREAM_EVENTS + 1)
            )
        ending = self._rng.choice(tuple(Ending))
        if ending is not Ending.COMPLETE and body:
            body = _break_off(body, self._rng)
        if ending is Ending.BROKEN_OFF and kind is not Kind.DRAFT:
            ending = Ending.RESET
        _send_unframed(request, headers, body, ending)
        # Not sent: the connection is closed.
        return web.Response()


@unique
class Ending(Enum):
    """How an answer without a length ends."""

    COMPLETE = 'complete'
    #: With an orderly close inside the body.
    BROKEN_OFF = 'broken off'
    #: With a reset inside the body.
    RESET = 'reset'


def _break_off(body: bytes, rng: random.Random) -> bytes:
    """Return the beginning of a body, up to a place inside an event.

    An orderly close between two events could not be told from the end.
    """
    beginning = body[: rng.randrange(1, len(body) - 1)]
    return beginning[:-1] if beginning.endswith(b'\n\n') else beginning


def _send_unframed(
    request: web.Request,
    headers: dict[str, str],
    body: bytes,
    ending: Ending,
) -> None:
    """Send an answer without a length or chunks, and end its connection."""
    transport = request.transport
    if transport is None:
        return
    lines = ['HTTP/1.1 200 OK']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    head = '\r\n'.join((*lines, '', '')).encode()
    transport.write(head + body)
    if ending is Ending.RESET:
        reset_connection(transport)
    else:
        transport.close()


def _kind_of_route(route: str) -> Kind:
    """Return the kind of a route; added routes are for look-ups."""
    known = {kind.value: kind for kind in Kind}
    return known.get(route, Kind.LOOK)


def fall_over() -> None:
    """Terminate, as a brittle worker that rejects too much."""
    write_event('fell', moment=time.monotonic())
    os._exit(1)


def _harmful_cause(request: web.Request) -> str:
    """Return the path or part of a prompt that crashes the worker, if any."""
    if HARMFUL in request.path:
        return request.path
    parts = shared_part_ids(request.headers.get(PROMPT_PARTS, ''))
    return next((part for part in parts if HARMFUL in part), '')


def write_event(event: str, **fields: Any) -> None:
    """Write an event to standard output, as a JSON line."""
    line = json.dumps({'event': event, **fields})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def serve(options: argparse.Namespace) -> None:
    """Serve until the worker has drained after SIGTERM."""
    worker = Worker(options)
    runner = web.AppRunner(worker.app(), handler_cancellation=True)
    await runner.setup()
    host, _, port = options.listen.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    loop = asyncio.get_running_loop()
    tasks = [asyncio.ensure_future(worker.send_heartbeats())]
    loop.add_signal_handler(
        signal.SIGTERM,
        lambda: tasks.append(asyncio.ensure_future(worker.drain())),
    )
    loop.add_signal_handler(signal.SIGUSR1, worker.toggle_failures)
    loop.add_signal_handler(signal.SIGUSR2, worker.toggle_framing)
    loop.add_signal_handler(signal.SIGHUP, worker.room.become_brittle)
    loop.add_signal_handler(signal.SIGALRM, worker.come_into_need)
    write_event('listening')
    await asyncio.gather(tasks[0])


def main() -> None:
    """Parse the command line, and serve."""
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
