"""Checks of the invariants that must hold throughout a randomized run.

The judge observes the first byte of each attempt at an upstream, each row
that is written and each reply to a caller. It collects violated invariants
in ``faults``; nothing that it does affects the run.
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
    Call,
    Disturbance,
    incarnation_of,
    request_of,
)
from experiments.soak.upstreams import FirstByte
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, UpstreamId

#: Seconds after which a draining upstream must not receive new work.
LEAVING_BOUND: Final = 3.0
#: Seconds after its deadline within which a request must have ended.
HANG_GRACE: Final = 10.0
#: Seconds without disturbance after which all hosts must agree again.
SETTLE_TIME: Final = 20.0
#: Seconds before an answer within which a disturbance may have lost the peer
#: that holds the copy of its billing record.
COPY_WINDOW: Final = 6.0
#: Seconds after a host terminates within which the peer that takes over its
#: billing records has copied them to a peer of its own.
TAKEOVER_WINDOW: Final = 20.0

#: Disturbances that can keep a billing record from being copied to a peer, or
#: that peer from storing it.
_HOST_DISTURBANCES: Final = ('killed', 'paused', 'cut', 'stopped')


@dataclass(slots=True)
class Judge:
    """Checks invariants, and records what happens during a run.

    Attributes:
        clock: Virtual clock.
        history: The configuration in force at each time.
        faults: Violated invariants, each as a sentence.
        counts: Number of occurrences, by kind.
        hosts: The present incarnation of each host.
        calls: Requests by tag.
        answered: Requests that were answered completely.
        disturbances: Faults of hosts, links and the platform, in order.
        unreachable_since: Domains whose hosts can not reach anything that
            could confirm their configuration, and the platform while it is
            unavailable, with the time since which that has been so.
    """

    clock: Clock
    history: History
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    hosts: dict[HostId, SoakHost] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
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
        """Hash of all log entries so far."""
        return self._digest.hexdigest()

    def log_event(self, description: str) -> None:
        """Add an entry to the event log, of which only a hash is kept."""
        self._digest.update(f'{self.clock.now():.6f} {description}\n'.encode())

    def fail(self, description: str) -> None:
        """Record that an invariant was violated."""
        self.log_event(f'FAULT {description}')
        self.faults.append(f'{self.clock.now():.3f} s: {description}')

    def report_violation(self, name: str, detail: str) -> None:
        """Record an invariant of the daemon that was found to be violated."""
        self.fail(f'invariant {name} is violated: {detail}')

    def record_disturbance(self, description: str) -> Disturbance:
        """Record that a disturbance of hosts, links or platform begins."""
        self.log_event(description)
        self.counts[description.split()[0]] += 1
        disturbance = Disturbance(self.clock.now(), description)
        self.disturbances.append(disturbance)
        return disturbance

    def is_undisturbed(self, since: float, until: float | None = None) -> bool:
        """Return whether there was no disturbance in a period.

        Args:
            since: Start of the period.
            until: End of the period; the present if None.
        """
        end = self.clock.now() if until is None else until
        return not any(
            disturbance.until >= since and disturbance.at <= end
            for disturbance in self.disturbances
        )

    def first_byte(self, sent: FirstByte) -> None:
        """Check the first byte of an attempt."""
        self.log_event(f'{sent.host} sends {sent.attempt} to {sent.upstream}')
        self.counts['first bytes'] += 1
        host = self.hosts[sent.host]
        if not host.is_running:
            self.fail(f'{sent.host} sent an attempt while it was not running')
        self._check_revision(host)
        self._check_leaving(host, sent)
        self._check_permission(host, self.calls[sent.tag], sent)
        if self._record_attempt(sent):
            self._check_start(self.calls[sent.tag], sent)

    def attempt_refused(self, sent: FirstByte) -> None:
        """Record that an upstream refused an attempt before starting it."""
        attempts = self._request_attempts[request_of(sent.attempt)]
        if sent.attempt not in self._resumed_attempts:
            attempts.discard(sent.attempt)
            self._start_counts[sent.tag] -= 1

    def leaving_reported(self, host: HostId, upstream: UpstreamId) -> None:
        """Record that an upstream reported to a host that it is draining."""
        now = self.clock.now()
        self._leaving_since.setdefault(upstream, now)
        incarnation = self.hosts[host].kernel.incarnation
        self._host_leaving_since.setdefault((incarnation, upstream), now)

    def session_pinned(self, session: str, version: str) -> None:
        """Record the version to which a session's token pins the session."""
        self._session_versions[session].add(version)
        self._session_epochs[session] = self.history.newest_epoch(version)

    def upstream_restarted(self, upstream: UpstreamId) -> None:
        """Record that an upstream was restarted."""
        self._leaving_since.pop(upstream, None)
        for key in tuple(self._host_leaving_since):
            if key[1] == upstream:
                self._host_leaving_since.pop(key)

    def check_hosts(self) -> None:
        """Check the state of all running hosts."""
        for host in self.hosts.values():
            if host.is_running:
                self._check_revision(host)
                self._check_isolation(host)

    def check_reply(self, call: Call, host: SoakHost, reply: Reply) -> None:
        """Check the reply to a caller."""
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
            self.fail(f'{call.tag} received {reply.status} without a refusal')

    def connection_lost(self, call: Call, reason: str) -> None:
        """Record that a caller's connection was broken or never opened."""
        self.log_event(f'{call.tag} {reason}')
        self.counts[reason] += 1

    def request_hung(self, call: Call, host: SoakHost) -> None:
        """Record that a request did not end within its deadline."""
        if self.is_undisturbed(call.sent_at) and not host.is_paused:
            self.fail(f'{call.tag} did not end within its deadline')
        self.counts['hung on disturbed hosts'] += 1

    def check_billing(self, billed: dict[str, int]) -> None:
        """Check that each answered request has a billing record.

        Args:
            billed: Number of billing records by request, read from the stored
                objects at the end of the run.
        """
        for answered in self.answered:
            if answered.request in billed:
                continue
            if self._is_loss_explained(answered):
                self.counts['bills lost with host and heir'] += 1
            else:
                self.fail(f'{answered.request} was answered, but not billed')
        self.counts['billed'] = len(billed)

    def _record_attempt(self, sent: FirstByte) -> bool:
        """Record an attempt; return whether it is new rather than resumed.

        The upstream that holds an attempt may be asked to resume it.
        """
        is_new = sent.attempt not in self._seen_attempts
        if not is_new:
            self._resumed_attempts.add(sent.attempt)
        self._seen_attempts.add(sent.attempt)
        self._request_attempts[request_of(sent.attempt)].add(sent.attempt)
        return is_new

    def _check_permission(
        self, host: SoakHost, call: Call, sent: FirstByte
    ) -> None:
        """Check that the workspace may use the version or service."""
        if call.service:
            self._check_service(host, call)
        else:
            self._check_version(host, call, sent)

    def _check_start(self, call: Call, sent: FirstByte) -> None:
        """Check that the work of a request may be started (again)."""
        self._start_counts[call.tag] += 1
        if self._start_counts[call.tag] > 1 and not call.repeatable:
            self.fail(f'{call.tag} is not repeatable, but was executed twice')
        overdue = sent.at - call.sent_at - call.deadline
        # A duplicate of the request has a deadline of its own.
        is_first = self._start_counts[call.tag] == 1
        is_late = overdue > HANG_GRACE and is_first
        if is_late and self.is_undisturbed(call.sent_at):
            self.fail(f'{call.tag} was sent {overdue:.1f} s past its deadline')

    def _check_leaving(self, host: SoakHost, sent: FirstByte) -> None:
        """Check that the upstream may receive new work."""
        key = (host.kernel.incarnation, sent.upstream)
        known_since = self._host_leaving_since.get(key)
        if known_since is not None and sent.at > known_since + LEAVING_BOUND:
            self.fail(f'{sent.host} knew that {sent.upstream} is draining')
        leaving_since = self._leaving_since.get(sent.upstream, sent.at)
        since = max(leaving_since, host.started_at + 1)
        is_late = sent.at > since + LEAVING_BOUND
        if is_late and self.is_undisturbed(leaving_since - 1):
            self.fail(f'{sent.upstream} received new work while draining')

    def _check_service(self, host: SoakHost, call: Call) -> None:
        """Check that a plain service may be called."""
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
            self.fail(f'{call.tag} at {host.host}: {problem}')

    def _check_version(
        self, host: SoakHost, call: Call, sent: FirstByte
    ) -> None:
        """Check that the version of an attempt may be used."""
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
            self.fail(f'{call.tag} at {host.host}: {problem}')
        pinned = self._session_versions.get(call.session, set())
        if call.session and pinned and version not in pinned:
            self.fail(f'{call.tag} was sent to {version}, which is not pinned')

    def _check_refusal(
        self, call: Call, reply: Reply, refusal: dict[str, object]
    ) -> None:
        """Check that a refusal that states that nothing ran is correct."""
        self.counts[f'refused {refusal["name"]}'] += 1
        request = reply.headers.get('Nutmegroad-Request', '')
        if refusal['not_run'] and self._request_attempts[request]:
            self.fail(f'{call.tag} was executed, but refused as not run')

    def _check_receipt(self, call: Call, host: SoakHost, reply: Reply) -> None:
        """Check the reply of a plain service."""
        if reply.status != 200:
            return
        if not reply.body.decode().startswith(f'{call.tag}/receipt/'):
            self.fail(f'{call.tag} received the answer of another call')
        self._record_answered(host, reply)

    def _check_answer(self, call: Call, host: SoakHost, reply: Reply) -> None:
        """Check the answer of a model."""
        version, text = reply.answer()
        expected = answer_text(call.tag, version, call.words)
        if not reply.is_complete:
            if not expected.startswith(text):
                self.fail(f'{call.tag} received text that its answer lacks')
            if reply.refusal() is None:
                self.fail(f'{call.tag} was truncated without an error')
            return
        if text != expected:
            self.fail(f'{call.tag} received an incorrect answer: {text!r}')
        if call.session:
            self._session_versions[call.session].add(version)
            if len(self._session_versions[call.session]) > 1:
                self.fail(f'session {call.session} changed its version')
        self._record_answered(host, reply)

    def _record_answered(self, host: SoakHost, reply: Reply) -> None:
        """Record an answered request, unless its reply is a replayed one."""
        self.counts['answered'] += 1
        if 'Nutmegroad-First-Request' in reply.headers:
            self.counts['answered by repeats'] += 1
            return
        request = reply.headers['Nutmegroad-Request']
        self.answered.append(
            AnsweredRequest(request, host.host, self.clock.now()),
        )

    def _check_revision(self, host: SoakHost) -> None:
        """Check the configuration revision that a host has in force."""
        accepted = host.configuration.accepted
        if accepted is None:
            return
        incarnation = host.kernel.incarnation
        revision = accepted.revision
        if revision < self._host_revisions.get(incarnation, 0):
            self.fail(f'{incarnation} reverted to revision {revision}')
        self._host_revisions[incarnation] = revision
        preset = self._revision_presets.setdefault(revision, accepted.preset)
        if preset != accepted.preset or self.history.is_unwritten(accepted):
            self.fail(f'revision {revision} differs on {host.host}')

    def _check_isolation(self, host: SoakHost) -> None:
        """Check that a host is isolated when it must be, and only then."""
        now = self.clock.now()
        is_settled = now > host.started_at + SETTLE_TIME
        is_isolated = host.configuration.isolated
        calm_since = now - SETTLE_TIME
        if is_isolated and is_settled and self.is_undisturbed(calm_since):
            self.fail(f'{host.host} is isolated without a disturbance')
        for scope in (host.domain, 'platform'):
            since = self.unreachable_since.get(scope, now)
            expired = now - since > self.history.propagation_bound
            if expired and not is_isolated:
                self.fail(f'{host.host} is unconfirmed, but not isolated')

    def _is_loss_explained(self, answered: AnsweredRequest) -> bool:
        """Return whether enough hosts were lost to explain a missing bill.

        These are the host that answered, and the peers that may have held its
        billing records. Unavailability of the platform is no explanation: the
        peers wait until it is restored.
        """
        incarnation = incarnation_of(answered.request)
        causes = {f'killed {incarnation}', f'stopped {incarnation}'}
        terminations = [
            event for event in self.disturbances if event.description in causes
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
        # A host that stops gracefully copies its billing records to two peers.
        return other_losses > terminations[0].description.startswith('stopped')
