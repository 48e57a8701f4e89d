"""Attributes that model requests have in common."""

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
)

#: Maximum number of messages of a request that are attributes.
MAX_MESSAGES: Final = 16


def model_request_attributes(request: ModelRequest) -> RequestAttributes:
    """Return the attributes of a request that a crash may be due to."""
    body = _encode(request.body)
    content = fingerprint_content(
        request.workspace, request.task.encode(), body
    )
    session = () if request.session is None else (request.session.name,)
    return tuple(
        chain(
            (content_attribute(content),),
            shared_attributes('message', _messages(request)),
            shared_attributes('body', (digest_body(request.task, body),)),
            shared_attributes(
                'session', (f'{request.workspace} {name}' for name in session)
            ),
            broad_attributes(
                task=request.task,
                workspace=f'{request.task} {request.workspace}',
                # Within a factor of two.
                size=f'{request.task} 2^{request.prompt_tokens.bit_length()}',
            ),
        )
    )


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
