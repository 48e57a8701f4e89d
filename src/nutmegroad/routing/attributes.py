"""Attributes that requests have in common."""

from dataclasses import dataclass
from itertools import chain
from typing import Final

import msgspec

from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.fleet.request_attributes import (
    RequestAttributes,
    broad_attributes,
    content_attribute,
    digest_body,
    fingerprint_content,
    shared_attributes,
    size_range,
)
from nutmegroad.foundations.types import RequestId, ServiceName, WorkspaceId

#: Maximum number of messages of a request that are attributes.
MAX_MESSAGES: Final = 16


@dataclass(frozen=True, slots=True)
class AttributedRequest:
    """A request with the attributes that a crash may be due to.

    Attributes:
        request: Its id.
        attributes: Its attributes.
    """

    request: RequestId
    attributes: RequestAttributes


def attribute_model_request(request: ModelRequest) -> AttributedRequest:
    """Return a model request with its attributes."""
    body = _encode(request.body)
    content = fingerprint_content(
        request.workspace, request.task.encode(), body
    )
    session = () if request.session is None else (request.session.name,)
    attributes = chain(
        (content_attribute(content),),
        shared_attributes('message', _messages(request)),
        shared_attributes('body', (digest_body(request.task, body),)),
        shared_attributes(
            'session', (f'{request.workspace} {name}' for name in session)
        ),
        broad_attributes(
            task=request.task,
            workspace=f'{request.task} {request.workspace}',
            size=f'{request.task} {size_range(request.prompt_tokens)}',
        ),
    )
    return AttributedRequest(request.request, tuple(attributes))


def attribute_service_call(
    request: RequestId,
    workspace: WorkspaceId,
    service: ServiceName,
    target: str,
    body: bytes,
) -> AttributedRequest:
    """Return a call to a plain service with its attributes.

    Args:
        request: Id of the request.
        workspace: The caller's workspace.
        service: The service.
        target: Method and path.
        body: The complete body.
    """
    called = f'{service} {target}'
    content = fingerprint_content(workspace, called.encode(), body)
    attributes = chain(
        (content_attribute(content),),
        shared_attributes('body', (digest_body(called, body),)),
        broad_attributes(
            target=called,
            workspace=f'{service} {workspace}',
            size=f'{service} {size_range(len(body))}',
        ),
    )
    return AttributedRequest(request, tuple(attributes))


def _messages(request: ModelRequest) -> tuple[str, ...]:
    """Return digests of the messages that a prompt consists of."""
    messages = request.body.get('messages')
    if not isinstance(messages, list):
        return ()
    return tuple(
        digest_body('', _encode(message)) for message in messages[:MAX_MESSAGES]
    )


def _encode(document: object) -> bytes:
    """Return a JSON document in a form that does not depend on key order."""
    return msgspec.json.encode(document, order='sorted')
