"""Which upstream a request goes to: the one that is expected to begin first.

What is expected follows from the prompts that wait there, the parts of its
own prompt that are kept there, how crowded the upstream is, and how own
exchanges with it went. Requests about one subject share parts of prompts;
all hosts of a failure domain rank upstreams for a subject alike, by
rendezvous hashing, so they tend to meet without a word.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from nutmegroad.fleet.domain_silence import DomainSilence
from nutmegroad.fleet.loads import Load, LoadLedger
from nutmegroad.fleet.prefix_marks import HeldPrefixes
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    DomainId,
    ModelName,
    ServiceName,
    UpstreamIncarnation,
)
from nutmegroad.routes.deployment import EngineFacts
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.estimates import PaceKey, Paces
from nutmegroad.upstreams.prefixes import NOTHING, PromptReadings, Reading

#: Part of the time to a request's target that an upstream in another failure
#: domain counts as slower: bytes between domains are dear, a far answer that
#: is no later is no better, and a late one loses most of its worth.
FAR_PART: Final = 0.12

#: Part of that time that an upstream counts as slower which fails all that
#: it gets, beyond what the others fail.
FAILING_PART: Final = 2.0

#: The same for one in a failure domain that is likely cut off: as one that
#: fails all. If all others are full it is tried, since it may be there.
CUT_PART: Final = 2.0

#: The same for one that has all its slots taken.
FULL_PART: Final = 0.5

#: The same for each tenth of its memory that is asked for beyond what it
#: has; requests are put back then and read again.
MEMORY_PART: Final = 0.5

#: Part of an engine's memory from which it counts as full: what neighbours
#: sent a moment ago is not known yet.
MEMORY_FULL: Final = 0.9

#: Times its estimate an upstream has to take to count as slow.
SLOW: Final = 2.0

#: Seconds within which estimates count as equal.
TIE: Final = 0.002

_TENTH: Final = 0.1


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes, and why.

    Attributes:
        upstream: The one chosen.
        expected: Seconds until its answer should begin.
        reading: What it does about the request's prompt.
        tokens: Tokens that the request adds to its memory.
        held: Tokens that others hold there.
        running: Requests there, as far as is known.
        ahead: Seconds of prompts that wait there.
        candidates: How many there were.
    """

    upstream: Upstream
    expected: float
    reading: Reading
    tokens: int
    held: int
    running: int
    ahead: float
    candidates: int

    @property
    def load(self) -> Load:
        """Return what the request adds to the upstream."""
        return Load(1, self.reading.seconds, self.tokens)


@dataclass(frozen=True, slots=True)
class Asked:
    """What is to be sent somewhere.

    Attributes:
        request: The request.
        service: The service that answers.
        model: The model to be named; None if the caller's word stands.
        facts: What is known of the service's engines; None if plain.
    """

    request: CallerRequest
    service: ServiceName
    model: ModelName | None
    facts: EngineFacts | None

    @property
    def key(self) -> PaceKey:
        """Return what it is read as."""
        return PaceKey(self.service, self.model)


class Selector:
    """Chooses upstreams.

    Args:
        clock: The host's clock.
        randomness: Breaks ties.
        domain: The host's failure domain.
        ledger: What upstreams are busy with.
        prefixes: What they hold of prompts.
        silence: When other failure domains were heard.
    """

    def __init__(
        self,
        clock: Clock,
        randomness: random.Random,
        domain: DomainId,
        ledger: LoadLedger,
        prefixes: HeldPrefixes,
        silence: DomainSilence,
    ) -> None:
        self.silence = silence
        self.paces = Paces()
        self.prefixes = prefixes
        self.ledger = ledger
        self._clock = clock
        self._domain = domain
        self._randomness = randomness

    def choose(
        self,
        asked: Asked,
        upstreams: Collection[Upstream],
        tried: Collection[UpstreamIncarnation],
    ) -> Choice | None:
        """Return where a request goes next, or None if nowhere.

        Where no upstream can be reached, one request in a while tries; the
        rest had better be refused at once.

        Args:
            asked: What is to be sent.
            upstreams: Those that may run it.
            tried: Those that have failed with it; taken again only if
                there are no others.
        """
        now = self._clock.now()
        candidates = _candidates(upstreams, tried, now)
        if not candidates:
            return None
        readings = self._readings(asked, candidates)
        usual = min(each.health.failure_share(now) for each in candidates)
        best: tuple[float, Choice] | None = None
        for upstream in candidates:
            reading = NOTHING if readings is None else readings.at(upstream)
            choice = self._estimate(asked, upstream, reading, len(candidates))
            cost = self._cost(asked, choice, usual)
            if best is None or cost < best[0]:
                best = (cost, choice)
        return None if best is None else best[1]

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Tell whether another failure domain is likely cut off, with this."""
        domain = upstream.entry.domain
        return domain != self._domain and self.silence.suspected(domain)

    def _estimate(
        self,
        asked: Asked,
        upstream: Upstream,
        reading: Reading,
        candidates: int,
    ) -> Choice:
        """Return what is expected of one upstream."""
        load = self.ledger.load(upstream.entry.incarnation)
        base = self.paces.base(asked.key)
        queue = max(0, load.running + 1 - upstream.entry.slots)
        waiting = base * queue / max(1, upstream.entry.slots)
        generation = asked.request.generation
        tokens = 0
        if generation is not None:
            tokens = generation.prompt_tokens + generation.expected_tokens
        return Choice(
            upstream,
            load.reading + reading.seconds + base + waiting,
            reading,
            tokens,
            load.tokens,
            load.running,
            load.reading,
            candidates,
        )

    def _cost(self, asked: Asked, choice: Choice, usual: float) -> float:
        """Return an estimate in seconds, made longer by trouble."""
        upstream = choice.upstream
        health = upstream.health
        target = asked.request.route.target_latency
        slowness = health.pace if health.pace > SLOW else 1
        cost = choice.expected * slowness + self._randomness.random() * TIE
        if upstream.entry.domain != self._domain:
            cost += target * FAR_PART
        if self.is_cut_off(upstream):
            cost += target * CUT_PART
        failing = health.failure_share(self._clock.now()) - usual
        cost += target * FAILING_PART * failing
        crowd = choice.running / max(1, upstream.entry.slots)
        cost += target * FULL_PART * crowd * crowd
        return cost + target * MEMORY_PART * _excess(asked.facts, choice)

    def _readings(
        self,
        asked: Asked,
        candidates: list[Upstream],
    ) -> PromptReadings | None:
        """Return what upstreams would do about a prompt; None without one."""
        generation = asked.request.generation
        if generation is None:
            return None
        readings = PromptReadings(
            generation,
            asked.key,
            asked.facts,
            self.paces,
            self.prefixes,
        )
        readings.look(candidates, self._domain, self._clock.now())
        return readings


def _candidates(
    upstreams: Collection[Upstream],
    tried: Collection[UpstreamIncarnation],
    now: float,
) -> list[Upstream]:
    """Return the upstreams to choose from: the best that there are."""
    able = [each for each in upstreams if each.health.available(now)]
    fresh = [each for each in able if each.entry.incarnation not in tried]
    hoped = [each for each in upstreams if not each.health.hopeless(now)]
    return fresh or able or hoped


def _excess(facts: EngineFacts | None, choice: Choice) -> float:
    """Return the tenths of memory that are asked for in excess."""
    if facts is None or not facts.memory:
        return 0
    share = (choice.held + choice.tokens) / facts.memory
    return max(0, share - MEMORY_FULL) / _TENTH
