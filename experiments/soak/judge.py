"""The outside judge of a randomised run.

It sees every first byte at every upstream, every row that is written and
every reply to a caller, and asserts what must always hold. What it finds
goes into ``faults``; nothing that it does changes the run.
"""

import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Final

from experiments.soak.answers import answer_text
from experiments.soak.calls import Reply
from experiments.soak.history import History
from experiments.soak.hosts import SoakHost
from experiments.soak.records import (
    AnsweredRequest,
    CallRecord,
    Disturbance,
    incarnation_of,
    request_of,
)
from experiments.soak.upstreams import FirstByte
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, UpstreamId

#: Seconds within which a leaving upstream gets no new work any more.
LEAVING_BOUND: Final = 3.0
#: Seconds beyond its deadline after which a request must have ended.
HANG_GRACE: Final = 10.0
#: Seconds after which a fleet that nothing disturbs agrees again.
SETTLE_TIME: Final = 20.0
#: Seconds before an answer in which its heir may have been lost.
COPY_WINDOW: Final = 6.0
#: Seconds after a host's death within which its heir has an heir.
TAKEOVER_WINDOW: Final = 20.0

#: What can keep a bill from an heir, or an heir from storing it.
_HOST_DISTURBANCES: Final = ('killed', 'paused', 'cut', 'stopped')


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
    calls: dict[str, CallRecord] = field(default_factory=dict)
    answered: list[AnsweredRequest] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    unreachable_since: dict[str, float] = field(default_factory=dict)
    _digest: 'hashlib._Hash' = field(default_factory=hashlib.sha256)
    _request_attempts: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set),
    )
    _seen_attempts: set[str] = field(default_factory=set)
    _resumed_attempts: set[str] = field(default_factory=set)
    _start_counts: Counter[str] = field(default_factory=Counter)
    _session_versions: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set),
    )
    _session_epochs: dict[str, int] = field(default_factory=dict)
    _leaving_since: dict[UpstreamId, float] = field(default_factory=dict)
    _host_leaving_since: dict[tuple[str, UpstreamId], float] = field(
        default_factory=dict,
    )
    _host_revisions: dict[str, int] = field(default_factory=dict)
    _revision_presets: dict[int, str] = field(default_factory=dict)

    @property
    def digest(self) -> str:
        """Return a hash of all that was noted."""
        return self._digest.hexdigest()

    def log_event(self, description: str) -> None:
        """Put a line into the log of events."""
        self._digest.update(f'{self.clock.now():.6f} {description}\n'.encode())

    def report_fault(self, description: str) -> None:
        """Take in that something did not hold."""
        self.log_event(f'FAULT {description}')
        self.faults.append(f'{self.clock.now():.3f} s: {description}')

    def report_violation(self, name: str, detail: str) -> None:
        """Take in a check of the program's own that failed."""
        self.report_fault(
            f'the program says that {name} does not hold: {detail}'
        )

    def record_disturbance(self, description: str) -> Disturbance:
        """Take in that hosts or links are disturbed from now on."""
        self.log_event(description)
        self.counts[description.split()[0]] += 1
        disturbance = Disturbance(self.clock.now(), description)
        self.disturbances.append(disturbance)
        return disturbance

    def is_undisturbed(
        self, unreachable_since: float, until: float | None = None
    ) -> bool:
        """Tell whether nothing was disturbed from a moment on."""
        end = self.clock.now() if until is None else until
        return not any(
            disturbance.until >= unreachable_since and disturbance.at <= end
            for disturbance in self.disturbances
        )

    def first_byte(self, sent: FirstByte) -> None:
        """Judge the first byte of an attempt."""
        self.log_event(f'{sent.host} sends {sent.attempt} to {sent.upstream}')
        self.counts['first bytes'] += 1
        host = self.hosts[sent.host]
        if not host.is_running:
            self.report_fault(f'{sent.host} sends while it stands still')
        self._check_revision(host)
        self._check_leaving(host, sent)
        self._check_permission(host, self.calls[sent.tag], sent)
        if self._record_attempt(sent):
            self._check_start(self.calls[sent.tag], sent)

    def attempt_refused(self, sent: FirstByte) -> None:
        """Take in that an upstream refused an attempt at once."""
        attempts = self._request_attempts[request_of(sent.attempt)]
        if sent.attempt not in self._resumed_attempts:
            attempts.discard(sent.attempt)
            self._start_counts[sent.tag] -= 1

    def leaving_reported(self, host: HostId, upstream: UpstreamId) -> None:
        """Take in that a host learned that an upstream is leaving."""
        now = self.clock.now()
        self._leaving_since.setdefault(upstream, now)
        incarnation = self.hosts[host].kernel.incarnation
        self._host_leaving_since.setdefault((incarnation, upstream), now)

    def session_pinned(self, session: str, version: str) -> None:
        """Take in the version to which a session's token holds it."""
        self._session_versions[session].add(version)
        self._session_epochs[session] = self.history.newest_epoch(version)

    def upstream_restarted(self, upstream: UpstreamId) -> None:
        """Take in that an upstream is there again, as a new run."""
        self._leaving_since.pop(upstream, None)
        for key in tuple(self._host_leaving_since):
            if key[1] == upstream:
                self._host_leaving_since.pop(key)

    def check_hosts(self) -> None:
        """Look at all hosts."""
        for host in self.hosts.values():
            if host.is_running:
                self._check_revision(host)
                self._check_isolation(host)

    def check_reply(
        self, call: CallRecord, host: SoakHost, reply: Reply
    ) -> None:
        """Judge what a caller got."""
        self.log_event(f'{call.tag} gets {reply.status} {len(reply.body)}')
        self.counts['replies'] += 1
        refusal = reply.refusal()
        if refusal is not None:
            self._check_refusal(call, reply, refusal)
        if call.service:
            self._check_receipt(call, host, reply)
        elif reply.is_complete or reply.is_stream:
            self._check_answer(call, host, reply)
        elif refusal is None:
            self.report_fault(
                f'{call.tag} got {reply.status} without a refusal'
            )

    def connection_lost(self, call: CallRecord, why: str) -> None:
        """Take in that a caller's connection broke."""
        self.log_event(f'{call.tag} {why}')
        self.counts[why] += 1

    def request_hung(self, call: CallRecord, host: SoakHost) -> None:
        """Take in that a request did not end."""
        if self.is_undisturbed(call.sent_at) and not host.is_paused:
            self.report_fault(f'{call.tag} did not end within its deadline')
        self.counts['hung on disturbed hosts'] += 1

    def check_billing(self, billed: dict[str, int]) -> None:
        """Judge what a reader of the billing objects sees at the end."""
        for answered in self.answered:
            if answered.request in billed:
                continue
            if self._is_loss_explained(answered):
                self.counts['bills lost with host and heir'] += 1
            else:
                self.report_fault(
                    f'{answered.request} was answered, not billed'
                )
        self.counts['billed'] = len(billed)

    def _record_attempt(self, sent: FirstByte) -> bool:
        """Tell whether an attempt starts, and is not resumed.

        The upstream that has an attempt may be asked to go on with it.
        """
        is_new = sent.attempt not in self._seen_attempts
        if not is_new:
            self._resumed_attempts.add(sent.attempt)
        self._seen_attempts.add(sent.attempt)
        self._request_attempts[request_of(sent.attempt)].add(sent.attempt)
        return is_new

    def _check_permission(
        self,
        host: SoakHost,
        call: CallRecord,
        sent: FirstByte,
    ) -> None:
        """Judge whether the workspace may have what it gets."""
        if call.service:
            self._check_service(host, call)
        else:
            self._check_version(host, call, sent)

    def _check_start(self, call: CallRecord, sent: FirstByte) -> None:
        """Judge whether the work of a request may start (again)."""
        self._start_counts[call.tag] += 1
        if self._start_counts[call.tag] > 1 and not call.repeatable:
            self.report_fault(f'{call.tag} may not be repeated and ran twice')
        overdue = sent.at - call.sent_at - call.deadline
        # A repeat of the request gives its own deadline.
        is_first = self._start_counts[call.tag] == 1
        if (
            overdue > HANG_GRACE
            and is_first
            and self.is_undisturbed(call.sent_at)
        ):
            self.report_fault(
                f'{call.tag} was sent {overdue:.1f} s after its deadline'
            )

    def _check_leaving(self, host: SoakHost, sent: FirstByte) -> None:
        """Judge whether the upstream may have new work."""
        known_since = self._host_leaving_since.get(
            (host.kernel.incarnation, sent.upstream)
        )
        if known_since is not None and sent.at > known_since + LEAVING_BOUND:
            self.report_fault(
                f'{sent.host} knew that {sent.upstream} is leaving'
            )
        leaving_since = self._leaving_since.get(sent.upstream, sent.at)
        unreachable_since = max(leaving_since, host.started_at + 1)
        if sent.at > unreachable_since + LEAVING_BOUND and self.is_undisturbed(
            leaving_since - 1
        ):
            self.report_fault(f'{sent.upstream} is leaving and got new work')

    def _check_service(self, host: SoakHost, call: CallRecord) -> None:
        """Judge a call of a plain service."""
        if host.configuration.isolated:
            problem = self.history.isolated_service_violation(
                host, call.workspace
            )
        else:
            problem = self.history.service_violation(
                call.workspace,
                call.service,
            )
        if problem:
            self.report_fault(f'{call.tag} at {host.host}: {problem}')

    def _check_version(
        self,
        host: SoakHost,
        call: CallRecord,
        sent: FirstByte,
    ) -> None:
        """Judge the version of an attempt."""
        version = sent.version
        if host.configuration.isolated:
            problem = self.history.isolated_version_violation(
                host,
                call.workspace,
                version,
            )
        else:
            problem = self.history.version_violation(
                call.workspace,
                version,
                self._session_epochs.get(call.session),
            )
        if problem:
            self.report_fault(f'{call.tag} at {host.host}: {problem}')
        pinned = self._session_versions.get(call.session, set())
        if call.session and pinned and version not in pinned:
            self.report_fault(
                f'{call.tag} of session {call.session} went elsewhere'
            )

    def _check_refusal(
        self,
        call: CallRecord,
        reply: Reply,
        refusal: dict[str, object],
    ) -> None:
        """Judge what a refusal says."""
        self.counts[f'refused {refusal["name"]}'] += 1
        request = reply.headers.get('Nutmegroad-Request', '')
        if refusal['not_run'] and self._request_attempts[request]:
            self.report_fault(f'{call.tag} ran, and was refused as not run')

    def _check_receipt(
        self, call: CallRecord, host: SoakHost, reply: Reply
    ) -> None:
        """Judge a service's answer."""
        if reply.status != 200:
            return
        if not reply.body.decode().startswith(f'{call.tag}/receipt/'):
            self.report_fault(f'{call.tag} got the answer of another call')
        self._record_answered(host, reply)

    def _check_answer(
        self, call: CallRecord, host: SoakHost, reply: Reply
    ) -> None:
        """Judge a model's answer."""
        version, text = reply.answer()
        expected = answer_text(call.tag, version, call.words)
        if not reply.is_complete:
            if not expected.startswith(text):
                self.report_fault(f'{call.tag} was shown what is not its own')
            if reply.refusal() is None:
                self.report_fault(f'{call.tag} was cut without an error')
            return
        if text != expected:
            self.report_fault(
                f'{call.tag} got an answer that is not whole: {text!r}'
            )
        if call.session:
            self._session_versions[call.session].add(version)
            if len(self._session_versions[call.session]) > 1:
                self.report_fault(
                    f'the session {call.session} changed its version'
                )
        self._record_answered(host, reply)

    def _record_answered(self, host: SoakHost, reply: Reply) -> None:
        """Take in that a request was answered whole, and not by a repeat."""
        self.counts['answered'] += 1
        if 'Nutmegroad-First-Request' in reply.headers:
            self.counts['answered by repeats'] += 1
            return
        request = reply.headers['Nutmegroad-Request']
        self.answered.append(
            AnsweredRequest(request, host.host, self.clock.now()),
        )

    def _check_revision(self, host: SoakHost) -> None:
        """Look at what a host has in force."""
        accepted = host.configuration.accepted
        if accepted is None:
            return
        incarnation = host.kernel.incarnation
        revision = accepted.revision
        if revision < self._host_revisions.get(incarnation, 0):
            self.report_fault(f'{incarnation} went back to revision {revision}')
        self._host_revisions[incarnation] = revision
        preset = self._revision_presets.setdefault(revision, accepted.preset)
        if preset != accepted.preset or self.history.is_unwritten(accepted):
            self.report_fault(
                f'revision {revision} is not the same on {host.host}'
            )

    def _check_isolation(self, host: SoakHost) -> None:
        """Judge whether a host says rightly that it is isolated."""
        now = self.clock.now()
        is_settled = now > host.started_at + SETTLE_TIME
        if (
            host.configuration.isolated
            and is_settled
            and self.is_undisturbed(now - SETTLE_TIME)
        ):
            self.report_fault(
                f'{host.host} is isolated though nothing is wrong'
            )
        for scope in (host.domain, 'platform'):
            unreachable_since = self.unreachable_since.get(scope, now)
            expired = now - unreachable_since > self.history.propagation_bound
            if expired and not host.configuration.isolated:
                self.report_fault(
                    f'{host.host} can not be confirmed, and serves on'
                )

    def _is_loss_explained(self, answered: AnsweredRequest) -> bool:
        """Tell whether a host was lost, and maybe whoever had its bills.

        A platform that is down explains nothing: the heir waits for it.
        """
        incarnation = incarnation_of(answered.request)
        terminations = [
            event
            for event in self.disturbances
            if event.description
            in {f'killed {incarnation}', f'stopped {incarnation}'}
        ]
        if not terminations:
            return False
        other_losses = sum(
            event is not terminations[0]
            and event.description.startswith(_HOST_DISTURBANCES)
            and event.until >= answered.at - COPY_WINDOW
            and event.at <= terminations[0].at + TAKEOVER_WINDOW
            for event in self.disturbances
        )
        # A host that stops leaves its bills to two.
        return other_losses > terminations[0].description.startswith('stopped')
