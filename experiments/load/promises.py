"""What must always hold, as far as it is seen from outside."""

from collections import Counter
from dataclasses import dataclass, field

from experiments.load.load import Outcome, Record
from experiments.load.observations import Observed
from nutmegroad.contracts.documents import Document

#: Examples that a broken promise is reported with.
_EXAMPLES = 3


@dataclass(slots=True)
class Breaches:
    """Promises that were broken.

    Attributes:
        counts: How often, by promise.
        examples: Some cases of each.
    """

    counts: Counter[str] = field(default_factory=Counter)
    examples: dict[str, list[str]] = field(default_factory=dict)

    def note(self, promise: str, example: str) -> None:
        """Note a breach."""
        self.counts[promise] += 1
        known = self.examples.setdefault(promise, [])
        if len(known) < _EXAMPLES:
            known.append(example)


def check(
    records: list[Record],
    observed: Observed,
    document: Document,
) -> Breaches:
    """Return the promises that a run broke."""
    breaches = Breaches()
    allowed = {
        entry.name: frozenset(entry.versions) for entry in document.workspaces
    }
    for record in records:
        _check_record(record, allowed, breaches)
    _check_sessions(records, breaches)
    _check_keys(observed, breaches)
    _check_runs(records, observed, document, breaches)
    return breaches


def _check_record(
    record: Record,
    allowed: dict[str, frozenset[str]],
    breaches: Breaches,
) -> None:
    """Check one reply on its own."""
    ask = record.ask
    if record.outcome is Outcome.HUNG:
        breaches.note('no reply goes on past its deadline', _name(record))
    if not record.answered or ask.is_service:
        return
    if not record.words == record.tokens == ask.tokens:
        breaches.note(
            'an answer is whole',
            f'{_name(record)}: {record.words} words, states {record.tokens}, '
            f'asked for {ask.tokens}',
        )
    if record.quality is None:
        breaches.note('an answer ends with its last word', _name(record))
    if record.version not in allowed[ask.workspace]:
        breaches.note('an answer is from an allowed version', _name(record))


def _check_sessions(records: list[Record], breaches: Breaches) -> None:
    """Check that requests that bring one token have one version."""
    versions: dict[str, set[str]] = {}
    for record in records:
        ask = record.ask
        if record.answered and (record.held or ask.opens) and ask.session:
            versions.setdefault(ask.session, set()).add(record.version)
    for session, seen in versions.items():
        if len(seen) > 1:
            breaches.note('a session keeps its version', f'{session}: {seen}')


def _check_keys(observed: Observed, breaches: Breaches) -> None:
    """Check that each key of a plain service ran at most once."""
    keys = Counter(call.key for call in observed.service_runs if call.key)
    for key, count in keys.items():
        if count > 1:
            breaches.note('a key runs at most once', f'{key}: {count} times')


def _check_runs(
    records: list[Record],
    observed: Observed,
    document: Document,
    breaches: Breaches,
) -> None:
    """Check the engines' runs against what callers were told."""
    runs = Counter(
        run.request
        for engine in observed.engine_runs.values()
        for run in engine
    )
    once = {task.name for task in document.tasks if not task.repeatable}
    for record in records:
        count = runs[record.request] if record.request else 0
        if record.ask.task in once and count > 1:
            breaches.note(
                'a request that may not be repeated runs at most once',
                f'{_name(record)}: {count} runs',
            )
        if record.not_run and count:
            breaches.note('"not run" is true', f'{_name(record)}: {count} runs')


def _name(record: Record) -> str:
    """Name a request in a report."""
    return f'{record.ask.task} {record.request or record.ask.number}'
