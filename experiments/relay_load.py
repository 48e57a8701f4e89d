"""The load of a simulation: kinds of request, and what became of them."""

import random
from dataclasses import dataclass
from typing import Final

from experiments.relay_model import LARGE, SERVICE, SMALL
from nutmegroad.fleet.content_fingerprints import ContentFingerprint
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

#: Part of the requests that are too hard for the small model.
HARD: Final = 0.45

#: Seconds that a caller waits.
PATIENCE: Final = 10.0


@dataclass(frozen=True, slots=True)
class LoadKind:
    """A kind of request.

    Attributes:
        name: Its name.
        share: Its share of all requests.
        target: Seconds in which answers should begin.
        priority: The operator's rank.
        shared: Tokens that all requests of a group, and of a subject, share.
        own: Tokens of the request itself, in the mean.
        generated: Tokens of the answer.
    """

    name: str
    share: float
    target: float
    priority: int
    shared: tuple[int, int]
    own: int
    generated: int


#: Long briefings, short notes, and chat.
KINDS: Final = (
    LoadKind('briefing', 0.3, 2.0, 1, (2500, 3800), 2900, 51),
    LoadKind('note', 0.37, 1.5, 0, (340, 230), 1800, 24),
    LoadKind('chat', 0.33, 1.0, 2, (100, 70), 540, 280),
)
GROUPS: Final = 4
SUBJECTS: Final = 130


@dataclass(frozen=True, slots=True)
class Answered:
    """What became of a request.

    Attributes:
        kind: Its kind.
        moment: When it came.
        waited: Seconds until its answer began.
        large: Whether the large model gave it.
        poor: Whether the small model gave it though it was too hard.
    """

    kind: LoadKind
    moment: float
    waited: float
    large: bool
    poor: bool

    @property
    def late(self) -> bool:
        """Tell whether it began after its target."""
        return self.waited > self.kind.target


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a simulation showed.

    Attributes:
        answered: All requests.
        read_again: Prompt tokens read again by the same engine.
        fetched: Prompt tokens fetched from another engine.
        told: Bytes told between hosts.
    """

    answered: tuple[Answered, ...]
    read_again: int
    fetched: int
    told: int

    def late_share(self, kind: str | None = None) -> float:
        """Return the share of late answers, of one kind or of all."""
        found = [
            each.late
            for each in self.answered
            if kind is None or each.kind.name == kind
        ]
        return sum(found) / max(1, len(found))


def draw(
    randomness: random.Random,
    number: int,
    now: float,
) -> tuple[LoadKind, CallerRequest]:
    """Draw a request.

    Args:
        randomness: What to draw from.
        number: Counts requests.
        now: Seconds at which it comes.
    """
    kind = randomness.choices(KINDS, [each.share for each in KINDS])[0]
    parts = _parts(randomness, kind, number)
    tokens = sum(part.tokens for part in parts)
    return kind, CallerRequest(
        request_id=RequestId(f'r{number}'),
        method='POST',
        target=b'/',
        headers=(),
        body=b'',
        has_body=True,
        route=_route(kind),
        table=RoutingTable(ConfigurationVersion(1), (), {}),
        workspace=None,
        arrived=now,
        deadline=now + PATIENCE,
        caller_deadline=now + PATIENCE,
        content=ContentFingerprint(number),
        generation=Generation(
            ANY_MODEL,
            tokens,
            kind.generated,
            kind.generated,
            parts,
        ),
    )


def _parts(
    randomness: random.Random,
    kind: LoadKind,
    number: int,
) -> tuple[PromptPart, ...]:
    """Draw a prompt: a group's part, a subject's, and its own."""
    group = randomness.randrange(GROUPS)
    subject = randomness.randrange(SUBJECTS)
    own = max(1, int(randomness.expovariate(1 / kind.own)))
    first, second = kind.shared
    return (
        PromptPart(PartId(f'{kind.name}-g{group}'), first),
        PromptPart(PartId(f'{kind.name}-s{subject}'), second),
        PromptPart(PartId(f'r{number}'), own),
    )


def _route(kind: LoadKind) -> Route:
    """Return the route of a kind of request."""
    return Route(
        RouteName(kind.name),
        'host',
        f'/{kind.name}/',
        RequestKind.STREAMING,
        PATIENCE,
        kind.target,
        kind.priority,
        (WeightedService(SERVICE, 1),),
        max_attempts=3,
        models=(SMALL, LARGE),
        resumable=True,
        max_event_gap=1,
    )
