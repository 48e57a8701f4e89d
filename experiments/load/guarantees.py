"""Checks the router's guarantees on the results of a run.

Only what callers, engines and services can observe is checked.
"""

from collections import Counter
from dataclasses import dataclass, field

from experiments.load.client import Outcome, RequestResult
from experiments.load.observations import Observations
from nutmegroad.contracts.documents import Document

#: Maximum number of examples that are kept for each violated guarantee.
_MAX_EXAMPLES = 3


@dataclass(slots=True)
class Violations:
    """Violations of guarantees in a run.

    Attributes:
        counts: Number of violations by guarantee.
        examples: Some examples of each.
    """

    counts: Counter[str] = field(default_factory=Counter)
    examples: dict[str, list[str]] = field(default_factory=dict)

    def add(self, guarantee: str, example: str) -> None:
        """Record a violation."""
        self.counts[guarantee] += 1
        examples = self.examples.setdefault(guarantee, [])
        if len(examples) < _MAX_EXAMPLES:
            examples.append(example)


def check_guarantees(
    request_results: list[RequestResult],
    observations: Observations,
    document: Document,
) -> Violations:
    """Return the violations of guarantees in a run.

    Args:
        request_results: Results of all requests.
        observations: What the processes reported.
        document: The configuration.
    """
    violations = Violations()
    allowed = {
        entry.name: frozenset(entry.versions) for entry in document.workspaces
    }
    for result in request_results:
        _check_result(result, allowed, violations)
    _check_sessions(request_results, violations)
    _check_keys(observations, violations)
    _check_runs(request_results, observations, document, violations)
    return violations


def _check_result(
    result: RequestResult,
    allowed: dict[str, frozenset[str]],
    violations: Violations,
) -> None:
    """Check the result of a single request."""
    planned = result.planned
    name = _describe_request(result)
    if result.outcome is Outcome.HUNG:
        violations.add('no reply goes on past its deadline', name)
    if not result.answered or planned.is_service:
        return
    if not result.words == result.tokens == planned.tokens:
        violations.add(
            'an answer is whole',
            f'{name}: received {result.words} words, the answer states '
            f'{result.tokens}, the request asked for {planned.tokens}',
        )
    if result.quality is None:
        violations.add('an answer ends with its last word', name)
    if result.version not in allowed[planned.workspace]:
        violations.add('an answer is from an allowed version', name)


def _check_sessions(
    request_results: list[RequestResult], violations: Violations
) -> None:
    """Check that all requests of a session are answered by one version.

    A request counts only if it opened the session or carried its token.
    """
    versions: dict[str, set[str]] = {}
    for result in request_results:
        planned = result.planned
        is_bound = result.sent_token or planned.opens_session
        if result.answered and is_bound and planned.session:
            versions.setdefault(planned.session, set()).add(result.version)
    for session, seen in versions.items():
        if len(seen) > 1:
            violations.add('a session keeps its version', f'{session}: {seen}')


def _check_keys(observations: Observations, violations: Violations) -> None:
    """Check that services ran each idempotency key at most once."""
    keys = Counter(call.key for call in observations.service_runs if call.key)
    for key, count in keys.items():
        if count > 1:
            violations.add('a key runs at most once', f'{key}: {count} times')


def _check_runs(
    request_results: list[RequestResult],
    observations: Observations,
    document: Document,
    violations: Violations,
) -> None:
    """Check the answers that engines began against the callers' results."""
    runs = Counter(
        run.request_id
        for engine in observations.engine_runs.values()
        for run in engine
    )
    not_repeatable = {
        task.name for task in document.tasks if not task.repeatable
    }
    for result in request_results:
        count = runs[result.request_id] if result.request_id else 0
        example = f'{_describe_request(result)}: {count} runs'
        if result.planned.task in not_repeatable and count > 1:
            violations.add(
                'a request that may not be repeated runs at most once',
                example,
            )
        if result.not_run and count:
            violations.add('"not run" is true', example)


def _describe_request(result: RequestResult) -> str:
    """Return a description of a request for examples."""
    planned = result.planned
    return f'{planned.task} {result.request_id or planned.number}'
