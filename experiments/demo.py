"""Demonstrates request routing on a local deployment: ``make demo``.

Starts a platform stand-in and three failure domains, each with upstream
stand-ins and two hosts. Sends requests of every task class through all hosts,
switches the preset while requests run, withdraws a version, and checks each
answer. Exits with 0 only if every check held.
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
    call_operator_api,
    operator_token,
    start,
    workspace_key,
)
from experiments.processes import Processes
from nutmegroad.contracts.documents import Role
from nutmegroad.foundations.types import Address, PresetName

#: Requests per task class, each time that requests are sent.
REQUESTS: Final = 12
#: Length of each answer in tokens; small, so that the demo takes little time.
TOKENS: Final = 24
#: The version that is withdrawn; another version can replace it.
WITHDRAWN: Final = 'brief-medium@4'
#: The preset that the demo switches to.
PRESET: Final = PresetName('maintenance')
#: Time limit of the whole demo, in seconds.
TIME_LIMIT: Final = 55
#: Seconds within which a withdrawal must be in force on every host.
WITHDRAWAL_TIMEOUT: Final = 19

_OK: Final = 200
_TIMEOUT: Final = ClientTimeout(total=20)


@dataclass(slots=True)
class Report:
    """Results of the demo.

    Attributes:
        problems: Checks that failed.
        answers: Number of answers by task class and version.
        cost: Total cost of all answers.
    """

    problems: list[str] = field(default_factory=list)
    answers: Counter[tuple[str, str]] = field(default_factory=Counter)
    cost: float = 0

    def check(self, holds: bool, problem: str) -> None:
        """Record a problem if a check failed."""
        if not holds:
            self.problems.append(problem)


@dataclass(frozen=True, slots=True)
class Reply:
    """A host's reply to one request.

    Attributes:
        status: HTTP status.
        body: The decoded JSON body; None if it was empty.
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
    """Send one request on behalf of a workspace, and return the reply.

    Args:
        session: HTTP client.
        address: Where a host listens to callers.
        path: Path below ``/v1/``.
        workspace: Name of the workspace, whose key authorizes the request.
        body: Body, sent as JSON.
        key: Idempotency key; empty for none.
    """
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
    """Sends the demo's requests and checks the answers.

    Args:
        session: HTTP client.
        deployment: The deployment.
        report: Receives the results.
    """

    def __init__(
        self,
        session: ClientSession,
        deployment: Deployment,
        report: Report,
    ) -> None:
        self._session = session
        self._deployment = deployment
        self._report = report

    async def request_all(self, title: str, withdrawn: str = '') -> None:
        """Send requests of every task class through all hosts.

        Args:
            title: Printed first.
            withdrawn: A version that must not answer; empty for none.
        """
        sys.stdout.write(f'\n{title}\n')
        requests = [
            self._request(task.name, number, withdrawn)
            for task in self._deployment.document.tasks
            for number in range(REQUESTS)
        ]
        await asyncio.gather(*requests)

    async def call_service(self) -> None:
        """Send one call through two hosts, with the same idempotency key.

        The service must run it only once, so both replies must be the same.
        """
        document = self._deployment.document
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
            for address in self._deployment.caller_addresses[:2]
        ]
        first, second = replies
        line = f'{path}: {first.status} {first.body}, repeated {second.body}'
        sys.stdout.write(f'  {line}\n')
        self._report.check(first.status == _OK, f'not answered: {line}')
        self._report.check(first.body == second.body, f'ran twice: {line}')

    async def _request(self, task: str, number: int, withdrawn: str) -> None:
        """Send one model request and check its answer."""
        workspaces = self._deployment.document.workspaces
        workspace = workspaces[number % len(workspaces)]
        address = self._deployment.caller_addresses[
            number % len(self._deployment.caller_addresses)
        ]
        prompt = f'{task} number {number} of {workspace.name}'
        body = {
            'model': task,
            'messages': [{'role': 'user', 'content': prompt}],
            'nutmegroad_tokens': TOKENS,
        }
        reply = await post(
            self._session,
            address,
            'chat/completions',
            workspace.name,
            body,
        )
        self._check_answer(task, workspace.versions, reply, withdrawn)

    def _check_answer(
        self,
        task: str,
        allowed: tuple[str, ...],
        reply: Reply,
        withdrawn: str,
    ) -> None:
        """Check one answer, print it and add it to the report."""
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
            f'{task}: {len(words)} tokens received, '
            f'{usage["completion_tokens"]} reported',
        )


async def run(name: str) -> Report:
    """Run the demo on one of the example configurations."""
    report = Report()
    rig = RIGS[name]
    async with Processes() as processes:
        deployment = await start(processes, rig)
        async with ClientSession(timeout=_TIMEOUT) as session:
            await _run_scenario(
                Demo(session, deployment, report), deployment, report
            )
    for process, code in processes.exit_codes.items():
        report.check(code == 0, f'{process} exited with {code}')
    return report


async def _run_scenario(
    demo: Demo,
    deployment: Deployment,
    report: Report,
) -> None:
    """Send requests, with a preset switch and a withdrawal between them.

    The switch happens while requests are in flight.
    """
    document = deployment.document
    token = operator_token(
        next(
            entry.name
            for entry in document.operators
            if entry.role is Role.OPERATE
        ),
    )
    await demo.request_all('Under the first preset:')
    await demo.call_service()
    switch = asyncio.create_task(
        _switch_preset(deployment, token, PRESET, report)
    )
    await demo.request_all(f'While the preset changes to {PRESET!r}:')
    await switch
    await call_operator_api(
        deployment.operator_addresses[0],
        'withdrawals',
        {'version': WITHDRAWN},
        token,
    )
    await _wait_until_withdrawn(deployment, token, WITHDRAWN)
    await demo.request_all(f'With {WITHDRAWN} withdrawn:', WITHDRAWN)


async def _switch_preset(
    deployment: Deployment,
    token: str,
    preset: PresetName,
    report: Report,
) -> None:
    """Switch the preset through the last host; check the reply."""
    head = await call_operator_api(
        deployment.operator_addresses[-1],
        'preset',
        {'preset': preset},
        token,
    )
    report.check(head.get('preset') == preset, f'preset not switched: {head}')


async def _wait_until_withdrawn(
    deployment: Deployment,
    token: str,
    version: str,
) -> None:
    """Wait until every host's status lists a version as withdrawn."""
    async with asyncio.timeout(WITHDRAWAL_TIMEOUT):
        for address in deployment.operator_addresses:
            while True:
                status = await call_operator_api(address, 'status', token=token)
                if version in status['withdrawals']:
                    break
                await asyncio.sleep(0.1)


#: Makes the engine stand-ins fast, so that the demo takes little time.
_ENGINE_SPEED: Final = ('--step-base=0.002', '--report-lag=0.2')

#: The deployment for each example configuration.
RIGS: Final = {
    'lesen': Rig(
        'lesen',
        (
            ('brief-small@2', 'brief-medium@4'),
            ('brief-medium@4', 'brief-large@6'),
            ('brief-large@6', 'brief-large@7', 'brief-small@2'),
        ),
        engine_args=_ENGINE_SPEED,
    ),
}


def main() -> int:
    """Run the demo; return the exit code."""

    async def bounded() -> Report:
        """Run the demo within the time limit."""
        async with asyncio.timeout(TIME_LIMIT):
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
