"""Injects the faults of a plan into a soak's fleet."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

from experiments.fleet_soak.brittleness import bring_into_need, make_brittle
from experiments.fleet_soak.crowds import crowd_host
from experiments.fleet_soak.cuts import CUT_STATES, cut_hosts_off
from experiments.fleet_soak.fleet import BOUNDS, RETRY_INTERVAL, Fleet
from experiments.fleet_soak.history import Evacuation, FaultInterval, History
from experiments.fleet_soak.links import Link, LinkState
from experiments.fleet_soak.plan import SINGLE_HOST_FAULTS, Event, Fault
from experiments.fleet_soak.processes import SoakProcess
from experiments.fleet_soak.rollouts import Rollouts
from experiments.fleet_soak.worker import HARMFUL
from experiments.fleet_soak.workers import DOMAINS

#: Carries an event out.
Action = Callable[[Event], Awaitable[None]]

#: Seconds by which the store's silence to one host exceeds the drawn duration:
#: until a change made meanwhile must be in force on the other hosts, and some
#: time more.
SILENCE_EXTENSION: Final = 4.0

#: Seconds from the beginning of a silence to the change made during it.
CHANGE_DELAY: Final = 0.1

#: Seconds for which a harmful request is sent repeatedly: the time after its
#: third crash in which hosts have to learn of it, and as much again.
RESEND_DURATION: Final = 7.0

#: Seconds for which a sound worker may be silent.
STALL_DURATION: Final = 1.1

#: Seconds after which a crashed worker is restarted.
RESTART_DELAY: Final = 0.4

#: The store's name of each fault that affects all its calls.
_STORE_FAULTS: Final = {
    Fault.STORE_BUSY: 'busy',
    Fault.STORE_THROTTLED: 'throttled',
    Fault.STORE_SILENT: 'silent',
    Fault.STORE_LOSES_REPLIES: 'loses_replies',
}

#: The state of a worker's link, by fault.
_WORKER_LINKS: Final = {
    Fault.WORKER_SILENT: LinkState.SILENT,
    Fault.WORKER_SLOW: LinkState.SLOW,
    Fault.WORKER_ONE_WAY: LinkState.ONE_WAY,
}

#: An invalid entry of another writer: address and slots are malformed.
_FOREIGN_ENTRY: Final = b'{"service": "desk", "address": 7, "slots": "many"}'


class FaultInjector:
    """Carries out the events of a plan on a fleet.

    Attributes:
        injected: Number of events by kind.

    Args:
        fleet: The fleet.
        history: Receives fault intervals and planned stops.
    """

    def __init__(self, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self.injected: Counter[Fault] = Counter()
        self._rollouts = Rollouts(fleet)
        # Number of events in effect, by worker and signal.
        self._modes: Counter[tuple[SoakProcess, signal.Signals]] = Counter()
        # Two crowds at once would stop and continue one host independently.
        self._crowd_lock = asyncio.Lock()

    async def inject(self, event: Event) -> None:
        """Carry an event out, and return when it is over."""
        self.injected[event.fault] += 1
        began = time.monotonic()
        host = self._affected_host(event)
        # Replaced when the fault is over and its end is known.
        open_ended = FaultInterval(began, float('inf'), host)
        if event.excuses_failures:
            self._history.fault_intervals.append(open_ended)
        await self._action_for(event.fault)(event)
        if event.excuses_failures:
            self._history.fault_intervals.remove(open_ended)
            self._history.fault_intervals.append(
                FaultInterval(began, time.monotonic(), host),
            )

    def _affected_host(self, event: Event) -> str:
        """Return the only affected host; empty if others may be affected."""
        if event.fault not in SINGLE_HOST_FAULTS:
            return ''
        return f'host-{self._host_number(event)}'

    def _action_for(self, fault: Fault) -> Action:
        """Return the method that carries out a kind of event."""
        if fault in _STORE_FAULTS:
            return self._store
        if fault in _WORKER_LINKS:
            return self._worker_link
        if fault in CUT_STATES:
            return partial(cut_hosts_off, self._fleet)
        actions: dict[Fault, Action] = {
            Fault.HOST_KILLED: self._host_killed,
            Fault.HOST_PAUSED: self._host_paused,
            Fault.HOST_STOPPED: self._host_stopped,
            Fault.HOST_RELOADED: self._host_reloaded,
            Fault.HOST_CROWDED: self._host_crowded,
            Fault.WORKER_KILLED: self._worker_killed,
            Fault.WORKER_PAUSED: self._worker_paused,
            Fault.WORKER_FAILS: self._worker_fails,
            Fault.WORKER_BREAKS_OFF: self._worker_breaks_off,
            Fault.WORKER_LEAVES: self._worker_leaves,
            Fault.WORKER_RESET: self._worker_reset,
            Fault.WORKER_STALLED: self._worker_stalled,
            Fault.WORKERS_BRITTLE: partial(make_brittle, self._fleet),
            Fault.WORKERS_IN_NEED: partial(bring_into_need, self._fleet),
            Fault.CALLERS_RESET: self._callers_reset,
            Fault.STORE_FORGETS: self._store_forgets,
            Fault.STORE_REFUSES_HOST: self._store_refuses_host,
            Fault.STORE_SLOW: self._store_slow,
            Fault.STORE_SILENT_TO_HOST: self._store_silent_to_host,
            Fault.STORE_RESTORED: self._store_restored,
            Fault.HARMFUL_REQUEST: self._harmful_request,
            Fault.HARMFUL_PART: self._harmful_part,
            Fault.KEY_REVOKED: self._key_revoked,
            Fault.CONFIGURED: self._configured,
            Fault.FOREIGN_ENTRY: self._foreign_entry,
            Fault.DOMAIN_EVACUATED: self._domain_evacuated,
            Fault.ROLLED_OUT: self._rolled_out,
            Fault.ROLLED_OUT_BAD: self._rolled_out_bad,
        }
        return actions[fault]

    async def _store(self, event: Event) -> None:
        """Let all calls to the store fail in one way."""
        await self._fleet.post_to_store(f'fault/{_STORE_FAULTS[event.fault]}')
        await asyncio.sleep(event.duration)
        await self._fleet.post_to_store('fault/none')

    async def _store_forgets(self, event: Event) -> None:
        """Drop the store's change history."""
        await self._fleet.post_to_store('forget')

    async def _store_refuses_host(self, event: Event) -> None:
        """Cut one host off from the store."""
        link = self._store_link(event)
        link.reset()
        await _hold(link, LinkState.REFUSED, event.duration)

    async def _store_slow(self, event: Event) -> None:
        """Slow down one host's connection to the store."""
        link = self._store_link(event)
        await _hold(link, LinkState.SLOW, event.duration)

    def _store_link(self, event: Event) -> Link:
        """Return the link from the affected host to the store."""
        return self._fleet.store_links[self._host_number(event)]

    def _host_number(self, event: Event) -> int:
        """Return the number of the host that an event affects."""
        return event.target % len(self._fleet.hosts)

    async def _store_silent_to_host(self, event: Event) -> None:
        """Stop the store's replies to one host, and add a route meanwhile.

        The host's connections stay open, as behind a proxy that has lost its
        connection to the store.
        """
        link = self._store_link(event)
        silence = asyncio.create_task(
            _hold(link, LinkState.SILENT, event.duration + SILENCE_EXTENSION),
        )
        await asyncio.sleep(CHANGE_DELAY)
        await self._fleet.configure(add_route=True)
        await silence

    async def _store_restored(self, event: Event) -> None:
        """Restore the store from a copy, and write a configuration again."""
        await self._fleet.post_to_store('copy')
        await asyncio.sleep(event.duration)
        await self._fleet.post_to_store('fault/silent')
        await asyncio.sleep(CHANGE_DELAY)
        await self._fleet.post_to_store('come_back')
        await self._fleet.post_to_store('fault/none')
        await asyncio.sleep(event.duration / 4)
        await self._fleet.configure()

    async def _harmful_request(self, event: Event) -> None:
        """Repeatedly send a request that crashes workers."""
        path = f'/draft/{HARMFUL}-{event.at:.2f}'
        await self._resend(event, lambda _: path)

    async def _harmful_part(self, event: Event) -> None:
        """Send requests with a part that crashes workers, no two alike."""
        await self._resend(
            event,
            lambda number: f'/draft/part-{event.at:.2f}-{number}',
            f'{HARMFUL}-{event.at:.2f}',
        )

    async def _resend(
        self, event: Event, path: Callable[[int], str], part: str = ''
    ) -> None:
        """Repeatedly send requests that crash workers, to each host in turn.

        Args:
            event: The fault.
            path: Returns the path of a request by its number.
            part: Id of the part of its prompt that crashes workers; empty if
                the path does.
        """
        latest = time.monotonic() + RESEND_DURATION
        number = event.target
        while time.monotonic() < latest:
            number += 1
            await self._fleet.send_harmful(path(number), number, part)
            await asyncio.sleep(RESTART_DELAY)
            await self._fleet.workers.restart_ended()

    async def _worker_link(self, event: Event) -> None:
        """Delay or block traffic of one worker."""
        links = self._fleet.workers.links
        link = links[event.target % len(links)]
        await _hold(link, _WORKER_LINKS[event.fault], event.duration)

    async def _worker_reset(self, event: Event) -> None:
        """Reset all connections to one worker."""
        links = self._fleet.workers.links
        links[event.target % len(links)].reset()

    async def _callers_reset(self, event: Event) -> None:
        """Reset the connections of one host's callers."""
        links = self._fleet.host_links
        links[event.target % len(links)].reset()

    async def _host_killed(self, event: Event) -> None:
        """Kill a host, and restart it."""
        host = self._fleet.hosts[self._host_number(event)]
        await host.kill()
        await asyncio.sleep(event.duration / 4)
        await host.start()
        await asyncio.sleep(1)

    async def _host_crowded(self, event: Event) -> None:
        """Send a crowd to a host with a part of a core."""
        async with self._crowd_lock:
            await crowd_host(self._fleet, event)

    async def _host_paused(self, event: Event) -> None:
        """Suspend a host."""
        host = self._fleet.hosts[self._host_number(event)]
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(event.duration)
        host.signal(signal.SIGCONT)

    async def _host_stopped(self, event: Event) -> None:
        """Stop a host in the planned way, and restart it."""
        number = self._host_number(event)
        host = self._fleet.hosts[number]
        began = time.monotonic()
        host.signal(signal.SIGTERM)
        await host.wait_ended()
        self._history.planned_stops.append(
            (f'host-{number}', began, time.monotonic()),
        )
        await host.start()

    async def _host_reloaded(self, event: Event) -> None:
        """Let a host reload its settings."""
        host = self._fleet.hosts[self._host_number(event)]
        host.signal(signal.SIGHUP)

    async def _worker_killed(self, event: Event) -> None:
        """Kill a worker, and restart it under the same id."""
        workers = self._fleet.workers.processes
        worker = workers[event.target % len(workers)]
        await worker.kill()
        await asyncio.sleep(event.duration / 4)
        await worker.start()

    async def _worker_paused(self, event: Event) -> None:
        """Suspend a worker."""
        await self._suspend_worker(event.target, event.duration)

    async def _worker_stalled(self, event: Event) -> None:
        """Let a sound worker be silent for a second."""
        await self._suspend_worker(event.target, STALL_DURATION)

    async def _suspend_worker(self, target: int, seconds: float) -> None:
        """Suspend a worker for a time."""
        workers = self._fleet.workers.processes
        worker = workers[target % len(workers)]
        worker.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        worker.signal(signal.SIGCONT)

    async def _worker_fails(self, event: Event) -> None:
        """Let a worker fail a fraction of its requests."""
        await self._toggle_worker(event, signal.SIGUSR1)

    async def _worker_breaks_off(self, event: Event) -> None:
        """Let a worker send answers without a length, and break some off."""
        await self._toggle_worker(event, signal.SIGUSR2)

    async def _toggle_worker(
        self, event: Event, toggle: signal.Signals
    ) -> None:
        """Switch a mode of a worker on by a signal, and off again.

        It stays on while events of the same kind overlap.
        """
        workers = self._fleet.workers.processes
        worker = workers[event.target % len(workers)]
        mode = (worker, toggle)
        self._modes[mode] += 1
        if self._modes[mode] == 1:
            worker.signal(toggle)
        await asyncio.sleep(event.duration)
        self._modes[mode] -= 1
        if not self._modes[mode]:
            worker.signal(toggle)

    async def _worker_leaves(self, event: Event) -> None:
        """Drain a worker, and replace it by another."""
        number = event.target % len(self._fleet.workers)
        await self._fleet.workers.replace(number)

    async def _key_revoked(self, event: Event) -> None:
        """Replace the oldest API key."""
        await self._fleet.rotate_key()

    async def _configured(self, event: Event) -> None:
        """Add a route."""
        await self._fleet.configure(add_route=True)

    async def _foreign_entry(self, event: Event) -> None:
        """Write an invalid entry into the table of workers."""
        name = f'foreign-{event.target}'
        await self._fleet.put('servers', name, _FOREIGN_ENTRY)

    async def _domain_evacuated(self, event: Event) -> None:
        """Evacuate a failure domain, and take it back.

        The duration counts from when the order must be in force.
        """
        domain = DOMAINS[event.target % len(DOMAINS)]
        key = f'evacuate/{domain}'
        while not await self._fleet.put('op', key, b'{}'):
            await asyncio.sleep(RETRY_INTERVAL)
        evacuation = Evacuation(domain, time.monotonic())
        self._history.evacuations.append(evacuation)
        await asyncio.sleep(BOUNDS.evacuate + event.duration)
        evacuation.ended_at = time.monotonic()
        while not await self._fleet.remove('op', key):
            await asyncio.sleep(RETRY_INTERVAL)

    async def _rolled_out(self, event: Event) -> None:
        """Roll out a good version."""
        await self._rollouts.order(bad=False)

    async def _rolled_out_bad(self, event: Event) -> None:
        """Roll out a bad version."""
        await self._rollouts.order(bad=True)


async def _hold(link: Link, state: LinkState, seconds: float) -> None:
    """Keep a link in a state for some seconds."""
    link.state = state
    await asyncio.sleep(seconds)
    link.state = LinkState.HEALTHY
