"""Tests of the document checks and of the comparison of documents."""

import unittest

from nutmegroad.configuration.checks import check_document, read_document
from nutmegroad.configuration.differences import compare
from nutmegroad.contracts.documents import Document, parse_document

_TEXT = """
format = 1
name = 'test'
[[versions]]
id = 'small@1'
price_in = 1.0
price_out = 2.0
quality = { tag = 0.8 }
[[versions]]
id = 'large@1'
price_in = 10.0
price_out = 20.0
quality = { tag = 0.95 }
[[versions]]
id = 'large@2'
price_in = 10.0
price_out = 20.0
quality = { tag = 0.96 }
stage = 'rollout'
replaces = 'large@1'
[[tasks]]
name = 'tag'
target = 0.9
[[services]]
name = 'desk'
calls = [
  { method = 'GET', path = 'status/*', repeatable = true },
  { method = 'POST', path = '*', repeatable = false },
]
[[workspaces]]
name = 'outlets'
key_hash = 'KEY'
versions = ['small@1', 'large@1', 'large@2']
services = ['desk']
targets = { tag = 0.92 }
[[presets]]
name = 'ordinary'
tasks = [{ task = 'tag', versions = ['small@1', 'large@1', 'large@2'] }]
rollouts = [{ version = 'large@2', share = 0.1 }]
preload = { 'large@1' = 2 }
[[operators]]
name = 'ana'
token_hash = 'TOKEN'
""".replace('KEY', 'a' * 64).replace('TOKEN', 'b' * 64)

#: Text to replace, its replacement, path of the problem, text in the problem.
_CASES = (
    ("id = 'small@1'", "id = 'large@1'", '$.versions[1].id', 'large@1'),
    ("replaces = 'large@1'", "replaces = 'x@1'", '[2].replaces', 'x@1'),
    ("replaces = 'large@1'", "replaces = 'large@2'", '[2].replaces', '@2'),
    ('{ tag = 0.8 }', '{ tog = 0.8 }', '$.versions[0].quality', 'tog'),
    ("name = 'tag'", "name = 'small'", '$.tasks[0].name', 'small'),
    ('target = 0.9', 'target = 0.99', '.presets[0].tasks[0].target', '0.99'),
    (
        'target = 0.9',
        'target = 0.9\noutput_tokens = 5000',
        '$.tasks[0].output_tokens',
        '5000',
    ),
    ("['desk']", "['portal']", '$.workspaces[0].services[0]', 'portal'),
    (
        "['desk']\ntargets = { tag = 0.92 }",
        "['desk']\ntargets = { tag = 0.97 }",
        '$.workspaces[0].versions',
        '0.97',
    ),
    ('targets = { tag', 'targets = { tog', '$.workspaces[0].targets', 'tog'),
    (
        "versions = ['small@1', 'large@1', 'large@2']\nservices",
        "versions = ['small@1', 'large@1', 'x@1']\nservices",
        '$.workspaces[0].versions[2]',
        'x@1',
    ),
    (
        "versions = ['small@1', 'large@1', 'large@2'] }",
        "versions = ['large@1', 'large@1'] }",
        '$.presets[0].tasks[0].versions[1]',
        'large@1',
    ),
    ("{ task = 'tag'", "{ task = 'tog'", '.tasks[0]', 'tog'),
    ("'large@2', share", "'large@1', share", 'rollouts[0].version', 'steady'),
    ("'large@2', share", "'x@1', share", '$.presets[0].rollouts[0]', 'x@1'),
    ("{ 'large@1' = 2 }", "{ 'x@1' = 2 }", '$.presets[0].preload', 'x@1'),
    ("'status/*'", "'/status'", '$.services[0].calls[0].path', '/status'),
    # Errors that the schema itself detects.
    ('format = 1', 'format = 2', '$.format', '2'),
    ("stage = 'rollout'", "stage = 'new'", '$.versions[2].stage', 'rollout'),
    ('price_in = 1.0', "price_in = 'x'", '$.versions[0].price_in', 'x'),
    ('price_in = 1.0', 'prize = 1.0', '$.versions[0]', 'prize'),
    ('{ tag = 0.8 }', '{ tag = 8.0 }', '$.versions[0].quality[...]', '<= 1'),
    ('format = 1', 'format =', '$', 'TOML'),
)


def _replace(old: str, new: str) -> str:
    """Return the document text with one replacement, which must apply."""
    if old not in _TEXT:
        raise AssertionError(old)
    return _TEXT.replace(old, new, 1)


def _differences(old: str, new: str) -> list[str]:
    """Return the differences that a replacement in the text makes."""
    before = parse_document(_TEXT)
    after = parse_document(_replace(old, new))
    return [str(difference) for difference in compare(before, after)]


class ReadTest(unittest.TestCase):
    def test_valid_document(self) -> None:
        document = read_document(_TEXT)
        self.assertIsInstance(document, Document)

    def test_each_problem_names_path_and_value(self) -> None:
        for old, new, path, bad in _CASES:
            with self.subTest(new=new):
                problems = read_document(_replace(old, new))
                if isinstance(problems, Document):
                    self.fail('The document was accepted.')
                found = [str(each) for each in problems if path in each.path]
                self.assertIn(bad, ' '.join(found))

    def test_secret_in_place_of_its_hash_is_hidden(self) -> None:
        problems = read_document(_replace('a' * 64, 'hunter2'))
        self.assertNotIn('hunter2', str(problems))

    def test_workspace_without_a_version_for_a_task(self) -> None:
        text = _replace(
            "tasks = [{ task = 'tag', versions = ['small@1', ",
            "tasks = [{ task = 'tag', versions = [",
        ).replace("['small@1', 'large@1', 'large@2']", "['small@1']")
        problems = check_document(parse_document(text))
        self.assertEqual(
            [problem.path for problem in problems],
            ['$.workspaces[0].versions'],
        )


class CompareTest(unittest.TestCase):
    def test_equal_documents_have_no_differences(self) -> None:
        document = parse_document(_TEXT)
        self.assertEqual(compare(document, document), ())

    def test_sentences_of_differences(self) -> None:
        cases = (
            (
                "'large@2']\nservices",
                "'large@3']\nservices",
                [
                    'workspace outlets: It is allowed version large@3.',
                    'workspace outlets: It is no longer allowed version '
                    'large@2.',
                ],
            ),
            (
                'share = 0.1',
                'share = 0.2',
                [
                    'preset ordinary, rollout large@2: Its share changes '
                    'from 0.1 to 0.2.',
                ],
            ),
            (
                "stage = 'rollout'",
                "stage = 'steady'",
                [
                    'version large@2: Its stage changes from rollout to '
                    'steady.',
                ],
            ),
            (
                "{ task = 'tag', versions = ['small@1', 'large@1'",
                "{ task = 'tag', versions = ['large@1', 'small@1'",
                [
                    'preset ordinary, task tag: The order of its versions '
                    'changes.',
                ],
            ),
            (
                "name = 'ana'",
                "name = 'ben'",
                ['operator ana: It is removed.', 'operator ben: It is added.'],
            ),
            (
                'a' * 64,
                'c' * 64,
                ['workspace outlets: Its key hash changes.'],
            ),
            (
                "preload = { 'large@1' = 2 }",
                "preload = { 'small@1' = 2 }",
                [
                    'preset ordinary: Its preload for large@1 changes from '
                    '2 to none.',
                    'preset ordinary: Its preload for small@1 changes from '
                    'none to 2.',
                ],
            ),
        )
        for old, new, expected in cases:
            with self.subTest(new=new):
                self.assertEqual(_differences(old, new), expected)
