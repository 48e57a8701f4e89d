"""Callers of a randomized run: requests, duplicates and sessions."""

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
from experiments.soak.records import Call
from nutmegroad.contracts.documents import Document, WorkspaceEntry
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, WorkspaceId
from nutmegroad.routing.services import is_repeatable

#: Mean number of seconds between requests.
MEAN_REQUEST_GAP: Final = 0.35
#: Maximum number of requests and sessions that are kept for reuse.
_MAX_REMEMBERED: Final = 30

#: Means against executing a request twice, and the weights (of ten) with
#: which each is chosen: for requests that are repeatable, and for others.
_DUPLICATE_GUARDS: Final = ('key', 'ticket', 'none')
_REPEATABLE_WEIGHTS: Final = (1, 0, 9)
_UNREPEATABLE_WEIGHTS: Final = (4, 4, 2)

_SERVICE_PATHS: Final = {
    'licence-portal': (('GET', 'status/'), ('POST', 'receipts')),
    'pack-desk': (('GET', 'swaps/'), ('POST', 'manifests')),
}


@dataclass(slots=True)
class SentRequest:
    """A request, kept so that it can be sent again.

    Attributes:
        call: The judge's record of it.
        request: The HTTP request.
    """

    call: Call
    request: CallerRequest


@dataclass(slots=True)
class Session:
    """A session of a caller.

    Attributes:
        name: Identifies it to the judge.
        workspace: The workspace that it belongs to.
        task: Its task class.
        header: The session header of its requests; empty before the first
            answer of a session that is identified by a token.
    """

    name: str
    workspace: WorkspaceId
    task: str
    header: str = ''


@dataclass(slots=True)
class Traffic:
    """Callers of one deployment.

    Attributes:
        document: Defines workspaces, tasks and services.
        judge: Checks the replies.
        clock: Virtual clock.
        randomness: Source of the random choices.
        hosts: The present incarnation of each host.
        open_requests: Tasks of requests that have not ended.
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
        """Send requests at random times until cancelled."""
        while True:
            await self.clock.sleep(
                self.randomness.expovariate(1 / MEAN_REQUEST_GAP)
            )
            self._start(self._send_next())

    def _start(self, work: Any) -> None:
        """Send a request in a task of its own."""
        task = asyncio.ensure_future(work)
        self.open_requests.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Remove the task of a request; report an exception as a fault."""
        self.open_requests.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.judge.fail(f'a caller failed: {task.exception()!r}')

    def _chance(self, probability: float) -> bool:
        return self.randomness.random() < probability

    def _choose_host(self) -> SoakHost:
        """Choose a host, usually one that takes new work.

        One in ten choices is made among all hosts, as by a load balancer whose
        information is outdated.
        """
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
        """Send a new request, or an earlier one again."""
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
        """Send a model request, within a session or without one."""
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
            # Concurrent requests of a session may reach different hosts.
            sibling = replace(call, tag=f'{call.tag}t')
            self.judge.calls[sibling.tag] = sibling
            self._start(
                self._send_once(self._sibling_request(sibling, request, body))
            )
        reply = await self._send_guarded(SentRequest(call, request))
        self._store_session_token(session, reply)

    def _sibling_request(
        self,
        call: Call,
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
        """Keep the token from the first answer of a session without a name."""
        if session is None or reply is None or not reply.is_complete:
            return
        token = reply.headers.get('Nutmegroad-Session', '')
        if token and not session.header:
            session.header = token
            self.judge.session_pinned(session.name, reply.answer()[0])

    async def _send_guarded(self, sent: SentRequest) -> Reply | None:
        """Send a request, with a key, a ticket or neither.

        Requests with either are also kept, to be sent again later.
        """
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
        """Send a duplicate of a request at nearly the same time."""
        await self.clock.sleep(self.randomness.choice((0, 0, 0.01, 0.5)))
        await self._send_once(sent)

    async def _request_ticket(self, headers: dict[str, str]) -> str:
        """Obtain a ticket; return an empty text if there is none."""
        request = CallerRequest('POST', '/v1/tickets', headers)
        host = self._choose_host()
        if not host.is_running:
            return ''
        reply = await send(host.app, request)
        if reply.status != 200:
            return ''
        return str(reply.json()['ticket'])

    async def _send_once(self, sent: SentRequest) -> Reply | None:
        """Send a request to a host and wait until it ends."""
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
        """Pass a request to a host as soon as the host is not paused."""
        await host.clock.sleep(0)
        return await send(host.app, request)

    async def _disconnect(
        self, host: SoakHost, task: asyncio.Task[Reply]
    ) -> None:
        """Disconnect the caller as soon as the host is not paused."""
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
        """Return an existing or a new session, or None."""
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
    ) -> Call:
        """Create the record of a request and register it with the judge."""
        self._count += 1
        call = Call(
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
        self, call: Call, workspace: WorkspaceId
    ) -> dict[str, str]:
        """Return the headers that all requests have."""
        return {
            'Authorization': f'Bearer {workspace_key(workspace)}',
            'Nutmegroad-Deadline-Ms': str(int(call.deadline * 1000)),
        }
