"""The outside judge of a randomised run.

It sees every first byte at every upstream, every row that is written and
every reply to a caller, and asserts what must always hold. What it finds
goes into ``faults``; nothing that it does changes the run.
"""

import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Final

from experiments.soak.answers import text_of
from experiments.soak.calls import Reply
from experiments.soak.history import History
from experiments.soak.hosts import SoakHost
from experiments.soak.records import (
    Answered,
    Call,
    Disturbance,
    request_of,
    run_of,
)
from experiments.soak.upstreams import FirstByte
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, UpstreamId

#: Seconds within which a leaving upstream gets no new work any more.
LEAVE_BOUND: Final = 3.0
#: Seconds beyond its deadline after which a request must have ended.
HANG_BOUND: Final = 10.0
#: Seconds after which a fleet that nothing disturbs agrees again.
CALM: Final = 20.0
#: Seconds before an answer in which its heir may have been lost.
HAND_WINDOW: Final = 6.0
#: Seconds after a host's death within which its heir has an heir.
HEIR_WINDOW: Final = 20.0

#: What can keep a bill from an heir, or an heir from storing it.
_OF_HOSTS: Final = ('killed', 'paused', 'cut', 'stopped')


@dataclass(slots=True)
class Judge:
    """Holds a run to what must always hold.

    Attributes:
        clock: The time of all.
        history: What was in force when.
        faults: What did not hold, each as a sentence.
        counts: What happened, by kind.
        hosts: The present run of each host.
        calls: Requests by mark.
        answered: Requests that were answered whole.
        disturbances: What went wrong, in order.
        unreachable: Domains whose hosts reach nothing that could confirm
            them, or the platform that is down; and since when.
    """

    clock: Clock
    history: History
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    hosts: dict[HostId, SoakHost] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    answered: list[Answered] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    unreachable: dict[str, float] = field(default_factory=dict)
    _digest: 'hashlib._Hash' = field(default_factory=hashlib.sha256)
    _started: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set),
    )
    _attempts: set[str] = field(default_factory=set)
    _resumed: set[str] = field(default_factory=set)
    _work: Counter[str] = field(default_factory=Counter)
    _sessions: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set),
    )
    _epochs: dict[str, int] = field(default_factory=dict)
    _told: dict[UpstreamId, float] = field(default_factory=dict)
    _host_told: dict[tuple[str, UpstreamId], float] = field(
        default_factory=dict,
    )
    _revisions: dict[str, int] = field(default_factory=dict)
    _presets: dict[int, str] = field(default_factory=dict)

    @property
    def digest(self) -> str:
        """Return a hash of all that was noted."""
        return self._digest.hexdigest()

    def note(self, what: str) -> None:
        """Put a line into the log of events."""
        self._digest.update(f'{self.clock.now():.6f} {what}\n'.encode())

    def fault(self, what: str) -> None:
        """Take in that something did not hold."""
        self.note(f'FAULT {what}')
        self.faults.append(f'{self.clock.now():.3f} s: {what}')

    def alarm(self, name: str, detail: str) -> None:
        """Take in a check of the program's own that failed."""
        self.fault(f'the program says that {name} does not hold: {detail}')

    def disturb(self, what: str) -> Disturbance:
        """Take in that hosts or links are disturbed from now on."""
        self.note(what)
        self.counts[what.split()[0]] += 1
        disturbance = Disturbance(self.clock.now(), what)
        self.disturbances.append(disturbance)
        return disturbance

    def is_calm(self, since: float, until: float | None = None) -> bool:
        """Tell whether nothing was disturbed from a moment on."""
        end = self.clock.now() if until is None else until
        return not any(
            disturbance.until >= since and disturbance.at <= end
            for disturbance in self.disturbances
        )

    def first_byte(self, sent: FirstByte) -> None:
        """Judge the first byte of an attempt."""
        self.note(f'{sent.host} sends {sent.attempt} to {sent.upstream}')
        self.counts['first bytes'] += 1
        host = self.hosts[sent.host]
        if not host.is_running:
            self.fault(f'{sent.host} sends while it stands still')
        self._look_at_host(host)
        self._judge_leaving(host, sent)
        self._judge_right(host, self.calls[sent.mark], sent)
        if self._is_new(sent):
            self._judge_work(self.calls[sent.mark], sent)

    def unstarted(self, sent: FirstByte) -> None:
        """Take in that an upstream refused an attempt at once."""
        started = self._started[request_of(sent.attempt)]
        if sent.attempt not in self._resumed:
            started.discard(sent.attempt)
            self._work[sent.mark] -= 1

    def told_leaving(self, host: HostId, upstream: UpstreamId) -> None:
        """Take in that a host learned that an upstream is leaving."""
        now = self.clock.now()
        self._told.setdefault(upstream, now)
        run = self.hosts[host].kernel.incarnation
        self._host_told.setdefault((run, upstream), now)

    def session_began(self, session: str, version: str) -> None:
        """Take in the version to which a session's token holds it."""
        self._sessions[session].add(version)
        self._epochs[session] = self.history.newest_epoch(version)

    def returned(self, upstream: UpstreamId) -> None:
        """Take in that an upstream is there again, as a new run."""
        self._told.pop(upstream, None)
        for key in tuple(self._host_told):
            if key[1] == upstream:
                self._host_told.pop(key)

    def look(self) -> None:
        """Look at all hosts."""
        for host in self.hosts.values():
            if host.is_running:
                self._look_at_host(host)
                self._look_for_isolation(host)

    def replied(self, call: Call, host: SoakHost, reply: Reply) -> None:
        """Judge what a caller got."""
        self.note(f'{call.mark} gets {reply.status} {len(reply.body)}')
        self.counts['replies'] += 1
        refusal = reply.refusal()
        if refusal is not None:
            self._judge_refusal(call, reply, refusal)
        if call.service:
            self._judge_receipt(call, host, reply)
        elif reply.is_whole or reply.is_stream:
            self._judge_answer(call, host, reply)
        elif refusal is None:
            self.fault(f'{call.mark} got {reply.status} without a refusal')

    def broken(self, call: Call, why: str) -> None:
        """Take in that a caller's connection broke."""
        self.note(f'{call.mark} {why}')
        self.counts[why] += 1

    def hung(self, call: Call, host: SoakHost) -> None:
        """Take in that a request did not end."""
        if self.is_calm(call.began) and not host.paused:
            self.fault(f'{call.mark} did not end within its deadline')
        self.counts['hung on disturbed hosts'] += 1

    def judge_bills(self, billed: dict[str, int]) -> None:
        """Judge what a reader of the billing objects sees at the end."""
        for answered in self.answered:
            if answered.request in billed:
                continue
            if self._is_explained(answered):
                self.counts['bills lost with host and heir'] += 1
            else:
                self.fault(f'{answered.request} was answered, not billed')
        self.counts['billed'] = len(billed)

    def _is_new(self, sent: FirstByte) -> bool:
        """Tell whether an attempt starts, and is not resumed.

        The upstream that has an attempt may be asked to go on with it.
        """
        is_new = sent.attempt not in self._attempts
        if not is_new:
            self._resumed.add(sent.attempt)
        self._attempts.add(sent.attempt)
        self._started[request_of(sent.attempt)].add(sent.attempt)
        return is_new

    def _judge_right(
        self,
        host: SoakHost,
        call: Call,
        sent: FirstByte,
    ) -> None:
        """Judge whether the workspace may have what it gets."""
        if call.service:
            self._judge_service(host, call)
        else:
            self._judge_version(host, call, sent)

    def _judge_work(self, call: Call, sent: FirstByte) -> None:
        """Judge whether the work of a request may start (again)."""
        self._work[call.mark] += 1
        if self._work[call.mark] > 1 and not call.repeatable:
            self.fault(f'{call.mark} may not be repeated and ran twice')
        late = sent.at - call.began - call.deadline
        # A repeat of the request gives its own deadline.
        is_first = self._work[call.mark] == 1
        if late > HANG_BOUND and is_first and self.is_calm(call.began):
            self.fault(f'{call.mark} was sent {late:.1f} s after its deadline')

    def _judge_leaving(self, host: SoakHost, sent: FirstByte) -> None:
        """Judge whether the upstream may have new work."""
        own = self._host_told.get((host.kernel.incarnation, sent.upstream))
        if own is not None and sent.at > own + LEAVE_BOUND:
            self.fault(f'{sent.host} knew that {sent.upstream} is leaving')
        told = self._told.get(sent.upstream, sent.at)
        since = max(told, host.began + 1)
        if sent.at > since + LEAVE_BOUND and self.is_calm(told - 1):
            self.fault(f'{sent.upstream} is leaving and got new work')

    def _judge_service(self, host: SoakHost, call: Call) -> None:
        """Judge a call of a plain service."""
        if host.configuration.isolated:
            problem = self.history.isolated_service(host, call.workspace)
        else:
            problem = self.history.forbids_service(
                call.workspace,
                call.service,
            )
        if problem:
            self.fault(f'{call.mark} at {host.host}: {problem}')

    def _judge_version(
        self,
        host: SoakHost,
        call: Call,
        sent: FirstByte,
    ) -> None:
        """Judge the version of an attempt."""
        version = sent.version
        if host.configuration.isolated:
            problem = self.history.isolated_version(
                host,
                call.workspace,
                version,
            )
        else:
            problem = self.history.forbids_version(
                call.workspace,
                version,
                self._epochs.get(call.session),
            )
        if problem:
            self.fault(f'{call.mark} at {host.host}: {problem}')
        known = self._sessions.get(call.session, set())
        if call.session and known and version not in known:
            self.fault(f'{call.mark} of session {call.session} went elsewhere')

    def _judge_refusal(
        self,
        call: Call,
        reply: Reply,
        refusal: dict[str, object],
    ) -> None:
        """Judge what a refusal says."""
        self.counts[f'refused {refusal["name"]}'] += 1
        request = reply.headers.get('Nutmegroad-Request', '')
        if refusal['not_run'] and self._started[request]:
            self.fault(f'{call.mark} ran, and was refused as not run')

    def _judge_receipt(self, call: Call, host: SoakHost, reply: Reply) -> None:
        """Judge a service's answer."""
        if reply.status != 200:
            return
        if not reply.body.decode().startswith(f'{call.mark}/receipt/'):
            self.fault(f'{call.mark} got the answer of another call')
        self._note_answered(host, reply)

    def _judge_answer(self, call: Call, host: SoakHost, reply: Reply) -> None:
        """Judge a model's answer."""
        version, text = reply.answer()
        expected = text_of(call.mark, version, call.words)
        if not reply.is_whole:
            if not expected.startswith(text):
                self.fault(f'{call.mark} was shown what is not its own')
            if reply.refusal() is None:
                self.fault(f'{call.mark} was cut without an error')
            return
        if text != expected:
            self.fault(f'{call.mark} got an answer that is not whole: {text!r}')
        if call.session:
            self._sessions[call.session].add(version)
            if len(self._sessions[call.session]) > 1:
                self.fault(f'the session {call.session} changed its version')
        self._note_answered(host, reply)

    def _note_answered(self, host: SoakHost, reply: Reply) -> None:
        """Take in that a request was answered whole, and not by a repeat."""
        self.counts['answered'] += 1
        if 'Nutmegroad-First-Request' in reply.headers:
            self.counts['answered by repeats'] += 1
            return
        request = reply.headers['Nutmegroad-Request']
        self.answered.append(
            Answered(request, host.host, self.clock.now()),
        )

    def _look_at_host(self, host: SoakHost) -> None:
        """Look at what a host has in force."""
        accepted = host.configuration.accepted
        if accepted is None:
            return
        run = host.kernel.incarnation
        revision = accepted.revision
        if revision < self._revisions.get(run, 0):
            self.fault(f'{run} went back to revision {revision}')
        self._revisions[run] = revision
        preset = self._presets.setdefault(revision, accepted.preset)
        if preset != accepted.preset or self.history.differs(accepted):
            self.fault(f'revision {revision} is not the same on {host.host}')

    def _look_for_isolation(self, host: SoakHost) -> None:
        """Judge whether a host says rightly that it is isolated."""
        now = self.clock.now()
        is_old = now > host.began + CALM
        if host.configuration.isolated and is_old and self.is_calm(now - CALM):
            self.fault(f'{host.host} is isolated though nothing is wrong')
        for where in (host.domain, 'platform'):
            since = self.unreachable.get(where, now)
            lapsed = now - since > self.history.bound
            if lapsed and not host.configuration.isolated:
                self.fault(f'{host.host} can not be confirmed, and serves on')

    def _is_explained(self, answered: Answered) -> bool:
        """Tell whether a host was lost, and maybe whoever had its bills.

        A platform that is down explains nothing: the heir waits for it.
        """
        run = run_of(answered.request)
        ends = [
            event
            for event in self.disturbances
            if event.what in {f'killed {run}', f'stopped {run}'}
        ]
        if not ends:
            return False
        others = sum(
            event is not ends[0]
            and event.what.startswith(_OF_HOSTS)
            and event.until >= answered.at - HAND_WINDOW
            and event.at <= ends[0].at + HEIR_WINDOW
            for event in self.disturbances
        )
        # A host that stops leaves its bills to two.
        return others > ends[0].what.startswith('stopped')
