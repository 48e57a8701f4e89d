"""Cuts some hosts of a soak off from all workers."""

import asyncio
import time
from typing import Final

from experiments.fleet_soak.fleet import Fleet
from experiments.fleet_soak.history import HostCut
from experiments.fleet_soak.links import LinkState
from experiments.fleet_soak.plan import Event, Fault

#: Seconds by which a cut exceeds the drawn duration: until cut hosts have to
#: serve as the others do.
CUT_EXTENSION: Final = 4.0

#: Seconds between two checks for workers that have joined during a cut.
RENEWAL_INTERVAL: Final = 0.2

#: What becomes of a cut host's connections to workers, by fault.
CUT_STATES: Final = {
    Fault.HOSTS_CUT_RESET: LinkState.REFUSED,
    Fault.HOSTS_CUT_SILENT: LinkState.SILENT,
    Fault.HOSTS_CUT_REFUSED: LinkState.REFUSED,
}


async def cut_hosts_off(fleet: Fleet, event: Event) -> None:
    """Cut hosts off from all workers, and record that.

    The target chooses one host, all but one, or all of one domain.
    """
    hosts = _affected(event.target, len(fleet.hosts))
    cut = HostCut(hosts, time.monotonic())
    fleet.history.cuts.append(cut)
    clients = [fleet.host_ip(number) for number in hosts]
    if event.fault is Fault.HOSTS_CUT_RESET:
        for link in fleet.workers.all_links:
            for client in clients:
                link.reset(client)
    until = cut.since + event.duration + CUT_EXTENSION
    while time.monotonic() < until:
        for link in fleet.workers.all_links:
            state = CUT_STATES[event.fault]
            link.client_states.update(dict.fromkeys(clients, state))
        await asyncio.sleep(RENEWAL_INTERVAL)
    cut.until = time.monotonic()
    for link in fleet.workers.all_links:
        for client in clients:
            link.client_states.pop(client, None)


def _affected(target: int, hosts: int) -> tuple[int, ...]:
    """Return the numbers of the hosts that a target stands for."""
    kind, number = target % 3, target % hosts
    if kind == 0:
        return (number,)
    if kind == 1:
        return tuple(other for other in range(hosts) if other != number)
    return tuple(other for other in range(hosts) if other % 2 == number % 2)
