"""What the commands of the command line do."""

import asyncio
import hashlib
from argparse import Namespace
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

from nutmegroad.cli._cli_client import ExitCode, Failure, OperatorClient
from nutmegroad.cli._cli_output import cell, fields
from nutmegroad.cli.log_stories import read_logs, story
from nutmegroad.configuration.checks import read_document
from nutmegroad.contracts.documents import Document

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


async def explain(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Tell what happened to a request, by its host or by logs."""
    if not given.logs:
        return await reading('requests/{request}', 'request')(client, given)
    try:
        lines = read_logs(Path(name) for name in given.logs)
    except (OSError, UnicodeDecodeError) as problem:
        return Failure(ExitCode.USAGE, f'A log can not be read: {problem}.')
    told = story(lines, given.request)
    if told:
        return {'story': told}
    return Failure(
        ExitCode.REFUSED,
        f'No line of {", ".join(given.logs)} is about {given.request!r}.',
    )


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
    known = _plain_fields(given)
    keys = await _key_fields(client, given)
    if isinstance(keys, Failure):
        return keys
    known.update(keys)
    if not known:
        return Failure(
            ExitCode.USAGE,
            'Give at least one field to change: --share, --concern, '
            '--isolation, --versions, --key-file or --drop-old-key.',
        )
    body = {'fields': known, 'expected': given.expected}
    path = f'workspaces/{quote(given.workspace, safe="")}'
    head = await client.post(path, body)
    return await _await_force(client, given, head)


async def drain(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Have a host stop gracefully."""
    return await client.post(f'hosts/{quote(given.host, safe="")}/drain', {})


async def rollout(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Start, pause, resume or abort a roll-out, or lift quarantines."""
    body = {'version': given.version, 'action': given.action}
    return await client.post('rollouts', body)


async def prepare(client: OperatorClient, given: Namespace) -> Any | Failure:
    """Have a preset's versions loaded before it is in force."""
    return await client.post('prepared', {'preset': given.preset})


def reading(path: str, *names: str) -> Run:
    """Return a run that reads a path; names fill its places."""

    async def run(client: OperatorClient, given: Namespace) -> Any | Failure:
        """Read."""
        parts = {name: quote(getattr(given, name), safe='') for name in names}
        return await client.get(path.format(**parts))

    return run


def _plain_fields(given: Namespace) -> dict[str, Any]:
    """Return the fields of a workspace that flags give as they are."""
    changed: dict[str, Any] = {
        'share': given.share,
        'concern': given.concern,
        'isolation': given.isolation,
        'versions': given.versions.split(',') if given.versions else None,
    }
    return {name: part for name, part in changed.items() if part is not None}


async def _key_fields(
    client: OperatorClient,
    given: Namespace,
) -> dict[str, str | None] | Failure:
    """Return what flags change of a workspace's keys."""
    changed: dict[str, str | None] = {}
    if given.key_file:
        text = read_file(given.key_file)
        if isinstance(text, Failure):
            return text
        changed['key_hash'] = hashlib.sha256(text.strip().encode()).hexdigest()
        present = await client.get(
            f'workspaces/{quote(given.workspace, safe="")}',
        )
        if isinstance(present, Failure):
            return present
        # Callers change over one by one: the key before holds meanwhile.
        changed['old_key_hash'] = present['key_hash']
    if given.drop_old_key:
        changed['old_key_hash'] = None
    return changed


async def _await_force(
    client: OperatorClient,
    given: Namespace,
    reply: Any | Failure,
) -> Any | Failure:
    """Wait, if asked to, until every host has a change in force."""
    if isinstance(reply, Failure) or given.wait is None:
        return reply
    change = _change_of(reply)
    shown = ''
    waited: float = 0
    progress: Any = {'domains': [], 'revision': reply.get('revision')}
    while waited <= given.wait:
        found = await client.get('configuration/progress', **change)
        if isinstance(found, Failure):
            return found
        progress = found
        if progress['everywhere']:
            return progress
        if show_domains(progress) != shown:
            shown = show_domains(progress)
            client.say(shown)
        await asyncio.sleep(LOOK_PERIOD)
        waited += LOOK_PERIOD
    return Failure(
        ExitCode.NOT_IN_TIME,
        f'The change is accepted, and not acknowledged everywhere after '
        f'{given.wait} seconds:\n{show_progress(progress)}',
    )


def _change_of(reply: Any) -> dict[str, Any]:
    """Return what the progress of a change is asked by."""
    if 'version' in reply:
        # A withdrawal is in force by itself, also before the table has it.
        return {'version': reply['version'], 'epoch': reply['epoch']}
    return {'revision': reply['revision']}


def show_domains(reply: Any) -> str:
    """Return how far a change has come, a line for each domain."""
    return '\n'.join(
        f'  {domain["domain"]}: {domain["acknowledged"]} of '
        f'{domain["hosts"]} hosts, missing: {cell(domain["missing"])}'
        for domain in reply['domains']
    )


def show_progress(reply: Any) -> str:
    """Return how far a change has come, by domain; or the change itself."""
    if 'domains' not in reply:
        return fields(reply)
    lines = ['in force by failure domain:', show_domains(reply)]
    if reply.get('revision'):
        lines.insert(0, f'revision {reply["revision"]}')
    bound = reply.get('in_force_in')
    if bound is not None:
        lines.append(f'  in force on all but isolated hosts in {bound:.1f} s')
    return '\n'.join(lines)
