"""Synthetic load of the relay simulation, and the results of a run."""

import random
from dataclasses import dataclass
from typing import Final

from experiments.relay_model import LARGE, SERVICE, SMALL
from nutmegroad.fleet.request_attributes import ContentFingerprint
from nutmegroad.foundations.types import RequestId
from nutmegroad.routes.deployment import (
    ConfigurationVersion,
    RequestKind,
    Route,
    RouteName,
    RoutingTable,
    WeightedService,
)
from nutmegroad.routes.requests import (
    ANY_MODEL,
    CallerRequest,
    Generation,
    PartId,
    PromptPart,
)

#: Fraction of the requests that are too hard for the small model.
HARD_FRACTION: Final = 0.45

#: Seconds for which a caller waits for an answer.
CALLER_TIMEOUT: Final = 10.0


@dataclass(frozen=True, slots=True)
class LoadKind:
    """A kind of request and its share of the load.

    Attributes:
        name: Name of the kind and of its route.
        share: Fraction of all requests.
        target: Target latency: seconds until the answer should begin.
        priority: The operator's priority.
        shared_tokens: Lengths of the prompt parts shared by all requests of a
            group and by all requests about a subject.
        mean_own_tokens: Mean length of the prompt part that is not shared.
        answer_tokens: Length of the answer.
    """

    name: str
    share: float
    target: float
    priority: int
    shared_tokens: tuple[int, int]
    mean_own_tokens: int
    answer_tokens: int


#: Long briefings, short notes, and chats with long answers.
KINDS: Final = (
    LoadKind('briefing', 0.3, 2.0, 1, (2500, 3800), 2900, 51),
    LoadKind('note', 0.37, 1.5, 0, (340, 230), 1800, 24),
    LoadKind('chat', 0.33, 1.0, 2, (100, 70), 540, 280),
)

#: Number of groups and of subjects whose requests share prompt parts.
GROUPS: Final = 4
SUBJECTS: Final = 130


@dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """A request that was answered.

    Attributes:
        kind: Its kind.
        arrived: Virtual time of its arrival.
        waited: Seconds from its arrival until its answer began.
        large: Whether the large model answered it.
        poor: Whether the small model answered it although it was too hard.
    """

    kind: LoadKind
    arrived: float
    waited: float
    large: bool
    poor: bool

    @property
    def late(self) -> bool:
        """Whether the answer began later than its target latency."""
        return self.waited > self.kind.target


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """The results of a simulation.

    Attributes:
        answered: All requests.
        reprocessed_tokens: Prompt tokens that an engine had to process again.
        fetched_tokens: Prompt tokens that were fetched from another engine.
        gossip_bytes: Bytes sent in datagrams between hosts.
    """

    answered: tuple[AnsweredRequest, ...]
    reprocessed_tokens: int
    fetched_tokens: int
    gossip_bytes: int

    def late_fraction(self, kind: str | None = None) -> float:
        """Return the fraction of late answers, of one kind or of all."""
        matching = [
            each.late
            for each in self.answered
            if kind is None or each.kind.name == kind
        ]
        return sum(matching) / max(1, len(matching))


def draw_request(
    randomness: random.Random,
    number: int,
    now: float,
) -> tuple[LoadKind, CallerRequest]:
    """Draw a request at random.

    Args:
        randomness: Source of randomness.
        number: Number of the request, unique within the run.
        now: Virtual time of its arrival.

    Returns:
        The kind of the request, and the request.
    """
    kind = randomness.choices(KINDS, [each.share for each in KINDS])[0]
    parts = _draw_prompt(randomness, kind, number)
    tokens = sum(part.tokens for part in parts)
    return kind, CallerRequest(
        request_id=RequestId(f'r{number}'),
        method='POST',
        target=b'/',
        headers=(),
        body=b'',
        has_body=True,
        route=_make_route(kind),
        table=RoutingTable(ConfigurationVersion(1), (), {}),
        workspace=None,
        arrived=now,
        deadline=now + CALLER_TIMEOUT,
        caller_deadline=now + CALLER_TIMEOUT,
        content=ContentFingerprint(number),
        generation=Generation(
            ANY_MODEL,
            tokens,
            kind.answer_tokens,
            kind.answer_tokens,
            parts,
        ),
    )


def _draw_prompt(
    randomness: random.Random,
    kind: LoadKind,
    number: int,
) -> tuple[PromptPart, ...]:
    """Draw a prompt: parts of a group, of a subject and of the request."""
    group = randomness.randrange(GROUPS)
    subject = randomness.randrange(SUBJECTS)
    own_tokens = max(1, int(randomness.expovariate(1 / kind.mean_own_tokens)))
    group_tokens, subject_tokens = kind.shared_tokens
    return (
        PromptPart(PartId(f'{kind.name}-g{group}'), group_tokens),
        PromptPart(PartId(f'{kind.name}-s{subject}'), subject_tokens),
        PromptPart(PartId(f'r{number}'), own_tokens),
    )


def _make_route(kind: LoadKind) -> Route:
    """Return the route of a kind of request."""
    return Route(
        RouteName(kind.name),
        'host',
        f'/{kind.name}/',
        RequestKind.STREAMING,
        CALLER_TIMEOUT,
        kind.target,
        kind.priority,
        (WeightedService(SERVICE, 1),),
        max_attempts=3,
        models=(SMALL, LARGE),
        resumable=True,
        max_event_gap=1,
    )
