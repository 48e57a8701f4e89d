"""Attributes that callers' requests have in common."""

from itertools import chain
from typing import Final

from nutmegroad.fleet.request_attributes import (
    RequestAttributes,
    broad_attributes,
    content_attribute,
    digest_body,
    shared_attributes,
    size_range,
)
from nutmegroad.routes.requests import CallerRequest

#: Maximum number of parts of a prompt that are attributes.
MAX_PARTS: Final = 16


def request_attributes(request: CallerRequest) -> RequestAttributes:
    """Return the attributes of a request that a crash may be due to.

    Ids of parts and sessions are chosen by callers. A part counts as the same
    whoever sends it: what it does to an upstream does not depend on its caller.
    """
    target = request.target.decode('utf-8', 'surrogateescape')
    generation = request.generation
    parts = () if generation is None else generation.parts[:MAX_PARTS]
    workspace = '' if request.workspace is None else request.workspace.name
    size = len(request.body)
    if generation is not None:
        size = generation.prompt_tokens
    return tuple(
        chain(
            (content_attribute(request.content),),
            shared_attributes('part', (part.part_id for part in parts)),
            shared_attributes(
                'body',
                (digest_body(f'{request.method} {target}', request.body),),
            ),
            shared_attributes(
                'session',
                (f'{workspace} {request.session}',) if request.session else (),
            ),
            broad_attributes(
                target=f'{request.route.host} {target}',
                workspace=f'{request.route.name} {workspace}',
                model='' if generation is None else generation.model,
                size=f'{request.route.name} {size_range(size)}',
            ),
        )
    )
