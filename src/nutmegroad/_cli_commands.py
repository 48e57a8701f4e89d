"""What the commands of the command line do."""

import asyncio
import hashlib
from argparse import Namespace
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

from nutmegroad._cli_client import ExitCode, Failure, OperatorClient
from nutmegroad._cli_output import cell, fields
from nutmegroad.checks import read_document
from nutmegroad.documents import Document

#: Seconds between looks while a change comes into force.
LOOK_PERIOD: Final = 0.25

#: Carries a command out; the reply is what is printed.
Run = Callable[[OperatorClient, Namespace], Awaitable[Any | Failure]]


def read_file(name: str) -> str | Failure:
    """Return a file's text."""
    try:
        return Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as problem:
        return Failure(
            ExitCode.USAGE,
            f'The file {name!r} can not be read: {problem}.',
        )


async def check(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Check a document without a host."""
    text = read_file(given.file)
    if isinstance(text, Failure):
        return text
    document = read_document(text)
    if isinstance(document, Document):
        return {'file': given.file, 'valid': True}
    lines = [f'The document {given.file!r} is not valid:']
    lines.extend(f'  {problem}' for problem in document)
    return Failure(ExitCode.INVALID, '\n'.join(lines))


async def diff(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Say what a document would change."""
    text = read_file(given.file)
    if isinstance(text, Failure):
        return text
    return await client.post('configuration/diff', {'text': text})


async def apply(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Put a document into force."""
    text = read_file(given.file)
    if isinstance(text, Failure):
        return text
    body = {'text': text, 'preset': given.preset, 'expected': given.expected}
    head = await client.post('configuration', body)
    return await _await_force(client, given, head)


async def switch(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Put another preset into force."""
    body = {'preset': given.preset, 'expected': given.expected}
    head = await client.post('preset', body)
    return await _await_force(client, given, head)


async def withdraw(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Withdraw a version."""
    reply = await client.post('withdrawals', {'version': given.version})
    return await _await_force(client, given, reply)


async def set_workspace(
    client: OperatorClient,
    given: Namespace,
) -> Any | Failure:
    """Change fields of a workspace."""
    changed: dict[str, Any] = {
        'share': given.share,
        'concern': given.concern,
        'isolation': given.isolation,
        'versions': given.versions.split(',') if given.versions else None,
        'key_hash': _hash_file(given.key_file) if given.key_file else None,
    }
    known = {name: part for name, part in changed.items() if part is not None}
    for part in known.values():
        if isinstance(part, Failure):
            return part
    if not known:
        return Failure(ExitCode.USAGE, 'Give at least one field to change.')
    body = {'fields': known, 'expected': given.expected}
    head = await client.post(f'workspaces/{given.workspace}', body)
    return await _await_force(client, given, head)


async def drain(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Have a host stop taking new work."""
    return await client.post('drain', {'host': given.host})


async def rollout(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Start, pause, resume or abort a roll-out."""
    body = {'version': given.version, 'action': given.action}
    return await client.post('rollouts', body)


def reading(path: str, *names: str) -> Run:
    """Return a run that reads a path; names fill its places."""

    async def run(client: OperatorClient, given: Namespace) -> Any | Failure:
        """Read."""
        parts = {name: getattr(given, name) for name in names}
        return await client.get(path.format(**parts))

    return run


def _hash_file(name: str) -> str | Failure:
    """Return the hash of a key that a file holds."""
    text = read_file(name)
    if isinstance(text, Failure):
        return text
    return hashlib.sha256(text.strip().encode()).hexdigest()


async def _await_force(
    client: OperatorClient,
    given: Namespace,
    reply: Any | Failure,
) -> Any | Failure:
    """Wait, if asked to, until every host has a change in force."""
    if isinstance(reply, Failure) or given.wait is None:
        return reply
    revision = reply.get('revision')
    if revision is None:
        return Failure(
            ExitCode.NOT_IN_TIME,
            f'The change is not in the table yet: {reply.get("reason")}',
        )
    waited: float = 0
    progress: Any = {}
    while waited <= given.wait:
        progress = await client.get(
            'configuration/progress',
            revision=revision,
        )
        if isinstance(progress, Failure) or progress['everywhere']:
            return progress
        await asyncio.sleep(LOOK_PERIOD)
        waited += LOOK_PERIOD
    return Failure(
        ExitCode.NOT_IN_TIME,
        f'Revision {revision} is accepted, and not acknowledged everywhere '
        f'after {given.wait} seconds:\n{show_progress(progress)}',
    )


def show_progress(reply: Any) -> str:
    """Return how far a change has come, by domain; or the change itself."""
    if 'domains' not in reply:
        return fields(reply)
    lines = [f'revision {reply["revision"]}']
    lines.extend(
        f'  {domain["domain"]}: {domain["acknowledged"]} of '
        f'{domain["hosts"]} hosts, missing: {cell(domain["missing"])}'
        for domain in reply['domains']
    )
    bound = reply.get('in_force_in')
    if bound is not None:
        lines.append(f'  in force on all but isolated hosts in {bound:.1f} s')
    return '\n'.join(lines)
