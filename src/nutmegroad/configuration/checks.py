"""Checks of a configuration document beyond its schema.

Example::

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
from nutmegroad.contracts.problems import (
    Problem,
    duplicate_names,
    invalid_references,
    undefined_names,
)
from nutmegroad.foundations.types import VersionId

__all__ = ('Problem', 'check_document', 'read_document')

_VERSION: Final = 'version'


def read_document(text: str) -> Document | tuple[Problem, ...]:
    """Parse and check a document written by an operator.

    Args:
        text: The document as TOML.

    Returns:
        The document, or all its problems. For a document that does not conform
        to the schema, only the first problem.
    """
    try:
        document = parse_document(text)
    except msgspec.DecodeError as error:
        return (problem_of(error, text),)
    return check_document(document) or document


def check_document(document: Document) -> tuple[Problem, ...]:
    """Return all problems of a document that conforms to the schema."""
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
    """Find duplicate names and tokens, and a document without presets."""
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
        yield from duplicate_names(path, names)
    yield from _check_keys(document)
    if not document.presets:
        yield Problem('$.presets', 'there is no preset', 'one or more')


def _check_keys(document: Document) -> Iterator[Problem]:
    """Find keys that are used more than once, in one workspace or several."""
    seen: set[str] = set()
    for index, entry in enumerate(document.workspaces):
        for field in ('key_hash', 'old_key_hash'):
            key_hash = getattr(entry, field)
            if key_hash in seen:
                path = f'$.workspaces[{index}].{field}'
                yield Problem(
                    path,
                    f'{key_hash!r} is used more than once',
                    'a different key for each use',
                )
            if key_hash is not None:
                seen.add(key_hash)


def _check_versions(document: Document) -> Iterator[Problem]:
    """Check what versions refer to: tasks, and versions they replace."""
    tasks = {task.name for task in document.tasks}
    ids = {entry.id for entry in document.versions}
    for index, entry in enumerate(document.versions):
        path = f'$.versions[{index}]'
        yield from undefined_names(
            f'{path}.quality', 'task', entry.quality, tasks
        )
        if entry.replaces is None:
            continue
        others = ids - {entry.id}
        path = f'{path}.replaces'
        yield from undefined_names(path, _VERSION, (entry.replaces,), others)


def _check_tasks(document: Document) -> Iterator[Problem]:
    """Check the token limits of task classes, and their names."""
    models = {entry.id.partition('@')[0] for entry in document.versions}
    for index, task in enumerate(document.tasks):
        path = f'$.tasks[{index}]'
        if task.output_tokens > task.max_tokens:
            yield Problem(
                f'{path}.output_tokens',
                f'{task.output_tokens} is more than max_tokens',
                f'{task.max_tokens} at most',
            )
        if task.name in models:
            yield Problem(
                f'{path}.name',
                f'"{task.name}" is also the name of a model',
                'a name that no model has, so that requests are unambiguous',
            )


def _check_services(document: Document) -> Iterator[Problem]:
    """Find call rules that are duplicate or can never match."""
    for index, service in enumerate(document.services):
        path = f'$.services[{index}].calls'
        rules = service.calls
        yield from duplicate_names(f'{path}[{{0}}]', map(_rule_text, rules))
        for rule_index, rule in enumerate(rules):
            if not rule.path or rule.path.startswith('/'):
                yield Problem(
                    f'{path}[{rule_index}].path',
                    f'"{rule.path}" matches no call',
                    'a pattern relative to the service, no leading slash',
                )


def _check_workspaces(document: Document) -> Iterator[Problem]:
    """Check the versions, services and tasks that workspaces refer to."""
    ids = {entry.id for entry in document.versions}
    tasks = {task.name for task in document.tasks}
    services = {service.name for service in document.services}
    for index, entry in enumerate(document.workspaces):
        path = f'$.workspaces[{index}]'
        yield from invalid_references(
            f'{path}.versions', _VERSION, entry.versions, ids
        )
        yield from invalid_references(
            f'{path}.services',
            'service',
            entry.services,
            services,
        )
        yield from undefined_names(
            f'{path}.targets', 'task', entry.targets, tasks
        )


def _check_presets(document: Document) -> Iterator[Problem]:
    """Check the tasks and versions that presets refer to."""
    ids = {entry.id for entry in document.versions}
    tasks = {task.name for task in document.tasks}
    for index, preset in enumerate(document.presets):
        path = f'$.presets[{index}]'
        named = [entry.task for entry in preset.tasks]
        yield from invalid_references(f'{path}.tasks', 'task', named, tasks)
        yield from undefined_names(
            f'{path}.preload', _VERSION, preset.preload, ids
        )
        for task_index, entry in enumerate(preset.tasks):
            yield from invalid_references(
                f'{path}.tasks[{task_index}].versions',
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
    """Check that a preset's rollouts are of versions in that stage."""
    ids = {entry.id for entry in document.versions}
    rollouts = [entry.version for entry in preset.rollouts]
    yield from invalid_references(path, _VERSION, rollouts, ids)
    for index, version in enumerate(rollouts):
        entry = document.version(VersionId(version))
        if entry is not None and entry.stage is not Stage.ROLLOUT:
            yield Problem(
                f'{path}[{index}].version',
                f'"{version}" has the stage "{entry.stage.value}"',
                'a version whose stage is "rollout"',
            )


def _rule_text(rule: CallRule) -> str:
    """Return the method and path of a call rule."""
    return f'{rule.method} {rule.path}'
