"""Example configurations with answers and deadlines of the compressed traffic.

A host estimates from the configuration how long an answer takes. Answers and
deadlines of the measurements are a twentieth of the real ones, and the
configuration has to state the same: otherwise a host would refuse the
requests, since it would expect long answers with short deadlines.
"""

import re

from experiments.deployment import read_example
from experiments.load.traffic import MAX_LENGTH_FACTOR, MIXES, TaskMix


def compressed_configuration(name: str) -> str:
    """Return an example's configuration for compressed traffic, as TOML."""
    text = read_example(name)
    for task in MIXES[name].tasks:
        text = _shorten_task(text, task)
    return text


def _shorten_task(text: str, task: TaskMix) -> str:
    """Replace lengths and deadline of one task class in a TOML text."""
    header = f"[[tasks]]\nname = '{task.task}'\n"
    before, _, after = text.partition(header)
    entry, separator, rest = after.partition('\n[[')
    settings = {
        'output_tokens': round(task.tokens),
        'max_tokens': round(task.tokens * MAX_LENGTH_FACTOR),
        'deadline': float(task.deadline),
    }
    for name, setting in settings.items():
        entry = re.sub(rf'(?m)^{name} = .*$', f'{name} = {setting}', entry)
    return f'{before}{header}{entry}{separator}{rest}'
