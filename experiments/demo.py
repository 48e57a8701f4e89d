"""The main job on embedded stand-ins: ``make demo``.

Starts a platform, three failure domains with their upstreams and two entry
hosts each, sends requests of every task class through all hosts, switches
the preset and withdraws a version while they run, and checks each answer.
Exits 0 only if every check held.
"""

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
from aiohttp import ClientSession, ClientTimeout

from experiments.deployment import (
    Deployment,
    Rig,
    operate,
    operator_token,
    start,
    workspace_key,
)
from experiments.processes import Processes
from nutmegroad.contracts.documents import Role
from nutmegroad.foundations.types import Address, PresetName

#: Requests of each task class.
REQUESTS: Final = 12
#: Tokens that each answer has, so that the demo is short.
TOKENS: Final = 24
#: The version that is withdrawn; another one can take its work.
WITHDRAWN: Final = 'brief-medium@4'
#: The preset that is switched to.
PRESET: Final = PresetName('maintenance')
#: Seconds for the whole demo.
LIMIT: Final = 55
#: Seconds within which a withdrawal must be in force on every host.
IN_FORCE: Final = 19

_OK: Final = 200
_TIMEOUT: Final = ClientTimeout(total=20)


@dataclass(slots=True)
class Report:
    """What came of the demo.

    Attributes:
        problems: Checks that did not hold.
        answers: How many answers each version gave, by task class.
        cost: Sum of all costs.
    """

    problems: list[str] = field(default_factory=list)
    answers: Counter[tuple[str, str]] = field(default_factory=Counter)
    cost: float = 0

    def check(self, held: bool, problem: str) -> None:
        """Note a check that did not hold."""
        if not held:
            self.problems.append(problem)


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply to one request.

    Attributes:
        status: HTTP status.
        body: The parsed body.
    """

    status: int
    body: Any


async def post(
    session: ClientSession,
    address: Address,
    path: str,
    workspace: str,
    body: Any,
    key: str = '',
) -> Reply:
    """Send one request as a workspace."""
    headers = {'Authorization': f'Bearer {workspace_key(workspace)}'}
    if key:
        headers['Idempotency-Key'] = key
    url = f'http://{address}/v1/{path}'
    async with session.post(url, json=body, headers=headers) as response:
        content = await response.read()
        if not content:
            return Reply(response.status, None)
        return Reply(response.status, msgspec.json.decode(content))


class Demo:
    """Sends the demo's requests.

    Args:
        session: HTTP client.
        running: The deployment.
        report: Where results go.
    """

    def __init__(
        self,
        session: ClientSession,
        running: Deployment,
        report: Report,
    ) -> None:
        self._session = session
        self._running = running
        self._report = report

    async def ask_all(self, title: str, withdrawn: str = '') -> None:
        """Send requests of every task class through all hosts."""
        sys.stdout.write(f'\n{title}\n')
        asks = [
            self._ask(task.name, number, withdrawn)
            for task in self._running.document.tasks
            for number in range(REQUESTS)
        ]
        await asyncio.gather(*asks)

    async def call_service(self) -> None:
        """Send one call that may not be repeated, twice with one key."""
        document = self._running.document
        service = document.services[0]
        workspace = next(
            entry
            for entry in document.workspaces
            if service.name in entry.services
        )
        rule = next(rule for rule in service.calls if not rule.repeatable)
        path = f'services/{service.name}/{rule.path.replace("*", "demo")}'
        replies = [
            await post(
                self._session,
                address,
                path,
                workspace.name,
                {'amount': 1},
                key='demo-receipt',
            )
            for address in self._running.callers[:2]
        ]
        first, second = replies
        line = f'{path}: {first.status} {first.body}, again {second.body}'
        sys.stdout.write(f'  {line}\n')
        self._report.check(first.status == _OK, f'not answered: {line}')
        self._report.check(first.body == second.body, f'ran twice: {line}')

    async def _ask(self, task: str, number: int, withdrawn: str) -> None:
        """Send one model request and look at its answer."""
        workspaces = self._running.document.workspaces
        workspace = workspaces[number % len(workspaces)]
        address = self._running.callers[number % len(self._running.callers)]
        words = f'{task} number {number} of {workspace.name}'
        body = {
            'model': task,
            'messages': [{'role': 'user', 'content': words}],
            'nutmegroad_tokens': TOKENS,
        }
        reply = await post(
            self._session,
            address,
            'chat/completions',
            workspace.name,
            body,
        )
        self._judge(task, workspace.versions, reply, withdrawn)

    def _judge(
        self,
        task: str,
        allowed: tuple[str, ...],
        reply: Reply,
        withdrawn: str,
    ) -> None:
        """Check one answer and print it."""
        report = self._report
        if reply.status != _OK:
            report.check(False, f'{task}: {reply.status} {reply.body}')
            return
        version = reply.body['model']
        usage = reply.body['usage']
        words = reply.body['choices'][0]['message']['content'].split()
        sys.stdout.write(
            f'  {task:18} {version:18} {len(words):3} tokens  '
            f'cost {usage["cost"]:.5f}  {reply.body["id"]}\n',
        )
        report.answers[task, version] += 1
        report.cost += usage['cost']
        report.check(version in allowed, f'{task}: {version} not allowed')
        report.check(version != withdrawn, f'{task}: {version} is withdrawn')
        report.check(
            len(words) == usage['completion_tokens'],
            f'{task}: {len(words)} tokens of {usage["completion_tokens"]}',
        )


async def run(name: str) -> Report:
    """Run the demo on one of the examples."""
    report = Report()
    rig = RIGS[name]
    async with Processes() as processes:
        running = await start(processes, rig)
        async with ClientSession(timeout=_TIMEOUT) as session:
            await _play(Demo(session, running, report), running, report)
    for process, code in processes.exit_codes.items():
        report.check(code == 0, f'{process} ended with {code}')
    return report


async def _play(demo: Demo, running: Deployment, report: Report) -> None:
    """Send requests; switch and withdraw while more of them run."""
    document = running.document
    token = operator_token(
        next(
            entry.name
            for entry in document.operators
            if entry.role is Role.OPERATE
        ),
    )
    await demo.ask_all('Under the first preset:')
    await demo.call_service()
    preset = PRESET
    switch = asyncio.create_task(_switch(running, token, preset, report))
    await demo.ask_all(f'While the preset changes to {preset!r}:')
    await switch
    version = WITHDRAWN
    await operate(
        running.operators[0],
        'withdrawals',
        {'version': version},
        token,
    )
    await _wait_until_withdrawn(running, token, version)
    await demo.ask_all(f'With {version} withdrawn:', version)


async def _switch(
    running: Deployment,
    token: str,
    preset: PresetName,
    report: Report,
) -> None:
    """Switch the preset through the last host."""
    head = await operate(
        running.operators[-1],
        'preset',
        {'preset': preset},
        token,
    )
    report.check(head.get('preset') == preset, f'not switched: {head}')


async def _wait_until_withdrawn(
    running: Deployment,
    token: str,
    version: str,
) -> None:
    """Wait until every host says that a version is withdrawn."""
    async with asyncio.timeout(IN_FORCE):
        for address in running.operators:
            while True:
                status = await operate(address, 'status', token=token)
                if version in status['withdrawals']:
                    break
                await asyncio.sleep(0.1)


_SPEED: Final = ('--step-base=0.002', '--report-lag=0.2')

RIGS: Final = {
    'lesen': Rig(
        'lesen',
        (
            ('brief-small@2', 'brief-medium@4'),
            ('brief-medium@4', 'brief-large@6'),
            ('brief-large@6', 'brief-large@7', 'brief-small@2'),
        ),
        engine_args=_SPEED,
    ),
}


def main() -> int:
    """Run the demo and say whether every check held."""

    async def bounded() -> Report:
        """Run within the limit."""
        async with asyncio.timeout(LIMIT):
            return await run('lesen')

    report = asyncio.run(bounded())
    answered = sum(report.answers.values())
    sys.stdout.write(f'\n{answered} answers, cost {report.cost:.4f}.\n')
    for problem in report.problems:
        sys.stdout.write(f'CHECK FAILED: {problem}\n')
    if report.problems:
        return 1
    sys.stdout.write('Every check held.\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
