"""Scripts of a stand-in worker that crash it."""

from collections.abc import Awaitable, Callable

from fakes.opaque_worker import (
    ReceivedRequest,
    Script,
    ScriptFactory,
    head,
    signed,
)

PROMPT_PARTS = 'Nutmegroad-Prompt-Prefix'


def shared_part_ids(prompt: str) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt that other prompts may have.

    Args:
        prompt: Value of the header; its last part belongs to the request alone.
    """
    parts = prompt.split(',')[:-1]
    return tuple(part.partition(':')[0] for part in parts)


def crashing(
    body: bytes,
    default: ScriptFactory,
    restart: Callable[[], Awaitable[None]] | None = None,
) -> ScriptFactory:
    """Return a factory of scripts that crash the worker for one request body.

    The worker crashes after the head of the response, as it does with real
    requests of this kind.

    Args:
        body: Body of the requests that crash the worker.
        default: Factory for all other requests.
        restart: Restarts the worker after a crash; None for no restart.
    """

    def make(request: ReceivedRequest) -> Script:
        """Return a crash, or the script for another request."""
        if request.body != body:
            return default(request)
        return _crash(request, restart)

    return make


def crashing_on_part(
    part: str,
    default: ScriptFactory,
    restart: Callable[[], Awaitable[None]] | None = None,
) -> ScriptFactory:
    """Return a factory of scripts that crash the worker for one prompt part.

    Args:
        part: Id of the part; it crashes the worker wherever it stands in the
            prompt, except at its end.
        default: Factory for all other requests.
        restart: Restarts the worker after a crash; None for no restart.
    """

    def make(request: ReceivedRequest) -> Script:
        """Return a crash, or the script for another request."""
        prompt = request.headers.get(PROMPT_PARTS.lower(), '')
        if part not in shared_part_ids(prompt):
            return default(request)
        return _crash(request, restart)

    return make


def _crash(
    request: ReceivedRequest,
    restart: Callable[[], Awaitable[None]] | None,
) -> Script:
    """Return a script that crashes the worker after the response head."""
    headers = signed(request, **{'Transfer-Encoding': 'chunked'})
    return Script((head('200 OK', headers),), crash=True, restart=restart)
