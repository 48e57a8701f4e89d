"""Commands run against hosts, in this process and in others."""

import asyncio
import io
import json
import re
import unittest
from contextlib import AsyncExitStack, redirect_stderr, redirect_stdout
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from aiohttp import ClientSession
from experiments.deployment import (
    Rig,
    operator_token,
    start,
    workspace_key,
)
from experiments.processes import Processes

from nutmegroad.cli._cli_client import ExitCode
from nutmegroad.cli._cli_table import COMMANDS
from nutmegroad.cli.program import main
from nutmegroad.foundations.types import Address
from nutmegroad.kernel.stops import GracefulStop
from tests.host_fixture import HostFixture, two_version_settings

DOCS = Path(__file__).resolve().parent.parent / 'docs'
OPERATOR = operator_token('farah')


@dataclass(frozen=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str

    @property
    def reply(self) -> Any:
        return json.loads(self.out)


def run_command(
    words: str, operators: str = '', token: str = OPERATOR
) -> CommandResult:
    """Run a command; ``redirect_*`` affects the whole process."""
    out, err = io.StringIO(), io.StringIO()
    environ = {'NUTMEGROAD_OPERATORS': operators, 'NUTMEGROAD_TOKEN': token}
    with redirect_stdout(out), redirect_stderr(err):
        try:
            code = main(words.split(), environ)
        except SystemExit as exited:
            code = int(exited.code or 0)
    return CommandResult(code, out.getvalue(), err.getvalue())


class CliTest(unittest.TestCase):
    """Commands that need no host."""

    def test_documentation_lists_every_command_and_exit_code(self) -> None:
        page = (DOCS / 'COMMANDS.md').read_text()
        for command in COMMANDS:
            self.assertIn(f'`{" ".join(command.words)}', page)
        listed = re.findall(r'^\| (\d) \| `(\w+)` \|', page, re.MULTILINE)
        self.assertEqual(
            listed,
            [(str(code.value), code.name) for code in ExitCode],
        )

    def test_help_names_variables_and_exit_codes(self) -> None:
        shown = run_command('--help')
        self.assertEqual(shown.code, ExitCode.OK)
        for word in ('NUTMEGROAD_TOKEN', 'preset', '7 not_in_time'):
            self.assertIn(word, shown.out)

    def test_bad_usage_names_the_value_and_the_choices(self) -> None:
        cases = (
            ('status', '--operators', '10.0.0.7:8081'),
            ('--operators=home:1 status', "'home:1'", 'IPv4'),
            ('version rollout m@1 begin', "'begin'", 'abort'),
            ('preset switch peak --wait=soon', "'soon'", '2.5'),
            ('config check /no/such/file', '/no/such/file', 'read'),
        )
        for words, bad, choices in cases:
            with self.subTest(words=words):
                result = run_command(words)
                self.assertEqual(result.code, ExitCode.USAGE)
                self.assertIn(bad, result.err)
                self.assertIn(choices, result.err)

    def test_an_unreachable_host_is_named(self) -> None:
        result = run_command('status', '127.0.0.1:1')
        self.assertEqual(result.code, ExitCode.UNREACHABLE)
        self.assertIn('127.0.0.1:1', result.err)

    def test_a_document_is_checked_without_a_host(self) -> None:
        folder = self.enterContext(TemporaryDirectory())
        bad = Path(folder) / 'bad.toml'
        bad.write_text('format = 1\nname = "x"\n')
        result = run_command(f'config check {bad}')
        self.assertEqual(result.code, ExitCode.INVALID)
        self.assertIn('versions', result.err)
        self.assertEqual(
            run_command('config check examples/lesen/config.toml').code,
            ExitCode.OK,
        )


class HostsTest(unittest.IsolatedAsyncioTestCase):
    """Commands against one host in this process."""

    async def asyncSetUp(self) -> None:
        self.host = HostFixture(two_version_settings())
        stack = await self.enterAsyncContext(AsyncExitStack())
        await self.host.open(stack)
        self.operators = str(self.host.kernel.listening['operators'])

    async def run_cli(
        self,
        words: str,
        token: str = OPERATOR,
    ) -> CommandResult:
        """Run a command in a thread, while the event loop serves the host."""
        return await asyncio.to_thread(
            run_command, words, self.operators, token
        )

    async def test_read_commands_support_text_and_json(self) -> None:
        for command in COMMANDS:
            if command.arguments or command.offline:
                continue
            words = ' '.join(command.words)
            with self.subTest(words=words):
                shown = await self.run_cli(words)
                self.assertEqual(shown.code, ExitCode.OK, shown.err)
                result = await self.run_cli(f'--format=json {words}')
                self.assertIsNotNone(result.reply)

    async def test_wait_flag_waits_until_changes_are_in_force(self) -> None:
        switched = await self.run_cli('preset switch peak --wait=20')
        self.assertEqual(switched.code, ExitCode.OK, switched.err)
        self.assertIn('shah-alam: 1 of 1 hosts', switched.out)
        again = await self.run_cli('preset switch peak --expected=1')
        self.assertEqual(again.code, ExitCode.CONFLICT, again.err)
        gone = await self.run_cli('version withdraw brief-small@2 --wait=20')
        self.assertEqual(gone.code, ExitCode.OK, gone.err)

    async def test_unknown_preset_host_or_token_is_named(self) -> None:
        unknown = await self.run_cli('preset switch holiday')
        self.assertEqual(unknown.code, ExitCode.REFUSED)
        self.assertIn("'holiday'", unknown.err)
        self.assertIn('ordinary', unknown.err)
        host = await self.run_cli('host drain h9')
        self.assertIn("'h9'; the choices are h1", host.err)
        refused = await self.run_cli('status', 'a-wrong-token')
        self.assertEqual(refused.code, ExitCode.NOT_PERMITTED)
        self.assertIn('NUTMEGROAD_TOKEN, which is set', refused.err)

    async def test_a_workspace_key_is_rotated(self) -> None:
        folder = self.enterContext(TemporaryDirectory())
        new = Path(folder) / 'key'
        new.write_text('a-new-key')
        change = 'workspace set head-office'
        result = await self.run_cli(f'{change} --key-file={new}')
        self.assertEqual(result.code, ExitCode.OK, result.err)
        old = self.host.headers()['Authorization']
        self.assertEqual(await self.models(old), 200)
        self.assertEqual(await self.models('Bearer a-new-key'), 200)
        await self.run_cli(f'{change} --drop-old-key')
        self.assertEqual(await self.models(old), 401)
        self.assertEqual(await self.models('Bearer a-new-key'), 200)

    async def models(self, authorization: str) -> int:
        """Return the HTTP status of a request with a key."""
        headers = {'Authorization': authorization}
        url = self.host.url('models')
        async with self.host.session.get(url, headers=headers) as response:
            return response.status

    async def test_a_drain_stops_the_host(self) -> None:
        stop = self.host.kernel.need(GracefulStop)
        asked: list[bool] = []
        stop.on_stop_request(lambda: asked.append(True))
        result = await self.run_cli('--format=json host drain h1')
        self.assertEqual(result.reply, {'host': 'h1', 'open_requests': 0})
        self.assertEqual(asked, [True])

    async def test_a_request_is_explained(self) -> None:
        url, headers = self.host.url(), self.host.headers()
        body = self.host.body()
        async with self.host.session.post(
            url,
            json=body,
            headers=headers,
        ) as response:
            request = response.headers['Nutmegroad-Request']
        result = await self.run_cli(f'explain {request}')
        self.assertIn('brief-small@2', result.out)
        unknown = await self.run_cli(f'explain {request[:-1]}x')
        self.assertIn("The host 'h1' knows no request", unknown.err)


async def send_request(callers: Address) -> str:
    """Send a request to a callers' listener, and return its id."""
    headers = {'Authorization': f'Bearer {workspace_key("training")}'}
    messages = [{'role': 'user', 'content': 'swap?'}]
    body = {'model': 'galley-small@5', 'messages': messages}
    url = f'http://{callers}/v1/chat/completions'
    async with (
        ClientSession(headers=headers) as session,
        session.post(url, json=body) as response,
    ):
        return response.headers['Nutmegroad-Request']


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Commands against hosts in three failure domains, run as processes."""

    async def test_any_host_explains_and_drains_any_other(self) -> None:
        processes = await self.enterAsyncContext(Processes())
        rig = Rig('cascade', engines=(('galley-small@5',),), hosts=1)
        running = await start(processes, rig)
        first, other = (
            running.operator_addresses[0],
            running.operator_addresses[1],
        )
        token = operator_token(running.document.operators[0].name)

        def run_on_first(words: str) -> CommandResult:
            return run_command(words, str(first), token)

        listed: list[Any] = []
        while len(listed) < len(running.hosts):
            result = await asyncio.to_thread(
                run_on_first, '--format=json host list'
            )
            listed = result.reply
        name = running.hosts[1].name
        request = await send_request(running.caller_addresses[1])
        result = await asyncio.to_thread(run_on_first, f'explain {request}')
        self.assertIn('galley-small@5', result.out, result.err)
        drained = await asyncio.to_thread(run_on_first, f'host drain {name}')
        self.assertEqual(drained.code, ExitCode.OK, drained.err)
        async with asyncio.timeout(30):
            self.assertEqual(await running.hosts[1].process.wait(), 0)
        result = await asyncio.to_thread(
            run_command, 'status', str(other), token
        )
        self.assertEqual(result.code, ExitCode.UNREACHABLE)
