"""The callers of a randomised run: what they send, and again, and where."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any, Final

import msgspec

from experiments.deployment import workspace_key
from experiments.soak.answers import tagged_text
from experiments.soak.calls import CallerRequest, Reply, send
from experiments.soak.hosts import SoakHost
from experiments.soak.judge import HANG_GRACE, Judge
from experiments.soak.records import CallRecord
from nutmegroad.contracts.documents import Document, WorkspaceEntry
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, WorkspaceId
from nutmegroad.routing.services import is_repeatable

#: Seconds between requests, on average.
MEAN_REQUEST_GAP: Final = 0.35
#: Requests and sessions that are remembered for more.
_MAX_REMEMBERED: Final = 30

#: How a request is kept from running twice, and how often in ten: one
#: that may be repeated, and one that may not.
_DUPLICATE_GUARDS: Final = ('key', 'ticket', 'none')
_REPEATABLE_WEIGHTS: Final = (1, 0, 9)
_UNREPEATABLE_WEIGHTS: Final = (4, 4, 2)

_SERVICE_PATHS: Final = {
    'licence-portal': (('GET', 'status/'), ('POST', 'receipts')),
    'pack-desk': (('GET', 'swaps/'), ('POST', 'manifests')),
}


@dataclass(slots=True)
class SentRequest:
    """A request as it was sent, so that it can be sent again.

    Attributes:
        call: What the judge knows of it.
        request: The request.
    """

    call: CallRecord
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
    open_requests: set[asyncio.Task[None]] = field(default_factory=set)
    _count: int = 0
    _resendable: deque[SentRequest] = field(
        default_factory=lambda: deque(maxlen=_MAX_REMEMBERED),
    )
    _sessions: deque[Session] = field(
        default_factory=lambda: deque(maxlen=_MAX_REMEMBERED),
    )

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self.clock.sleep(
                self.randomness.expovariate(1 / MEAN_REQUEST_GAP)
            )
            self._start(self._send_next())

    def _start(self, work: Any) -> None:
        """Run a request in a task of its own."""
        task = asyncio.ensure_future(work)
        self.open_requests.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Forget a request; a failure in it is the run's."""
        self.open_requests.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.judge.report_fault(f'a caller failed: {task.exception()!r}')

    def _chance(self, probability: float) -> bool:
        return self.randomness.random() < probability

    def _choose_host(self) -> SoakHost:
        """Return some host, as a balancer that lags might."""
        names = sorted(self.hosts)
        available = [
            name
            for name in names
            if self.hosts[name].is_open and not self.hosts[name].is_stopping
        ]
        prefer_available = available and not self._chance(0.1)
        return self.hosts[
            self.randomness.choice(available if prefer_available else names)
        ]

    async def _send_next(self) -> None:
        """Send one request, or two at once."""
        if self._resendable and self._chance(0.15):
            sent = self.randomness.choice(self._resendable)
            sent.call.sent_at = self.clock.now()
            await self._send_once(sent)
        elif self._chance(0.3):
            await self._call_service()
        else:
            await self._request_model()

    async def _call_service(self) -> None:
        """Call the plain service."""
        workspace = self._choose_workspace()
        service = self.document.services[0]
        method, path = self.randomness.choice(_SERVICE_PATHS[service.name])
        call = self._register_call(workspace, service=service.name)
        if method == 'GET':
            path = f'{path}mark:{call.tag}'
        call.repeatable = is_repeatable(service, method, path)
        body = tagged_text(call.tag).encode() if method == 'POST' else b''
        request = CallerRequest(
            method,
            f'/v1/services/{service.name}/{path}',
            self._common_headers(call, call.workspace),
            body,
        )
        await self._send_guarded(SentRequest(call, request))

    async def _request_model(self) -> None:
        """Ask a model, in a session or in none."""
        session = self._choose_session()
        workspace = self._choose_workspace()
        if session is not None:
            workspace = self._workspace_named(session.workspace)
        task = self.randomness.choice(self.document.tasks)
        call = self._register_call(workspace, task=task.name)
        call.repeatable = task.repeatable
        headers = self._common_headers(call, call.workspace)
        if session is not None and session.header:
            call.session = session.name
            headers['Nutmegroad-Session'] = session.header
        body = {
            'model': task.name,
            'messages': [{'role': 'user', 'content': tagged_text(call.tag)}],
            'max_tokens': call.words,
            'stream': self._chance(0.5),
        }
        request = CallerRequest(
            'POST',
            '/v1/chat/completions',
            headers,
            msgspec.json.encode(body),
        )
        if call.session and self._chance(0.2):
            # Its requests come to two hosts at once.
            sibling = replace(call, tag=f'{call.tag}t')
            self.judge.calls[sibling.tag] = sibling
            self._start(
                self._send_once(self._sibling_request(sibling, request, body))
            )
        reply = await self._send_guarded(SentRequest(call, request))
        self._store_session_token(session, reply)

    def _sibling_request(
        self,
        call: CallRecord,
        request: CallerRequest,
        body: dict[str, Any],
    ) -> SentRequest:
        """Return another request of the same session."""
        messages = [{'role': 'user', 'content': tagged_text(call.tag)}]
        content = msgspec.json.encode({**body, 'messages': messages})
        return SentRequest(call, replace(request, body=content))

    def _store_session_token(
        self, session: Session | None, reply: Reply | None
    ) -> None:
        """Keep the session's token, if it goes by token."""
        if session is None or reply is None or not reply.is_complete:
            return
        token = reply.headers.get('Nutmegroad-Session', '')
        if token and not session.header:
            session.header = token
            self.judge.session_pinned(session.name, reply.answer()[0])

    async def _send_guarded(self, sent: SentRequest) -> Reply | None:
        """Send a request, mostly with a key or a ticket if it needs one."""
        headers = dict(sent.request.headers)
        weights = (
            _REPEATABLE_WEIGHTS
            if sent.call.repeatable
            else _UNREPEATABLE_WEIGHTS
        )
        guard = self.randomness.choices(_DUPLICATE_GUARDS, weights)[0]
        if guard == 'key':
            headers['Idempotency-Key'] = f'key-{sent.call.tag}'
        elif guard == 'ticket':
            ticket = await self._request_ticket(headers)
            if not ticket:
                return None
            headers['Nutmegroad-Ticket'] = ticket
        else:
            return await self._send_once(sent)
        sent.request = replace(sent.request, headers=headers)
        self._resendable.append(sent)
        if self._chance(0.15):
            self._start(self._send_duplicate(sent))
        return await self._send_once(sent)

    async def _send_duplicate(self, sent: SentRequest) -> None:
        """Send a request at another host at about the same time."""
        await self.clock.sleep(self.randomness.choice((0, 0, 0.01, 0.5)))
        await self._send_once(sent)

    async def _request_ticket(self, headers: dict[str, str]) -> str:
        """Get a ticket; empty if there is none."""
        request = CallerRequest('POST', '/v1/tickets', headers)
        host = self._choose_host()
        if not host.is_running:
            return ''
        reply = await send(host.app, request)
        if reply.status != 200:
            return ''
        return str(reply.json()['ticket'])

    async def _send_once(self, sent: SentRequest) -> Reply | None:
        """Send a request to some host and wait for its end."""
        judge, call, host = self.judge, sent.call, self._choose_host()
        judge.counts['requests'] += 1
        judge.log_event(f'{call.tag} goes to {host.host}')
        if not host.is_open or not host.is_alive:
            judge.connection_lost(call, 'no connection')
            return None
        task = asyncio.ensure_future(
            self._send_when_running(host, sent.request)
        )
        limit = call.deadline + HANG_GRACE
        disconnects = self._chance(0.03)
        if disconnects:
            limit = self.randomness.uniform(0, 2)
        await asyncio.wait(
            (task, host.terminated),
            timeout=limit,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if task.done():
            reply = task.result()
            judge.check_reply(call, host, reply)
            return reply
        if host.terminated.done():
            judge.connection_lost(call, 'connection broken')
            return None
        if disconnects:
            judge.connection_lost(call, 'caller left')
        else:
            judge.request_hung(call, host)
        self._start(self._disconnect(host, task))
        return None

    async def _send_when_running(
        self, host: SoakHost, request: CallerRequest
    ) -> Reply:
        """Have a host answer once it runs."""
        await host.clock.sleep(0)
        return await send(host.app, request)

    async def _disconnect(
        self, host: SoakHost, task: asyncio.Task[Reply]
    ) -> None:
        """Let a host see, once it runs, that its caller has gone."""
        resumed = asyncio.ensure_future(host.clock.sleep(0))
        await asyncio.wait(
            (resumed, host.terminated),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if resumed.done():
            task.cancel()
            await asyncio.wait((task, host.terminated), timeout=HANG_GRACE)
        else:
            resumed.cancel()

    def _choose_session(self) -> Session | None:
        """Return a session, an old one or a new one, or none."""
        if self._chance(0.6):
            return None
        if self._sessions and self._chance(0.75):
            return self.randomness.choice(self._sessions)
        self._count += 1
        session = Session(
            f's{self._count}',
            WorkspaceId(self._choose_workspace().name),
            '',
        )
        if self._chance(0.5):
            session.header = f'name-{self._count}'
        self._sessions.append(session)
        return session

    def _choose_workspace(self) -> WorkspaceEntry:
        return self.randomness.choice(self.document.workspaces)

    def _workspace_named(self, name: WorkspaceId) -> WorkspaceEntry:
        return next(
            workspace
            for workspace in self.document.workspaces
            if workspace.name == name
        )

    def _register_call(
        self,
        workspace: WorkspaceEntry,
        task: str = '',
        service: str = '',
    ) -> CallRecord:
        """Make a request known to the judge."""
        self._count += 1
        call = CallRecord(
            tag=f'm{self._count}',
            workspace=WorkspaceId(workspace.name),
            task=task,
            service=service,
            repeatable=True,
            words=self.randomness.randint(3, 10),
            session='',
            deadline=float(self.randomness.randint(4, 30)),
            sent_at=self.clock.now(),
        )
        self.judge.calls[call.tag] = call
        return call

    def _common_headers(
        self, call: CallRecord, workspace: WorkspaceId
    ) -> dict[str, str]:
        """Return the headers that every request brings."""
        return {
            'Authorization': f'Bearer {workspace_key(workspace)}',
            'Nutmegroad-Deadline-Ms': str(int(call.deadline * 1000)),
        }
