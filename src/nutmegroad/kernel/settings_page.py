"""Generates the page ``docs/SETTINGS.md`` from the setting specifications.

Run ``python -m nutmegroad.kernel.settings_page > docs/SETTINGS.md``.
"""

import sys
from typing import Final

from nutmegroad.kernel._setting_specs import SPECS, Spec

_HEAD: Final = """\
# Settings

Generated from `src/nutmegroad/kernel/_setting_specs.py` by
`python -m nutmegroad.kernel.settings_page > docs/SETTINGS.md`; a test
checks that the page is up to date.

```sh
# runs beside `make serve`
export NUTMEGROAD_CLUSTER_KEY='a secret of at least 16 characters'
nutmegroadd --host kent-hall-1 --domain kent-hall \\
  --callers 0.0.0.0:8080 --operators 0.0.0.0:8081 \\
  --peers 127.0.0.1:8082 --platform 127.0.0.1:8090 --print-settings
```

Each setting of `nutmegroadd` is a flag or an environment variable; the flag
takes precedence. Secrets are read from the environment only, since other users
of the machine can see the flags of a process, and are never printed. All
settings are validated at start: if any is invalid, each one is reported with
its value and what is expected, nothing is started, and the exit code is 2.
`--print-settings` prints each setting with its source and exits.

| flag | variable | what it is for | expected | default |
| --- | --- | --- | --- | --- |
"""


def render_page() -> str:
    """Return the page as Markdown."""
    rows = '\n'.join(_row(spec) for spec in SPECS)
    return f'{_HEAD}{rows}\n'


def _row(spec: Spec) -> str:
    """Return the table row of a setting."""
    flag = '(environment only)' if spec.secret else f'`{spec.flag}`'
    default = f'`{spec.default}`' if spec.default else 'none'
    if spec.default is None:
        default = 'must be set'
    cells = (
        flag,
        f'`{spec.variable}`',
        spec.description,
        spec.expected,
        default,
    )
    return f'| {" | ".join(cells)} |'


if __name__ == '__main__':
    sys.stdout.write(render_page())
