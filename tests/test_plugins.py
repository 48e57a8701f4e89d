"""Tests of plug-in registration, including the example in docs/PLUGINS.md."""

import random
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from nutmegroad.contracts.upstreams import EngineReport
from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.exceptions import RegistryError
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import lookup, register
from nutmegroad.kernel.settings import read_settings
from nutmegroad.routing.directory import Directory

PAGE = Path(__file__).parent.parent / 'docs' / 'PLUGINS.md'
VERSION = VersionId('draft@1')
FLAGS = (
    '--host=kent-1',
    '--domain=kent-hall',
    '--callers=127.0.0.1:0',
    '--operators=127.0.0.1:0',
    '--peers=127.0.0.1:0',
    '--platform=127.0.0.1:9',
)
SECRETS = {'NUTMEGROAD_CLUSTER_KEY': 'a key for the tests alone'}


def example() -> str:
    """Return the Python example of the page."""
    return PAGE.read_text().partition('```python\n')[2].partition('```')[0]


def engine(name: str) -> UpstreamInfo:
    """Return the host list entry of an engine."""
    return UpstreamInfo(
        UpstreamId(name),
        DomainId('kent-hall'),
        UpstreamKind.ENGINE,
        Address('127.0.0.1', 1),
    )


class PluginsTest(unittest.TestCase):
    def import_example(self) -> None:
        directory_path = self.enterContext(TemporaryDirectory())
        (Path(directory_path) / 'first_listed.py').write_text(example())
        self.enterContext(
            patch.object(sys, 'path', [directory_path, *sys.path])
        )
        load_plugins(('first_listed',))

    def test_the_documented_example_registers_a_working_selector(self) -> None:
        self.import_example()
        settings, _ = read_settings(FLAGS, SECRETS)
        kernel = Kernel(settings, SystemClock(), random.Random(1))
        directory = Directory(kernel.clock)
        kernel.provide(Directory, directory)
        directory.update((engine('b'), engine('a')))
        report = EngineReport((VERSION,), 0, 0, 8, False, True)
        for name in ('a', 'b'):
            directory.reported(UpstreamId(name), report)
        selector: Any = lookup('selector', 'first-listed')(kernel)
        none_excluded: frozenset[UpstreamId] = frozenset()
        choice = selector.choose(None, VERSION, none_excluded)
        self.assertEqual('a', choice.state.info.upstream)
        both = frozenset((UpstreamId('a'), UpstreamId('b')))
        self.assertIsInstance(selector.choose(None, VERSION, both), Refusal)

    def test_error_for_an_unknown_name_lists_the_known_names(self) -> None:
        load_plugins()
        with self.assertRaisesRegex(RegistryError, 'cheapest'):
            lookup('planner', 'dearest-of-all')

    def test_registering_a_name_twice_is_rejected(self) -> None:
        register('test kind', 'taken')(list)
        with self.assertRaisesRegex(RegistryError, 'taken'):
            register('test kind', 'taken')(dict)

    def test_error_for_a_missing_module_names_it(self) -> None:
        with self.assertRaisesRegex(RegistryError, 'no_such_module'):
            load_plugins(('no_such_module',))
