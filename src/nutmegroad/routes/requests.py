"""A caller's request, parsed for the relay."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, NewType

from nutmegroad.fleet.request_attributes import (
    ContentFingerprint,
    RequestAttributes,
)
from nutmegroad.foundations.types import ModelName, RegionId, RequestId
from nutmegroad.routes.deployment import Route, RoutingTable, Workspace
from nutmegroad.routes.headers import HeaderNames, RawHeaders

#: Id of a part of a prompt, as received.
PartId = NewType('PartId', str)
#: Id of a session, chosen by the caller.
SessionName = NewType('SessionName', str)

#: Model name by which a caller leaves the choice of the model to the system.
ANY_MODEL: Final = ModelName('*')

MILLISECONDS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other prompts may share.

    Attributes:
        part_id: Its id.
        tokens: Its size in tokens.
    """

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Generation:
    """Parameters of a request for text generation.

    Attributes:
        model: The model that the caller names, or ``ANY_MODEL``.
        prompt_tokens: Number of prompt tokens.
        output_tokens: Maximum number of tokens to generate.
        expected_tokens: The caller's estimate of the generated tokens.
        parts: The parts of the prompt, in order.
    """

    model: ModelName
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other prompts may share: all but the last."""
        return self.parts[:-1]

    @property
    def subject(self) -> PartId | None:
        """Id of the last shared part, or of the only part; None without parts.

        Requests about one subject have this part in common.
        """
        if not self.parts:
            return None
        parts = self.shared_parts or self.parts
        return parts[-1].part_id


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that was received completely.

    Attributes:
        request_id: Its id, chosen by the caller.
        method: HTTP method as received.
        target: Path and query, byte for byte as received.
        headers: The caller's headers that are forwarded to an upstream.
        body: The complete body.
        has_body: Whether the request had a body, even an empty one.
        route: Its route.
        table: The configuration in which the route was found.
        workspace: The workspace of its key; None if it needs no key.
        arrived: Clock seconds at which its headers were received.
        deadline: Clock seconds at which the final answer is due.
        caller_deadline: Clock seconds at which its caller stops waiting.
        content: Fingerprint of its caller, method, path and body, independent
            of its id.
        generation: Parameters of a generation; None for plain calls.
        session: Id of its session; None without one.
        last_event: Id of the last event that its caller has received, or empty.
        attributes: What it may have in common with requests that crash their
            upstreams.
    """

    request_id: RequestId
    method: str
    target: bytes
    headers: RawHeaders
    body: bytes
    has_body: bool
    route: Route
    table: RoutingTable
    workspace: Workspace | None
    arrived: float
    deadline: float
    caller_deadline: float
    content: ContentFingerprint
    generation: Generation | None = None
    session: SessionName | None = None
    last_event: str = ''
    attributes: RequestAttributes = ()

    @property
    def priority(self) -> int:
        """Its rank; that of a workspace takes precedence over the route's."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def region_restrictions(self) -> tuple[frozenset[RegionId], ...]:
        """The sets of regions that its execution is restricted to.

        The region has to be in each of them.
        """
        workspace = self.workspace
        restrictions = (
            self.route.regions,
            frozenset() if workspace is None else workspace.regions,
        )
        return tuple(regions for regions in restrictions if regions)


def read_generation(
    headers: Mapping[str, str],
    names: HeaderNames,
) -> Generation | None:
    """Return the generation parameters in a request's headers.

    A number that can't be parsed counts as 0; validation is left to the
    upstream.

    Returns:
        None if the request names no model and so is not a generation.
    """
    model = headers.get(names.model)
    if model is None:
        return None
    usage = headers.get(names.usage, '').split(',')
    output = _number(usage[-1]) if len(usage) > 1 else 0
    hint = _number(headers.get(names.length_hint, ''))
    return Generation(
        ModelName(model),
        _number(usage[0]),
        output,
        hint or output,
        _read_parts(headers.get(names.prompt_parts, '')),
    )


def read_caller_timeout(text: str, default: float) -> float:
    """Return the seconds that a caller will wait for an answer.

    Args:
        text: Milliseconds, as written by the caller.
        default: Seconds to return if the text is not a positive integer.
    """
    number = _number(text)
    return number / MILLISECONDS_PER_SECOND if number > 0 else default


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, parsed from ID:TOKENS,ID:TOKENS."""
    parts = []
    for word in text.split(','):
        part, colon, tokens = word.strip().partition(':')
        if part and colon:
            parts.append(PromptPart(PartId(part), _number(tokens)))
    return tuple(parts)


def _number(text: str) -> int:
    """Return a non-negative integer; 0 for any other text."""
    word = text.strip()
    return int(word) if word.isascii() and word.isdigit() else 0
