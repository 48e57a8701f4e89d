"""Configurations of the example deployments."""

import hashlib
import unittest
from pathlib import Path

from nutmegroad.configuration.checks import read_document
from nutmegroad.contracts.documents import Concern, Document, Stage

_EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
_CONCERNS = {'lesen': Concern.LATENCY, 'cascade': Concern.EXPOSURE}
#: Calls that the requirements forbid to repeat, as method and path.
_UNREPEATABLE = {
    'lesen': ('POST', 'receipts'),
    'cascade': ('POST', 'manifests'),
}


def _read(name: str) -> Document:
    found = read_document((_EXAMPLES / name / 'config.toml').read_text())
    if isinstance(found, Document):
        return found
    raise AssertionError('\n'.join(map(str, found)))


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


class ExamplesTest(unittest.TestCase):
    def test_configurations_are_valid(self) -> None:
        for name in _CONCERNS:
            with self.subTest(name=name):
                document = _read(name)
                self.assertEqual(document.name, name)
                self.assertEqual(len(document.workspaces), 10)
                self.assertEqual(
                    [preset.name for preset in document.presets],
                    ['ordinary', 'peak', 'maintenance'],
                )

    def test_most_workspaces_have_the_concern_of_the_deployment(self) -> None:
        for name, concern in _CONCERNS.items():
            with self.subTest(name=name):
                concerns = [
                    workspace.concern for workspace in _read(name).workspaces
                ]
                self.assertGreater(concerns.count(concern), 5)

    def test_keys_and_tokens_are_the_demo_ones(self) -> None:
        for name in _CONCERNS:
            document = _read(name)
            for workspace in document.workspaces:
                with self.subTest(name=name, workspace=workspace.name):
                    key_hash = _hash(f'key-{workspace.name}')
                    self.assertEqual(workspace.key_hash, key_hash)
            for operator in document.operators:
                with self.subTest(name=name, operator=operator.name):
                    token_hash = _hash(f'token-{operator.name}')
                    self.assertEqual(operator.token_hash, token_hash)

    def test_unrepeatable_calls_are_declared(self) -> None:
        for name, (method, path) in _UNREPEATABLE.items():
            with self.subTest(name=name):
                rules = {
                    (rule.method, rule.path): rule.repeatable
                    for service in _read(name).services
                    for rule in service.calls
                }
                self.assertIs(rules[method, path], False)
        manifest = next(
            task for task in _read('cascade').tasks if task.name == 'manifest'
        )
        self.assertIs(manifest.repeatable, False)

    def test_isolated_hosts_use_only_steady_versions(self) -> None:
        for name in _CONCERNS:
            for entry in _read(name).versions:
                with self.subTest(name=name, version=entry.id):
                    steady = entry.stage is Stage.STEADY
                    self.assertIs(entry.isolated, steady)
