"""The callers of a randomised run: what they send, and again, and where."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any, Final

import msgspec

from experiments.deployment import workspace_key
from experiments.soak.answers import marked
from experiments.soak.calls import CallerRequest, Reply, send
from experiments.soak.hosts import SoakHost
from experiments.soak.judge import HANG_BOUND, Judge
from experiments.soak.records import Call
from nutmegroad.contracts.documents import Document, WorkspaceEntry
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, WorkspaceId
from nutmegroad.routing.services import is_repeatable

#: Seconds between requests, on average.
GAP: Final = 0.35
#: Requests and sessions that are remembered for more.
_REMEMBERED: Final = 30

#: How a request is kept from running twice, and how often in ten: one
#: that may be repeated, and one that may not.
_GUARDS: Final = ('key', 'ticket', 'none')
_OFTEN: Final = (1, 0, 9)
_RISKY: Final = (4, 4, 2)

_PATHS: Final = {
    'licence-portal': (('GET', 'status/'), ('POST', 'receipts')),
    'pack-desk': (('GET', 'swaps/'), ('POST', 'manifests')),
}


@dataclass(slots=True)
class Sent:
    """A request as it was sent, so that it can be sent again.

    Attributes:
        call: What the judge knows of it.
        request: The request.
    """

    call: Call
    request: CallerRequest


@dataclass(slots=True)
class Session:
    """A caller's session.

    Attributes:
        name: How the judge calls it.
        workspace: Whose it is.
        task: What it asks for.
        header: What its requests bring; empty before the first answer of
            a session that goes by token.
    """

    name: str
    workspace: WorkspaceId
    task: str
    header: str = ''


@dataclass(slots=True)
class Traffic:
    """Callers of one deployment.

    Attributes:
        document: Names workspaces, tasks and services.
        judge: Judges what they get.
        clock: The time of all.
        randomness: Draws what they do.
        hosts: The present run of each host.
        open: Requests that have not ended.
    """

    document: Document
    judge: Judge
    clock: Clock
    randomness: random.Random
    hosts: dict[HostId, SoakHost]
    open: set[asyncio.Task[None]] = field(default_factory=set)
    _count: int = 0
    _again: deque[Sent] = field(
        default_factory=lambda: deque(maxlen=_REMEMBERED),
    )
    _sessions: deque[Session] = field(
        default_factory=lambda: deque(maxlen=_REMEMBERED),
    )

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self.clock.sleep(self.randomness.expovariate(1 / GAP))
            self._start(self._act())

    def _start(self, work: Any) -> None:
        """Run a request in a task of its own."""
        task = asyncio.ensure_future(work)
        self.open.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Forget a request; a failure in it is the run's."""
        self.open.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.judge.fault(f'a caller failed: {task.exception()!r}')

    def _one_in(self, share: float) -> bool:
        return self.randomness.random() < share

    def _host(self) -> SoakHost:
        """Return some host, as a balancer that lags might."""
        names = sorted(self.hosts)
        fit = [
            name
            for name in names
            if self.hosts[name].is_open and not self.hosts[name].stopping
        ]
        usual = fit and not self._one_in(0.1)
        return self.hosts[self.randomness.choice(fit if usual else names)]

    async def _act(self) -> None:
        """Send one request, or two at once."""
        if self._again and self._one_in(0.15):
            sent = self.randomness.choice(self._again)
            sent.call.began = self.clock.now()
            await self._deliver(sent)
        elif self._one_in(0.3):
            await self._call_service()
        else:
            await self._ask_model()

    async def _call_service(self) -> None:
        """Call the plain service."""
        workspace = self._workspace()
        service = self.document.services[0]
        method, path = self.randomness.choice(_PATHS[service.name])
        call = self._call(workspace, service=service.name)
        if method == 'GET':
            path = f'{path}mark:{call.mark}'
        call.repeatable = is_repeatable(service, method, path)
        body = marked(call.mark).encode() if method == 'POST' else b''
        request = CallerRequest(
            method,
            f'/v1/services/{service.name}/{path}',
            self._headers(call, call.workspace),
            body,
        )
        await self._guarded(Sent(call, request))

    async def _ask_model(self) -> None:
        """Ask a model, in a session or in none."""
        session = self._session()
        workspace = self._workspace()
        if session is not None:
            workspace = self._entry(session.workspace)
        task = self.randomness.choice(self.document.tasks)
        call = self._call(workspace, task=task.name)
        call.repeatable = task.repeatable
        headers = self._headers(call, call.workspace)
        if session is not None and session.header:
            call.session = session.name
            headers['Nutmegroad-Session'] = session.header
        body = {
            'model': task.name,
            'messages': [{'role': 'user', 'content': marked(call.mark)}],
            'max_tokens': call.words,
            'stream': self._one_in(0.5),
        }
        request = CallerRequest(
            'POST',
            '/v1/chat/completions',
            headers,
            msgspec.json.encode(body),
        )
        if call.session and self._one_in(0.2):
            # Its requests come to two hosts at once.
            twin = replace(call, mark=f'{call.mark}t')
            self.judge.calls[twin.mark] = twin
            self._start(self._deliver(self._twin(twin, request, body)))
        reply = await self._guarded(Sent(call, request))
        self._learn(session, reply)

    def _twin(
        self,
        call: Call,
        request: CallerRequest,
        body: dict[str, Any],
    ) -> Sent:
        """Return another request of the same session."""
        messages = [{'role': 'user', 'content': marked(call.mark)}]
        content = msgspec.json.encode({**body, 'messages': messages})
        return Sent(call, replace(request, body=content))

    def _learn(self, session: Session | None, reply: Reply | None) -> None:
        """Keep the session's token, if it goes by token."""
        if session is None or reply is None or not reply.is_whole:
            return
        token = reply.headers.get('Nutmegroad-Session', '')
        if token and not session.header:
            session.header = token
            self.judge.session_began(session.name, reply.answer()[0])

    async def _guarded(self, sent: Sent) -> Reply | None:
        """Send a request, mostly with a key or a ticket if it needs one."""
        headers = dict(sent.request.headers)
        weights = _OFTEN if sent.call.repeatable else _RISKY
        guard = self.randomness.choices(_GUARDS, weights)[0]
        if guard == 'key':
            headers['Idempotency-Key'] = f'key-{sent.call.mark}'
        elif guard == 'ticket':
            ticket = await self._ticket(headers)
            if not ticket:
                return None
            headers['Nutmegroad-Ticket'] = ticket
        else:
            return await self._deliver(sent)
        sent.request = replace(sent.request, headers=headers)
        self._again.append(sent)
        if self._one_in(0.15):
            self._start(self._again_soon(sent))
        return await self._deliver(sent)

    async def _again_soon(self, sent: Sent) -> None:
        """Send a request at another host at about the same time."""
        await self.clock.sleep(self.randomness.choice((0, 0, 0.01, 0.5)))
        await self._deliver(sent)

    async def _ticket(self, headers: dict[str, str]) -> str:
        """Get a ticket; empty if there is none."""
        request = CallerRequest('POST', '/v1/tickets', headers)
        host = self._host()
        if not host.is_running:
            return ''
        reply = await send(host.app, request)
        if reply.status != 200:
            return ''
        return str(reply.json()['ticket'])

    async def _deliver(self, sent: Sent) -> Reply | None:
        """Send a request to some host and wait for its end."""
        judge, call, host = self.judge, sent.call, self._host()
        judge.counts['requests'] += 1
        judge.note(f'{call.mark} goes to {host.host}')
        if not host.is_open or not host.is_alive:
            judge.broken(call, 'no connection')
            return None
        task = asyncio.ensure_future(self._serve(host, sent.request))
        limit = call.deadline + HANG_BOUND
        leaves = self._one_in(0.03)
        if leaves:
            limit = self.randomness.uniform(0, 2)
        await asyncio.wait(
            (task, host.ended),
            timeout=limit,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if task.done():
            reply = task.result()
            judge.replied(call, host, reply)
            return reply
        if host.ended.done():
            judge.broken(call, 'connection broken')
            return None
        if leaves:
            judge.broken(call, 'caller left')
        else:
            judge.hung(call, host)
        self._start(self._leave(host, task))
        return None

    async def _serve(self, host: SoakHost, request: CallerRequest) -> Reply:
        """Have a host answer once it runs."""
        await host.clock.sleep(0)
        return await send(host.app, request)

    async def _leave(self, host: SoakHost, task: asyncio.Task[Reply]) -> None:
        """Let a host see, once it runs, that its caller has gone."""
        running = asyncio.ensure_future(host.clock.sleep(0))
        await asyncio.wait(
            (running, host.ended),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if running.done():
            task.cancel()
            await asyncio.wait((task, host.ended), timeout=HANG_BOUND)
        else:
            running.cancel()

    def _session(self) -> Session | None:
        """Return a session, an old one or a new one, or none."""
        if self._one_in(0.6):
            return None
        if self._sessions and self._one_in(0.75):
            return self.randomness.choice(self._sessions)
        self._count += 1
        session = Session(
            f's{self._count}',
            WorkspaceId(self._workspace().name),
            '',
        )
        if self._one_in(0.5):
            session.header = f'name-{self._count}'
        self._sessions.append(session)
        return session

    def _workspace(self) -> WorkspaceEntry:
        return self.randomness.choice(self.document.workspaces)

    def _entry(self, name: WorkspaceId) -> WorkspaceEntry:
        return next(one for one in self.document.workspaces if one.name == name)

    def _call(
        self,
        workspace: WorkspaceEntry,
        task: str = '',
        service: str = '',
    ) -> Call:
        """Make a request known to the judge."""
        self._count += 1
        call = Call(
            mark=f'm{self._count}',
            workspace=WorkspaceId(workspace.name),
            task=task,
            service=service,
            repeatable=True,
            words=self.randomness.randint(3, 10),
            session='',
            deadline=float(self.randomness.randint(4, 30)),
            began=self.clock.now(),
        )
        self.judge.calls[call.mark] = call
        return call

    def _headers(self, call: Call, workspace: WorkspaceId) -> dict[str, str]:
        """Return the headers that every request brings."""
        return {
            'Authorization': f'Bearer {workspace_key(workspace)}',
            'Nutmegroad-Deadline-Ms': str(int(call.deadline * 1000)),
        }
