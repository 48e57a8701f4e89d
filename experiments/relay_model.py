"""Simulated engines and hosts on virtual time.

The hosts decide with the relay's own code (selection, prefix tracking, ranks,
load reports in datagrams, escalation); only the engines and the network are
models.
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
from nutmegroad.upstreams.cold_starts import ColdStarts
from nutmegroad.upstreams.directory import (
    SoftwareVersion,
    Upstream,
    UpstreamEntry,
)
from nutmegroad.upstreams.selection import Selector

SERVICE: Final = ServiceName('engines')
SMALL: Final = ModelName('small')
LARGE: Final = ModelName('large')

#: Seconds to process one prompt token, by model.
PREFILL_SECONDS: Final = {SMALL: 8e-6, LARGE: 8e-5}

#: Seconds to generate one token, with either model.
DECODE_SECONDS: Final = 0.006

#: Fixed seconds per request, in addition to the processing of its prompt.
BASE_SECONDS: Final = 0.01

#: Network delay of a datagram in seconds.
DATAGRAM_DELAY: Final = 0.0005

#: Properties of the engines as a deployment states them.
ENGINE_FACTS: Final = EngineFacts(
    cache_tokens=350_000, event_tokens=3, token_fetch_seconds=1.2e-6
)

#: Requests that an engine runs concurrently.
SLOTS: Final = 64


@dataclass(order=True, slots=True)
class QueuedPrompt:
    """A prompt in an engine's queue; the smallest one is processed first.

    Attributes:
        rank: Its rank; lower ranks are processed first.
        number: Its position among all prompts that the engine has received,
            which orders prompts of equal rank.
        tokens: Its length in tokens, cached or not.
        model: The model that processes it.
        parts: Its parts in order.
        source: The engine from which cached parts are fetched, if any.
        processed: Completed when the prompt has been processed.
    """

    rank: int
    number: int
    tokens: int = field(compare=False)
    model: ModelName = field(compare=False)
    parts: tuple[PromptPart, ...] = field(compare=False)
    source: 'Engine | None' = field(compare=False)
    processed: 'asyncio.Future[None]' = field(compare=False)


class Engine:
    """A simulated engine: processes prompts one at a time and caches them.

    Args:
        upstream: The engine's entry in the directory of upstreams.
        clock: The simulation's clock.

    Attributes:
        upstream: The engine's entry in the directory of upstreams.
        reprocessed_tokens: Tokens of parts that it had processed before.
        fetched_tokens: Tokens fetched from other engines.
    """

    def __init__(self, upstream: Upstream, clock: VirtualClock) -> None:
        self.upstream = upstream
        self.reprocessed_tokens = 0
        self.fetched_tokens = 0
        self._clock = clock
        self._queue: asyncio.PriorityQueue[QueuedPrompt] = (
            asyncio.PriorityQueue()
        )
        self._cache: OrderedDict[tuple[ModelName, str], int] = OrderedDict()
        self._number = 0
        self._processed_parts: set[tuple[ModelName, str]] = set()

    async def process_prompt(
        self,
        rank: int,
        model: ModelName,
        parts: tuple[PromptPart, ...],
        source: 'Engine | None',
    ) -> None:
        """Queue a prompt and wait until it has been processed.

        Args:
            rank: Its rank; lower ranks are processed first.
            model: The model that processes it.
            parts: Its parts in order.
            source: The engine from which cached parts are fetched, if any.
        """
        self._number += 1
        processed = asyncio.get_running_loop().create_future()
        tokens = sum(part.tokens for part in parts)
        self._queue.put_nowait(
            QueuedPrompt(
                rank, self._number, tokens, model, parts, source, processed
            ),
        )
        await processed

    async def run(self) -> None:
        """Process queued prompts until cancelled."""
        while True:
            prompt = await self._queue.get()
            await self._clock.sleep(self._process_parts(prompt))
            prompt.processed.set_result(None)

    def has_cached(self, model: ModelName, part: PromptPart) -> bool:
        """Return whether a prompt part is cached for a model."""
        return (model, part.part_id) in self._cache

    def _process_parts(self, prompt: QueuedPrompt) -> float:
        """Cache the parts of a prompt; return the seconds that it takes.

        Only a contiguous prefix of cached parts is free.
        """
        seconds = BASE_SECONDS
        in_prefix = True
        for part in prompt.parts:
            in_prefix = in_prefix and self.has_cached(prompt.model, part)
            if not in_prefix:
                seconds += self._load_part(prompt, part)
            self._cache_part(prompt.model, part)
        return seconds

    def _load_part(self, prompt: QueuedPrompt, part: PromptPart) -> float:
        """Return the seconds to fetch a part, or else to process it."""
        source = prompt.source
        if source is not None and source.has_cached(prompt.model, part):
            self.fetched_tokens += part.tokens
            return part.tokens * (ENGINE_FACTS.token_fetch_seconds or 0)
        key = (prompt.model, part.part_id)
        self.reprocessed_tokens += part.tokens * (key in self._processed_parts)
        self._processed_parts.add(key)
        return part.tokens * PREFILL_SECONDS[prompt.model]

    def _cache_part(self, model: ModelName, part: PromptPart) -> None:
        """Cache a part, evicting the least recently used ones."""
        key = (model, part.part_id)
        self._cache[key] = part.tokens
        self._cache.move_to_end(key)
        while sum(self._cache.values()) > ENGINE_FACTS.cache_tokens:
            self._cache.popitem(last=False)


class _SimulatedTransport:
    """A datagram transport that delivers to another host after a delay.

    Args:
        receiver_at: Returns the protocol that listens on a port.

    Attributes:
        sent_bytes: Total size of the datagrams sent.
    """

    def __init__(self, receiver_at: Callable[[int], PeerGossip]) -> None:
        self._receiver_at = receiver_at
        self.sent_bytes = 0

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Schedule the delivery of a datagram."""
        self.sent_bytes += len(datagram)
        _, port = address
        loop = asyncio.get_running_loop()
        receive = self._receiver_at(port).datagram_received
        loop.call_later(DATAGRAM_DELAY, receive, datagram, address)


class Host:
    """A host with the relay's own gossip and selection.

    Args:
        number: Number of the host, which is also its port.
        domain: Its failure domain.
        clock: The simulation's clock.
        seed: Seed of the simulation; the host's randomness depends on its
            number as well.

    Attributes:
        row: The host's row in the list of hosts.
        name: The host's id.
        shared_state: State that is shared with other hosts by gossip.
        gossip: Sends and receives the host's datagrams.
        selector: Selects engines.
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
        self.shared_state = new_shared_state(
            self.name, HostIncarnation(0), clock, 5
        )
        self.gossip = PeerGossip(
            self.name,
            self.row,
            self.shared_state,
            clock,
        )
        self.selector = Selector(
            clock,
            random.Random(seed * 1000 + number),
            domain,
            self.shared_state.ledger,
            self.shared_state.prefixes,
            self.shared_state.domains,
            ColdStarts(clock, lambda _: 0),
        )


class Fleet:
    """Hosts and engines, spread evenly over failure domains.

    Args:
        hosts: Number of hosts.
        engines: Number of engines.
        domains: Number of failure domains.
        clock: The simulation's clock.
        seed: Seed of all randomness.
        gossip_enabled: Whether hosts send each other datagrams.

    Attributes:
        hosts: All hosts.
        engines: All engines.
    """

    def __init__(
        self,
        hosts: int,
        engines: int,
        domains: int,
        clock: VirtualClock,
        seed: int,
        *,
        gossip_enabled: bool = True,
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
        self._gossip_enabled = gossip_enabled
        self._by_name = {
            engine.upstream.entry.upstream: engine for engine in self.engines
        }

    @property
    def gossip_bytes(self) -> int:
        """Total size of the datagrams sent between hosts."""
        return sum(transport.sent_bytes for transport in self._transports)

    def engine(self, name: UpstreamId) -> Engine:
        """Return an engine by its upstream id."""
        return self._by_name[name]

    def upstreams(self) -> list[Upstream]:
        """Return entries of all engines for one host.

        Every host has entries of its own, because it tracks health itself.
        """
        return [Upstream(each.upstream.entry) for each in self.engines]

    def start(self) -> list['asyncio.Task[None]']:
        """Start all engines and the gossip of all hosts; return their tasks."""
        self._transports = []
        for host in self.hosts:
            transport: Any = _SimulatedTransport(self._receiver_at_port)
            self._transports.append(transport)
            if self._gossip_enabled:
                host.gossip.connection_made(transport)
            for other in self.hosts:
                host.gossip.add_host(other.name, other.row)
        tasks = [engine.run() for engine in self.engines]
        tasks.extend(host.gossip.run() for host in self.hosts)
        return [asyncio.ensure_future(each) for each in tasks]

    def _receiver_at_port(self, port: int) -> PeerGossip:
        """Return the gossip protocol of the host that listens on a port."""
        return self.hosts[port].gossip


def _upstream(number: int, domain: DomainId) -> Upstream:
    """Return the directory entry of an engine."""
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
