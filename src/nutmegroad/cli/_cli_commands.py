"""Implementations of the commands of the command line."""

import asyncio
import hashlib
from argparse import Namespace
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

from nutmegroad.cli._cli_client import ExitCode, Failure, OperatorClient
from nutmegroad.cli._cli_output import format_fields, format_value
from nutmegroad.cli.request_timelines import read_logs, request_timeline
from nutmegroad.configuration.checks import read_document
from nutmegroad.contracts.documents import Document

#: Seconds between polls of the progress of a change.
POLL_INTERVAL: Final = 0.25

#: Runs a command and returns the reply to print, or a failure.
CommandFunction = Callable[
    [OperatorClient, Namespace], Awaitable[Any | Failure]
]


def read_file(name: str) -> str | Failure:
    """Return the text of a file."""
    try:
        return Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as problem:
        return Failure(
            ExitCode.USAGE,
            f'The file {name!r} cannot be read: {problem}.',
        )


async def check(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Validate a document locally, without a host."""
    text = read_file(args.file)
    if isinstance(text, Failure):
        return text
    document = read_document(text)
    if isinstance(document, Document):
        return {'file': args.file, 'valid': True}
    lines = [f'The document {args.file!r} is invalid:']
    lines.extend(f'  {problem}' for problem in document)
    return Failure(ExitCode.INVALID, '\n'.join(lines))


async def explain(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Explain a request, from the records of its host or from logs."""
    if not args.logs:
        read = get_resource('requests/{request}', 'request')
        return await read(client, args)
    try:
        lines = read_logs(Path(name) for name in args.logs)
    except (OSError, UnicodeDecodeError) as problem:
        return Failure(ExitCode.USAGE, f'A log cannot be read: {problem}.')
    entries = request_timeline(lines, args.request)
    if entries:
        return {'story': entries}
    return Failure(
        ExitCode.REFUSED,
        f'No line of {", ".join(args.logs)} has the request {args.request!r}.',
    )


async def diff(client: OperatorClient, args: Namespace) -> Any | Failure:
    """List what a document would change."""
    text = read_file(args.file)
    if isinstance(text, Failure):
        return text
    return await client.post('configuration/diff', {'text': text})


async def apply(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Put a document into force."""
    text = read_file(args.file)
    if isinstance(text, Failure):
        return text
    body = {'text': text, 'preset': args.preset, 'expected': args.expected}
    head = await client.post('configuration', body)
    return await _wait_until_in_force(client, args, head)


async def switch(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Put another preset into force."""
    body = {'preset': args.preset, 'expected': args.expected}
    head = await client.post('preset', body)
    return await _wait_until_in_force(client, args, head)


async def withdraw(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Withdraw a version."""
    reply = await client.post('withdrawals', {'version': args.version})
    return await _wait_until_in_force(client, args, reply)


async def set_workspace(
    client: OperatorClient,
    args: Namespace,
) -> Any | Failure:
    """Change fields of a workspace."""
    changed = _plain_fields(args)
    keys = await _key_fields(client, args)
    if isinstance(keys, Failure):
        return keys
    changed.update(keys)
    if not changed:
        return Failure(
            ExitCode.USAGE,
            'Name at least one field to change: --share, --concern, '
            '--isolation, --versions, --key-file or --drop-old-key.',
        )
    body = {'fields': changed, 'expected': args.expected}
    path = f'workspaces/{quote(args.workspace, safe="")}'
    head = await client.post(path, body)
    return await _wait_until_in_force(client, args, head)


async def drain(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Have a host stop gracefully."""
    return await client.post(f'hosts/{quote(args.host, safe="")}/drain', {})


async def rollout(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Start, pause, resume or abort a rollout, or lift quarantines."""
    body = {'version': args.version, 'action': args.action}
    return await client.post('rollouts', body)


async def prepare(client: OperatorClient, args: Namespace) -> Any | Failure:
    """Have the versions of a preset loaded before it is in force."""
    return await client.post('prepared', {'preset': args.preset})


def get_resource(path: str, *names: str) -> CommandFunction:
    """Return a command that reads a path of the operators' interface.

    Args:
        path: Path below ``/operators/``, with the names in braces.
        names: Arguments of the command that are filled into the path.
    """

    async def run(client: OperatorClient, args: Namespace) -> Any | Failure:
        """Read the path with the arguments filled in."""
        parts = {name: quote(getattr(args, name), safe='') for name in names}
        return await client.get(path.format(**parts))

    return run


def _plain_fields(args: Namespace) -> dict[str, Any]:
    """Return the fields of a workspace that flags set directly."""
    changed: dict[str, Any] = {
        'share': args.share,
        'concern': args.concern,
        'isolation': args.isolation,
        'versions': args.versions.split(',') if args.versions else None,
    }
    return {name: part for name, part in changed.items() if part is not None}


async def _key_fields(
    client: OperatorClient,
    args: Namespace,
) -> dict[str, str | None] | Failure:
    """Return the key fields of a workspace that flags change."""
    changed: dict[str, str | None] = {}
    if args.key_file:
        text = read_file(args.key_file)
        if isinstance(text, Failure):
            return text
        changed['key_hash'] = hashlib.sha256(text.strip().encode()).hexdigest()
        current = await client.get(
            f'workspaces/{quote(args.workspace, safe="")}',
        )
        if isinstance(current, Failure):
            return current
        # Callers switch to the new key one by one: the previous key stays
        # valid meanwhile.
        changed['old_key_hash'] = current['key_hash']
    if args.drop_old_key:
        changed['old_key_hash'] = None
    return changed


async def _wait_until_in_force(
    client: OperatorClient,
    args: Namespace,
    reply: Any | Failure,
) -> Any | Failure:
    """With ``--wait``, wait until every host has a change in force."""
    if isinstance(reply, Failure) or args.wait is None:
        return reply
    query = _progress_query(reply)
    reported = ''
    waited: float = 0
    progress: Any = {'domains': [], 'revision': reply.get('revision')}
    while waited <= args.wait:
        polled = await client.get('configuration/progress', **query)
        if isinstance(polled, Failure):
            return polled
        progress = polled
        if progress['everywhere']:
            return progress
        if format_domains(progress) != reported:
            reported = format_domains(progress)
            client.report_progress(reported)
        await asyncio.sleep(POLL_INTERVAL)
        waited += POLL_INTERVAL
    return Failure(
        ExitCode.NOT_IN_TIME,
        f'The change was accepted, but not acknowledged by every host within '
        f'{args.wait} seconds:\n{format_progress(progress)}',
    )


def _progress_query(reply: Any) -> dict[str, Any]:
    """Return the query for the progress of a change."""
    if 'version' in reply:
        # A withdrawal takes effect even before it is in the table, so its
        # progress is not tied to a revision.
        return {'version': reply['version'], 'epoch': reply['epoch']}
    return {'revision': reply['revision']}


def format_domains(reply: Any) -> str:
    """Format the progress of a change, one line per failure domain."""
    return '\n'.join(
        f'  {domain["domain"]}: {domain["acknowledged"]} of '
        f'{domain["hosts"]} hosts, missing: {format_value(domain["missing"])}'
        for domain in reply['domains']
    )


def format_progress(reply: Any) -> str:
    """Format the progress of a change by failure domain, or its reply."""
    if 'domains' not in reply:
        return format_fields(reply)
    lines = ['in force by failure domain:', format_domains(reply)]
    if reply.get('revision'):
        lines.insert(0, f'revision {reply["revision"]}')
    bound = reply.get('in_force_in')
    if bound is not None:
        lines.append(f'  in force on all but isolated hosts in {bound:.1f} s')
    return '\n'.join(lines)
