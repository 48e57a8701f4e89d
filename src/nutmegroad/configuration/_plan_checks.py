"""Checks that each task class can reach its quality target in each preset.

The quality of a cascade is taken to be at most that of its best step.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from nutmegroad.contracts.documents import Document, WorkspaceEntry
from nutmegroad.contracts.problems import Problem, describe_choices
from nutmegroad.foundations.types import TaskName, VersionId


@dataclass(frozen=True, slots=True)
class _Task:
    """A task class in one preset.

    Attributes:
        path: Path of the preset's entry for it in the document.
        preset: Name of the preset.
        name: Name of the task class.
        target: Quality that answers must reach.
        qualities: Declared quality by version; 0 if none is declared.
    """

    path: str
    preset: str
    name: str
    target: float
    qualities: dict[str, float]

    @property
    def label(self) -> str:
        """The name of the task class and preset for messages."""
        return f'task "{self.name}" under preset "{self.preset}"'

    def best_quality(self, versions: Collection[str]) -> float:
        """Return the highest quality among the given versions."""
        return max(self.qualities[version] for version in versions)


def check_plans(document: Document) -> Iterator[Problem]:
    """Find targets that no version reaches, by preset and workspace."""
    for task in _preset_tasks(document):
        if not task.qualities:
            yield Problem(
                f'{task.path}.versions',
                f'{task.label} has no version',
                'one or more',
            )
            continue
        yield from _check_preset(task)
        for index, workspace in enumerate(document.workspaces):
            # A workspace without versions calls only plain services.
            if workspace.versions:
                path = f'$.workspaces[{index}]'
                yield from _check_workspace(task, workspace, path)


def _preset_tasks(document: Document) -> Iterator[_Task]:
    """Return the task classes of all presets that the document defines."""
    for preset_index, preset in enumerate(document.presets):
        for task_index, entry in enumerate(preset.tasks):
            definition = document.task(TaskName(entry.task))
            if definition is None:
                continue
            yield _Task(
                path=f'$.presets[{preset_index}].tasks[{task_index}]',
                preset=preset.name,
                name=entry.task,
                target=(
                    definition.target if entry.target is None else entry.target
                ),
                qualities={
                    version: _quality(document, version, entry.task)
                    for version in entry.versions
                },
            )


def _quality(document: Document, version: str, task: str) -> float:
    """Return the declared quality of a version; 0 if there is none."""
    entry = document.version(VersionId(version))
    return 0 if entry is None else entry.quality.get(task, 0)


def _check_preset(task: _Task) -> Iterator[Problem]:
    """Check that a version reaches the target in the preset."""
    best = task.best_quality(task.qualities)
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
    """Check that a workspace may use a version that reaches its target."""
    usable = task.qualities.keys() & set(workspace.versions)
    if not usable:
        yield Problem(
            f'{path}.versions',
            f'"{workspace.name}" may use no version for {task.label}',
            describe_choices(task.qualities),
        )
        return
    target = workspace.targets.get(task.name, task.target)
    best = task.best_quality(usable)
    # A target that the preset can't reach is reported once, by the check of
    # the preset.
    if best < target and task.best_quality(task.qualities) >= task.target:
        yield Problem(
            f'{path}.versions',
            f'no version that "{workspace.name}" may use reaches {target:g} '
            f'for {task.label}',
            f'a target of {best:g} at most, or a version of better quality',
        )
