"""Engines and hosts of a simulation, on virtual time.

The hosts' decisions are the relay's own (selection, prefixes, ranks, loads
told by datagrams, escalation); only engines and the network are modelled.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from experiments.virtual_time import VirtualClock
from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.peer_gossip import PeerGossip, new_shared_state
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    ModelName,
    ServiceName,
    UpstreamId,
)
from nutmegroad.routes.deployment import EngineFacts
from nutmegroad.routes.requests import PromptPart
from nutmegroad.upstreams.directory import (
    SoftwareVersion,
    Upstream,
    UpstreamEntry,
)
from nutmegroad.upstreams.selection import Selector

SERVICE: Final = ServiceName('engines')
SMALL: Final = ModelName('small')
LARGE: Final = ModelName('large')

#: Seconds to read a token, by model, and to generate one.
READS: Final = {SMALL: 8e-6, LARGE: 8e-5}
GENERATES: Final = 0.006

#: Seconds that an answer takes besides its prompt.
BASE: Final = 0.01

#: Seconds of a datagram on its way.
WAY: Final = 0.0005

#: What engines are like.
FACTS: Final = EngineFacts(
    cache_tokens=350_000, event_tokens=3, token_fetch_seconds=1.2e-6
)

#: Requests that an engine runs at once.
SLOTS: Final = 64


@dataclass(order=True, slots=True)
class Waiting:
    """A prompt that waits at an engine; the least is read first.

    Attributes:
        rank: Its rank.
        number: Counts what came to the engine.
        tokens: Tokens that it may still have to read.
        model: The model that reads it.
        parts: Its parts, in order.
        source: The engine that it fetches from; None for none.
        read: Done when it has been read.
    """

    rank: int
    number: int
    tokens: int = field(compare=False)
    model: ModelName = field(compare=False)
    parts: tuple[PromptPart, ...] = field(compare=False)
    source: 'Engine | None' = field(compare=False)
    read: 'asyncio.Future[None]' = field(compare=False)


class Engine:
    """Reads one prompt after another, and keeps what it has read.

    Args:
        upstream: What hosts know of it.
        clock: The simulation's clock.
    """

    def __init__(self, upstream: Upstream, clock: VirtualClock) -> None:
        self.upstream = upstream
        self.read_again = 0
        self.fetched = 0
        self._clock = clock
        self._waiting: asyncio.PriorityQueue[Waiting] = asyncio.PriorityQueue()
        self._held: OrderedDict[tuple[ModelName, str], int] = OrderedDict()
        self._number = 0
        self._seen: set[tuple[ModelName, str]] = set()

    async def read(
        self,
        rank: int,
        model: ModelName,
        parts: tuple[PromptPart, ...],
        source: 'Engine | None',
    ) -> None:
        """Return once a prompt has been read."""
        self._number += 1
        read = asyncio.get_running_loop().create_future()
        tokens = sum(part.tokens for part in parts)
        self._waiting.put_nowait(
            Waiting(rank, self._number, tokens, model, parts, source, read),
        )
        await read

    async def run(self) -> None:
        """Read prompts until cancelled."""
        while True:
            prompt = await self._waiting.get()
            await self._clock.sleep(self._work(prompt))
            prompt.read.set_result(None)

    def holds(self, model: ModelName, part: PromptPart) -> bool:
        """Tell whether it holds a part for a model."""
        return (model, part.part_id) in self._held

    def _work(self, prompt: Waiting) -> float:
        """Return the seconds that a prompt takes, and keep its parts."""
        seconds = BASE
        prefix = True
        for part in prompt.parts:
            prefix = prefix and self.holds(prompt.model, part)
            if not prefix:
                seconds += self._take(prompt, part)
            self._keep(prompt.model, part)
        return seconds

    def _take(self, prompt: Waiting, part: PromptPart) -> float:
        """Return the seconds to fetch a part, or to read it."""
        source = prompt.source
        if source is not None and source.holds(prompt.model, part):
            self.fetched += part.tokens
            return part.tokens * (FACTS.token_fetch_seconds or 0)
        key = (prompt.model, part.part_id)
        self.read_again += part.tokens * (key in self._seen)
        self._seen.add(key)
        return part.tokens * READS[prompt.model]

    def _keep(self, model: ModelName, part: PromptPart) -> None:
        """Keep a part; the one that was not used for longest yields."""
        key = (model, part.part_id)
        self._held[key] = part.tokens
        self._held.move_to_end(key)
        while sum(self._held.values()) > FACTS.cache_tokens:
            self._held.popitem(last=False)


class _Wire:
    """Stands for a datagram socket: what is sent comes a moment later.

    Args:
        deliver: Returns who hears an address.
    """

    def __init__(self, deliver: Callable[[int], PeerGossip]) -> None:
        self._deliver = deliver
        self.sent = 0

    def sendto(self, text: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.sent += len(text)
        _, port = address
        loop = asyncio.get_running_loop()
        heard = self._deliver(port).datagram_received
        loop.call_later(WAY, heard, text, address)


class Host:
    """One host: what it believes, and how it chooses.

    Args:
        number: Which one.
        domain: Its failure domain.
        clock: The simulation's clock.
        seed: Seed for its randomness.
    """

    def __init__(
        self,
        number: int,
        domain: DomainId,
        clock: VirtualClock,
        seed: int,
    ) -> None:
        self.row = HostRow('127.0.0.1', number, domain)
        self.name = HostId(f'host-{number}')
        self.told = new_shared_state(self.name, HostIncarnation(0), clock, 5)
        self.neighbours = PeerGossip(
            self.name,
            self.row,
            self.told,
            clock,
        )
        self.selector = Selector(
            clock,
            random.Random(seed * 1000 + number),
            domain,
            self.told.ledger,
            self.told.prefixes,
            self.told.domains,
        )


class Fleet:
    """Hosts and engines that know of each other.

    Args:
        hosts: How many hosts.
        engines: How many engines.
        domains: In how many failure domains both stand.
        clock: The simulation's clock.
        seed: Seed for all randomness.
        telling: Whether hosts tell each other anything.
    """

    def __init__(
        self,
        hosts: int,
        engines: int,
        domains: int,
        clock: VirtualClock,
        seed: int,
        *,
        telling: bool = True,
    ) -> None:
        self.engines = [
            Engine(
                _upstream(number, DomainId(f'd{number % domains}')),
                clock,
            )
            for number in range(engines)
        ]
        self.hosts = [
            Host(number, DomainId(f'd{number % domains}'), clock, seed)
            for number in range(hosts)
        ]
        self._telling = telling
        self._by_name = {
            engine.upstream.entry.upstream: engine for engine in self.engines
        }

    @property
    def told_bytes(self) -> int:
        """Return the bytes that hosts have told each other."""
        return sum(wire.sent for wire in self._wires)

    def engine(self, name: UpstreamId) -> Engine:
        """Return an engine by the name that hosts know."""
        return self._by_name[name]

    def upstreams(self) -> list[Upstream]:
        """Return engines as one host knows them: health is its own."""
        return [Upstream(each.upstream.entry) for each in self.engines]

    def start(self) -> list['asyncio.Task[None]']:
        """Let engines read and hosts tell."""
        self._wires = []
        for host in self.hosts:
            wire: Any = _Wire(self._listening)
            self._wires.append(wire)
            if self._telling:
                host.neighbours.connection_made(wire)
            for other in self.hosts:
                host.neighbours.add_host(other.name, other.row)
        work = [engine.run() for engine in self.engines]
        work.extend(host.neighbours.run() for host in self.hosts)
        return [asyncio.ensure_future(each) for each in work]

    def _listening(self, port: int) -> PeerGossip:
        """Return who listens at a port."""
        return self.hosts[port].neighbours


def _upstream(number: int, domain: DomainId) -> Upstream:
    """Return an engine as the list has it."""
    return Upstream(
        UpstreamEntry(
            UpstreamId(f'engine-{number}'),
            SERVICE,
            Address('127.0.0.1', number + 1),
            domain,
            SoftwareVersion('v1'),
            SLOTS,
        ),
    )
