"""Lets the faults of a plan befall a soak's fleet."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import History, Trouble
from experiments.fleet_soak.links import Link, LinkState
from experiments.fleet_soak.plan import OF_ONE_HOST, Event, Fault
from experiments.fleet_soak.rollouts import Rollouts
from experiments.fleet_soak.worker import HARMFUL

#: Seconds for which the store is silent to a host at least: until a change
#: that comes meanwhile has to be in force on the others, and a while more.
HELD: Final = 4.0

#: Seconds after which a change follows on a silence.
SOON: Final = 0.1

#: Seconds for which a harmful request comes again: the span after its third end
#: in which hosts have to learn of it, and as much once more.
COMES_AGAIN: Final = 7.0

#: Seconds after which a worker is started again that has ended.
BACK_AFTER: Final = 0.4

#: What the store does, by fault.
_STORE_FAULTS: Final = {
    Fault.STORE_BUSY: 'busy',
    Fault.STORE_THROTTLED: 'throttled',
    Fault.STORE_SILENT: 'silent',
    Fault.STORE_LOSES: 'loses_replies',
}

_WORKER_LINKS: Final = {
    Fault.WORKER_SILENT: LinkState.SILENT,
    Fault.WORKER_SLOW: LinkState.SLOW,
    Fault.WORKER_ONE_WAY: LinkState.ONE_WAY,
}

#: An entry of another writer, at the address of nobody.
_FOREIGN: Final = b'{"service": "desk", "address": 7, "slots": "many"}'


class Faults:
    """Lets the faults of a plan happen.

    Args:
        fleet: To whom.
        history: Told of what was in trouble, and when.
    """

    def __init__(self, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self.fired: Counter[Fault] = Counter()
        self._rollouts = Rollouts(fleet)

    async def happen(self, event: Event) -> None:
        """Let one happen, and end it."""
        self.fired[event.fault] += 1
        began = time.monotonic()
        host = self._befallen(event)
        # Open-ended until it is over.
        open_ended = Trouble(began, float('inf'), host)
        if not event.planned:
            self._history.troubled.append(open_ended)
        await self._of(event.fault)(event)
        if not event.planned:
            self._history.troubled.remove(open_ended)
            self._history.troubled.append(
                Trouble(began, time.monotonic(), host),
            )

    def _befallen(self, event: Event) -> str:
        """Return the one host that a fault befalls; empty if it is not one."""
        if event.fault not in OF_ONE_HOST:
            return ''
        return f'host-{self._number(event)}'

    def _of(self, fault: Fault) -> Callable[[Event], Awaitable[None]]:
        """Return what makes a fault."""
        if fault in _STORE_FAULTS:
            return self._store
        if fault in _WORKER_LINKS:
            return self._worker_link
        return {
            Fault.HOST_KILLED: self._host_killed,
            Fault.HOST_PAUSED: self._host_paused,
            Fault.HOST_STOPPED: self._host_stopped,
            Fault.HOST_RELOADED: self._host_reloaded,
            Fault.WORKER_KILLED: self._worker_killed,
            Fault.WORKER_PAUSED: self._worker_paused,
            Fault.WORKER_FAILS: self._worker_fails,
            Fault.WORKER_LEAVES: self._worker_leaves,
            Fault.WORKER_RESET: self._worker_reset,
            Fault.CALLERS_RESET: self._callers_reset,
            Fault.STORE_FORGETS: self._store_forgets,
            Fault.STORE_REFUSES: self._store_refuses,
            Fault.STORE_SLOW: self._store_slow,
            Fault.STORE_HOLDS: self._store_holds,
            Fault.STORE_RETURNS: self._store_returns,
            Fault.HARMFUL_REQUEST: self._harmful_request,
            Fault.KEY_REVOKED: self._key_revoked,
            Fault.CONFIGURED: self._configured,
            Fault.FOREIGN_ENTRY: self._foreign_entry,
            Fault.ROLLED_OUT: self._rolled_out,
            Fault.ROLLED_OUT_BAD: self._rolled_out_bad,
        }[fault]

    async def _store(self, event: Event) -> None:
        """Let the store fail all calls in one way."""
        await self._fleet.tell_store(f'fault/{_STORE_FAULTS[event.fault]}')
        await asyncio.sleep(event.lasts)
        await self._fleet.tell_store('fault/none')

    async def _store_forgets(self, event: Event) -> None:
        """Drop the store's history."""
        await self._fleet.tell_store('forget')

    async def _store_refuses(self, event: Event) -> None:
        """Cut one host off from the store."""
        link = self._store_link(event)
        link.reset()
        await _held(link, LinkState.REFUSED, event.lasts)

    async def _store_slow(self, event: Event) -> None:
        """Let one host's store be slow."""
        link = self._store_link(event)
        await _held(link, LinkState.SLOW, event.lasts)

    def _store_link(self, event: Event) -> Link:
        """Return the link of one host to the store."""
        return self._fleet.store_links[self._number(event)]

    def _number(self, event: Event) -> int:
        """Return which host a fault is for."""
        return event.target % len(self._fleet.hosts)

    async def _store_holds(self, event: Event) -> None:
        """Let the store fall silent to one host, and add a route meanwhile.

        The host's connections stay open, as behind a proxy whose far side is
        cut off.
        """
        link = self._store_link(event)
        began = asyncio.create_task(
            _held(link, LinkState.SILENT, event.lasts + HELD),
        )
        await asyncio.sleep(SOON)
        await self._fleet.configure(add_route=True)
        await began

    async def _store_returns(self, event: Event) -> None:
        """Let the store come back from a copy, and the operator write again."""
        await self._fleet.tell_store('copy')
        await asyncio.sleep(event.lasts)
        await self._fleet.tell_store('fault/silent')
        await asyncio.sleep(SOON)
        await self._fleet.tell_store('come_back')
        await self._fleet.tell_store('fault/none')
        await asyncio.sleep(event.lasts / 4)
        await self._fleet.configure()

    async def _harmful_request(self, event: Event) -> None:
        """Let a request that ends workers come again and again."""
        path = f'/draft/{HARMFUL}-{event.at:.2f}'
        latest = time.monotonic() + COMES_AGAIN
        number = event.target
        while time.monotonic() < latest:
            number += 1
            await self._fleet.send_harmful(path, number)
            await asyncio.sleep(BACK_AFTER)
            await self._fleet.workers.revive()

    async def _worker_link(self, event: Event) -> None:
        """Hold up what is sent to one worker."""
        links = self._fleet.workers.links
        link = links[event.target % len(links)]
        await _held(link, _WORKER_LINKS[event.fault], event.lasts)

    async def _worker_reset(self, event: Event) -> None:
        """Reset all connections to one worker."""
        links = self._fleet.workers.links
        links[event.target % len(links)].reset()

    async def _callers_reset(self, event: Event) -> None:
        """Reset the connections of one host's callers."""
        links = self._fleet.host_links
        links[event.target % len(links)].reset()

    async def _host_killed(self, event: Event) -> None:
        """Kill a host, and start it again."""
        host = self._fleet.hosts[self._number(event)]
        await host.kill()
        await asyncio.sleep(event.lasts / 4)
        await host.start()
        await asyncio.sleep(1)

    async def _host_paused(self, event: Event) -> None:
        """Let a host stand still."""
        host = self._fleet.hosts[self._number(event)]
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(event.lasts)
        host.signal(signal.SIGCONT)

    async def _host_stopped(self, event: Event) -> None:
        """Stop a host as planned, and start it again."""
        number = self._number(event)
        host = self._fleet.hosts[number]
        began = time.monotonic()
        host.signal(signal.SIGTERM)
        await host.ended()
        self._history.stopping.append(
            (f'host-{number}', began, time.monotonic()),
        )
        await host.start()

    async def _host_reloaded(self, event: Event) -> None:
        """Let a host read its settings again."""
        host = self._fleet.hosts[self._number(event)]
        host.signal(signal.SIGHUP)

    async def _worker_killed(self, event: Event) -> None:
        """Kill a worker; it starts again under its id."""
        workers = self._fleet.workers.processes
        worker = workers[event.target % len(workers)]
        await worker.kill()
        await asyncio.sleep(event.lasts / 4)
        await worker.start()

    async def _worker_paused(self, event: Event) -> None:
        """Let a worker stand still."""
        workers = self._fleet.workers.processes
        worker = workers[event.target % len(workers)]
        worker.signal(signal.SIGSTOP)
        await asyncio.sleep(event.lasts)
        worker.signal(signal.SIGCONT)

    async def _worker_fails(self, event: Event) -> None:
        """Let a worker fail part of its requests."""
        workers = self._fleet.workers.processes
        worker = workers[event.target % len(workers)]
        worker.signal(signal.SIGUSR1)
        await asyncio.sleep(event.lasts)
        worker.signal(signal.SIGUSR1)

    async def _worker_leaves(self, event: Event) -> None:
        """Let a worker leave, and another take its place."""
        number = event.target % len(self._fleet.workers)
        await self._fleet.workers.replace(number)

    async def _key_revoked(self, event: Event) -> None:
        """Take a key away."""
        await self._fleet.revoke()

    async def _configured(self, event: Event) -> None:
        """Add a route."""
        await self._fleet.configure(add_route=True)

    async def _foreign_entry(self, event: Event) -> None:
        """Let another writer write into the list of workers."""
        name = f'foreign-{event.target}'
        await self._fleet.put('servers', name, _FOREIGN)

    async def _rolled_out(self, event: Event) -> None:
        """Roll a good version out."""
        await self._rollouts.order(bad=False)

    async def _rolled_out_bad(self, event: Event) -> None:
        """Roll a bad version out."""
        await self._rollouts.order(bad=True)


async def _held(link: Link, state: LinkState, seconds: float) -> None:
    """Keep a link in a state for a while."""
    link.state = state
    await asyncio.sleep(seconds)
    link.state = LinkState.WELL
