"""Cross-checks of a configuration document, beyond its schema.

document = read_document(text)
if isinstance(document, tuple):
    show(document)  # problems, each with the path of its field
"""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from typing import Final

import msgspec

from nutmegroad.configuration._decoding import problem_of
from nutmegroad.configuration._plan_checks import check_plans
from nutmegroad.contracts.documents import (
    CallRule,
    Document,
    PresetEntry,
    Stage,
    parse_document,
)
from nutmegroad.contracts.problems import Problem, references, repeated, unknown
from nutmegroad.foundations.types import VersionId

__all__ = ('Problem', 'check_document', 'read_document')

_VERSION: Final = 'version'


def read_document(text: str) -> Document | tuple[Problem, ...]:
    """Read and check what an operator wrote.

    Args:
        text: The document as TOML.

    Returns:
        The document, or all that is wrong with it. A document that does not
        fit the schema gives its first problem alone.
    """
    try:
        document = parse_document(text)
    except msgspec.DecodeError as error:
        return (problem_of(error, text),)
    return check_document(document) or document


def check_document(document: Document) -> tuple[Problem, ...]:
    """Return all that is wrong with a document that fits the schema."""
    return tuple(
        chain(
            _check_names(document),
            _check_versions(document),
            _check_tasks(document),
            _check_services(document),
            _check_workspaces(document),
            _check_presets(document),
            check_plans(document),
        ),
    )


def _check_names(document: Document) -> Iterator[Problem]:
    """Find names and secrets that stand twice."""
    workspaces = document.workspaces
    operators = document.operators
    named: Mapping[str, Iterable[str]] = {
        '$.versions[{0}].id': (entry.id for entry in document.versions),
        '$.tasks[{0}].name': (entry.name for entry in document.tasks),
        '$.services[{0}].name': (entry.name for entry in document.services),
        '$.presets[{0}].name': (entry.name for entry in document.presets),
        '$.workspaces[{0}].name': (entry.name for entry in workspaces),
        '$.operators[{0}].name': (entry.name for entry in operators),
        '$.operators[{0}].token_hash': (ent.token_hash for ent in operators),
    }
    for path, names in named.items():
        yield from repeated(path, names)
    yield from _check_keys(document)
    if not document.presets:
        yield Problem('$.presets', 'there is no preset', 'one or more')


def _check_keys(document: Document) -> Iterator[Problem]:
    """Find keys that stand for two workspaces, or twice for one."""
    seen: set[str] = set()
    for place, entry in enumerate(document.workspaces):
        for field in ('key_hash', 'old_key_hash'):
            key_hash = getattr(entry, field)
            if key_hash in seen:
                path = f'$.workspaces[{place}].{field}'
                yield Problem(
                    path,
                    f'{key_hash!r} stands there twice',
                    'each only once',
                )
            if key_hash is not None:
                seen.add(key_hash)


def _check_versions(document: Document) -> Iterator[Problem]:
    """Check versions against tasks and against each other."""
    tasks = {task.name for task in document.tasks}
    ids = {entry.id for entry in document.versions}
    for place, entry in enumerate(document.versions):
        path = f'$.versions[{place}]'
        yield from unknown(f'{path}.quality', 'task', entry.quality, tasks)
        if entry.replaces is None:
            continue
        others = ids - {entry.id}
        path = f'{path}.replaces'
        yield from unknown(path, _VERSION, (entry.replaces,), others)


def _check_tasks(document: Document) -> Iterator[Problem]:
    """Check each task class by itself and against models' names."""
    models = {entry.id.partition('@')[0] for entry in document.versions}
    for place, task in enumerate(document.tasks):
        path = f'$.tasks[{place}]'
        if task.output_tokens > task.max_tokens:
            yield Problem(
                f'{path}.output_tokens',
                f'{task.output_tokens} is more than max_tokens',
                f'{task.max_tokens} at most',
            )
        if task.name in models:
            yield Problem(
                f'{path}.name',
                f'"{task.name}" is the name of a model too',
                'a name that tells callers which of the two they ask',
            )


def _check_services(document: Document) -> Iterator[Problem]:
    """Find call rules that can never hold."""
    for place, service in enumerate(document.services):
        path = f'$.services[{place}].calls'
        rules = service.calls
        yield from repeated(f'{path}[{{0}}]', map(_rule_text, rules))
        for number, rule in enumerate(rules):
            if not rule.path or rule.path.startswith('/'):
                yield Problem(
                    f'{path}[{number}].path',
                    f'"{rule.path}" fits no call',
                    'a pattern below the service, without a leading slash',
                )


def _check_workspaces(document: Document) -> Iterator[Problem]:
    """Check what workspaces refer to."""
    ids = {entry.id for entry in document.versions}
    tasks = {task.name for task in document.tasks}
    services = {service.name for service in document.services}
    for place, entry in enumerate(document.workspaces):
        path = f'$.workspaces[{place}]'
        yield from references(f'{path}.versions', _VERSION, entry.versions, ids)
        yield from references(
            f'{path}.services',
            'service',
            entry.services,
            services,
        )
        yield from unknown(f'{path}.targets', 'task', entry.targets, tasks)


def _check_presets(document: Document) -> Iterator[Problem]:
    """Check what presets refer to."""
    ids = {entry.id for entry in document.versions}
    tasks = {task.name for task in document.tasks}
    for place, preset in enumerate(document.presets):
        path = f'$.presets[{place}]'
        named = [entry.task for entry in preset.tasks]
        yield from references(f'{path}.tasks', 'task', named, tasks)
        yield from unknown(f'{path}.preload', _VERSION, preset.preload, ids)
        for number, entry in enumerate(preset.tasks):
            yield from references(
                f'{path}.tasks[{number}].versions',
                _VERSION,
                entry.versions,
                ids,
            )
        yield from _check_rollouts(document, preset, f'{path}.rollouts')


def _check_rollouts(
    document: Document,
    preset: PresetEntry,
    path: str,
) -> Iterator[Problem]:
    """Check the versions that a preset bounds."""
    ids = {entry.id for entry in document.versions}
    rollouts = [entry.version for entry in preset.rollouts]
    yield from references(path, _VERSION, rollouts, ids)
    for number, version in enumerate(rollouts):
        entry = document.version(VersionId(version))
        if entry is not None and entry.stage is not Stage.ROLLOUT:
            yield Problem(
                f'{path}[{number}].version',
                f'"{version}" is {entry.stage.value}',
                'a version whose stage is "rollout"',
            )


def _rule_text(rule: CallRule) -> str:
    """Return what a call rule fits."""
    return f'{rule.method} {rule.path}'
