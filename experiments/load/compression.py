"""Configurations whose task classes are as short as the traffic's.

A host judges from the configuration how long an answer takes. Answers and
deadlines of the measurements are a twentieth of the real ones, so the
configuration has to say the same; else a host refuses, rightly, what it
holds for a long answer with a short deadline.
"""

import re

from experiments.deployment import read_example
from experiments.load.traffic import LONGEST, MIXES, TaskMix


def compressed(name: str) -> str:
    """Return an example's configuration with short task classes, as TOML."""
    text = read_example(name)
    for task in MIXES[name].tasks:
        text = _shorten(text, task)
    return text


def _shorten(text: str, task: TaskMix) -> str:
    """Shorten one task class."""
    mark = f"[[tasks]]\nname = '{task.task}'\n"
    before, _, after = text.partition(mark)
    entry, separator, rest = after.partition('\n[[')
    lengths = {
        'output_tokens': round(task.tokens),
        'max_tokens': round(task.tokens * LONGEST),
        'deadline': float(task.deadline),
    }
    for name, length in lengths.items():
        entry = re.sub(rf'(?m)^{name} = .*$', f'{name} = {length}', entry)
    return f'{before}{mark}{entry}{separator}{rest}'
