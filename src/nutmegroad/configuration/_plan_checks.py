"""Checks that each task class can be answered under each preset.

A cascade is never counted as better than the best of its steps.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from nutmegroad.contracts.documents import Document, WorkspaceEntry
from nutmegroad.contracts.problems import Problem, choices_of
from nutmegroad.foundations.types import TaskName, VersionId


@dataclass(frozen=True, slots=True)
class _Task:
    """A task class under a preset.

    Attributes:
        path: Its path in the document.
        preset: The preset's name.
        name: The task class's name.
        target: Quality that answers must reach.
        qualities: Declared quality of its versions; 0 if none is declared.
    """

    path: str
    preset: str
    name: str
    target: float
    qualities: dict[str, float]

    @property
    def label(self) -> str:
        """Return how messages call it."""
        return f'task "{self.name}" under preset "{self.preset}"'

    def best(self, versions: Collection[str]) -> float:
        """Return the best quality among some versions."""
        return max(self.qualities[version] for version in versions)


def check_plans(document: Document) -> Iterator[Problem]:
    """Find targets that nothing reaches, for presets and workspaces."""
    for task in _tasks_of(document):
        if not task.qualities:
            yield Problem(
                f'{task.path}.versions',
                f'{task.label} has no version',
                'one or more',
            )
            continue
        yield from _check_preset(task)
        for place, workspace in enumerate(document.workspaces):
            # Without versions it calls plain services alone.
            if workspace.versions:
                path = f'$.workspaces[{place}]'
                yield from _check_workspace(task, workspace, path)


def _tasks_of(document: Document) -> Iterator[_Task]:
    """Return the known task classes of all presets."""
    for place, preset in enumerate(document.presets):
        for number, entry in enumerate(preset.tasks):
            defined = document.task(TaskName(entry.task))
            if defined is None:
                continue
            yield _Task(
                path=f'$.presets[{place}].tasks[{number}]',
                preset=preset.name,
                name=entry.task,
                target=(
                    defined.target if entry.target is None else entry.target
                ),
                qualities={
                    version: _quality(document, version, entry.task)
                    for version in entry.versions
                },
            )


def _quality(document: Document, version: str, task: str) -> float:
    """Return the declared quality; 0 if none is."""
    entry = document.version(VersionId(version))
    return 0 if entry is None else entry.quality.get(task, 0)


def _check_preset(task: _Task) -> Iterator[Problem]:
    """Check that some version reaches the preset's target."""
    best = task.best(task.qualities)
    if best < task.target:
        yield Problem(
            f'{task.path}.target',
            f'no version of {task.label} reaches {task.target:g}',
            f'{best:g} at most, or a version of better quality',
        )


def _check_workspace(
    task: _Task,
    workspace: WorkspaceEntry,
    path: str,
) -> Iterator[Problem]:
    """Check that a workspace may use versions that reach its target."""
    usable = task.qualities.keys() & set(workspace.versions)
    if not usable:
        yield Problem(
            f'{path}.versions',
            f'"{workspace.name}" may use no version for {task.label}',
            choices_of(task.qualities),
        )
        return
    target = workspace.targets.get(task.name, task.target)
    best = task.best(usable)
    # What no workspace can reach is told once, of the preset.
    if best < target and task.best(task.qualities) >= task.target:
        yield Problem(
            f'{path}.versions',
            f'no version that "{workspace.name}" may use reaches {target:g} '
            f'for {task.label}',
            f'a target of {best:g} at most, or a version of better quality',
        )
