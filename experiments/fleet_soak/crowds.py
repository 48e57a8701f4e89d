"""Gives a host a part of a core, and a crowd of callers that leave soon."""

import asyncio
import itertools
import signal
import time
from typing import Final

from experiments.fleet_soak.callers import request_headers
from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import CrowdTime, Kind, RequestRecord
from experiments.fleet_soak.plan import Event
from experiments.fleet_soak.processes import SoakProcess

#: Part of a core that the host may use, and the seconds for which it may save
#: it up.
CORE_FRACTION: Final = 0.1
PERIOD: Final = 0.1

#: How often in a period the host is stopped or continued.
CHECKS_PER_PERIOD: Final = 10

#: Requests a second in a crowd, each on a new connection: more than the host
#: has time for.
RATE: Final = 200

#: Minimum seconds of a crowd: a host that does too much has a queue by then.
MIN_DURATION: Final = 3.0

#: Seconds after which callers leave, and the deadline that they send.
PATIENCE: Final = 1.0

#: Seconds in which the host's work without a crowd is measured.
CALM_DURATION: Final = 1.0

#: Seconds between the requests of a crowd and the end of its fault.
END_DELAY: Final = PATIENCE + 0.5


async def crowd_host(fleet: Fleet, event: Event) -> None:
    """Send a crowd to one host that may use a part of a core."""
    number = event.target % len(fleet.hosts)
    host = fleet.hosts[number]
    since = time.monotonic()
    used_before = host.core_seconds
    starving = asyncio.ensure_future(_starve(host))
    try:
        await _send_crowd(fleet, event, number)
        until = time.monotonic()
        used = host.core_seconds - used_before
        own_work = await _measure_calm(host) * (until - since)
    finally:
        starving.cancel()
        host.signal(signal.SIGCONT)
    crowd = CrowdTime(f'host-{number}', since, until, max(0, used - own_work))
    fleet.history.crowds.append(crowd)


async def _measure_calm(host: SoakProcess) -> float:
    """Return the part of a core that a host uses without a crowd."""
    began, used_before = time.monotonic(), host.core_seconds
    await asyncio.sleep(CALM_DURATION)
    return (host.core_seconds - used_before) / (time.monotonic() - began)


async def _starve(host: SoakProcess) -> None:
    """Let a host use a part of a core, until cancelled.

    It is stopped by the processor time that it has used: on a busy machine it
    would have less than its part if it was stopped by the time of day.
    """
    allowed = host.core_seconds
    began = time.monotonic()
    while True:
        await asyncio.sleep(PERIOD / CHECKS_PER_PERIOD)
        now, used = time.monotonic(), host.core_seconds
        allowed += CORE_FRACTION * (now - began)
        allowed = min(allowed, used + CORE_FRACTION * PERIOD)
        began = now
        host.signal(signal.SIGCONT if used < allowed else signal.SIGSTOP)


async def _send_crowd(fleet: Fleet, event: Event, number: int) -> None:
    """Send requests at a steady rate, and wait for all their ends."""
    began = time.monotonic()
    kinds = itertools.cycle(Kind)
    sending: list[asyncio.Task[None]] = []
    count = RATE * max(MIN_DURATION, event.duration)
    while len(sending) < count:
        due = (time.monotonic() - began) * RATE
        while len(sending) < due:
            record = RequestRecord(
                f'crowd-{event.at:.2f}-{len(sending)}',
                next(kinds),
                f'host-{number}',
                fleet.keys[0],
                time.monotonic(),
                abandoned=True,
                in_crowd=True,
            )
            fleet.history.requests_by_id[record.request_id] = record
            address = fleet.caller_addresses[number]
            sending.append(asyncio.create_task(_send(address, record)))
        await asyncio.sleep(PERIOD / 4)
    await asyncio.gather(*sending)
    await asyncio.sleep(END_DELAY)


async def _send(address: str, record: RequestRecord) -> None:
    """Send a request on a new connection, and leave if it takes long."""
    headers = {
        **request_headers(record.request_id, record.key),
        'Nutmegroad-Deadline-Ms': str(int(PATIENCE * 1000)),
        'Content-Length': '0',
        'Connection': 'close',
    }
    lines = [f'POST /{record.kind.value}/1 HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    head = '\r\n'.join((*lines, '', '')).encode()
    try:
        async with asyncio.timeout(PATIENCE):
            await _exchange(address, head, record)
    except TimeoutError:
        record.left_at = time.monotonic()
    except OSError:
        # The request counts as not served.
        record.status = 0
    record.ended_at = time.monotonic()


async def _exchange(address: str, head: bytes, record: RequestRecord) -> None:
    """Send a request, and read its answer to the end of the connection."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(head)
        answer = await reader.read(-1)
    finally:
        writer.transport.abort()
    if answer:
        record.status = int(answer.split(b' ', 2)[1])
