"""Tests of reading, validating and printing the settings."""

import unittest

from nutmegroad.foundations.exceptions import SettingsError
from nutmegroad.foundations.types import Address
from nutmegroad.kernel.settings import (
    Settings,
    SettingSource,
    format_settings,
    read_settings,
)

_KEY = 'a-key-that-nobody-guesses'
_ENVIRON = {'NUTMEGROAD_CLUSTER_KEY': _KEY, 'NUTMEGROAD_LEASE': '9'}
_ARGV = (
    '--host=kent-1',
    '--domain=kent-hall',
    '--callers=127.0.0.1:1',
    '--operators=127.0.0.1:2',
    '--peers=127.0.0.1:3',
    '--platform=127.0.0.1:4',
)


def _read(*more: str) -> Settings:
    return read_settings([*_ARGV, *more], _ENVIRON)[0]


def _problems(*more: str, environ: dict[str, str] = _ENVIRON) -> list[str]:
    try:
        read_settings([*_ARGV, *more], environ)
    except SettingsError as error:
        return str(error).splitlines()
    return []


class ReadTest(unittest.TestCase):
    def test_defaults_match_the_dataclass(self) -> None:
        settings, _ = read_settings(
            _ARGV,
            {'NUTMEGROAD_CLUSTER_KEY': _KEY},
        )
        expected = Settings(
            settings.host,
            settings.domain,
            Address('127.0.0.1', 1),
            Address('127.0.0.1', 2),
            Address('127.0.0.1', 3),
            Address('127.0.0.1', 4),
            _KEY,
        )
        self.assertEqual(settings, expected)

    def test_flag_takes_precedence_over_environment(self) -> None:
        self.assertEqual(_read().lease, 9)
        self.assertEqual(_read('--lease', '7').lease, 7)

    def test_seeds_are_parsed_as_addresses(self) -> None:
        seeds = _read('--seeds', '10.0.0.1:5, 10.0.0.2:6').seeds
        self.assertEqual(
            seeds, (Address('10.0.0.1', 5), Address('10.0.0.2', 6))
        )

    def test_each_invalid_value_is_reported(self) -> None:
        cases = (
            ('--host', 'Kent'),
            ('--callers', 'localhost:80'),
            ('--callers', '127.0.0.1:65536'),
            ('--callers', '127.0.0.1'),
            ('--peers', '0.0.0.0:80'),
            ('--platform', '127.0.0.1:0'),
            ('--seeds', '127.0.0.1:80,'),
            ('--lease', 'nan'),
            ('--drain', '-1'),
            ('--max-body', '1e6'),
            ('--log-format', 'xml'),
            ('--seed', 'x'),
            ('--poll', '5'),
            ('--operators', '127.0.0.1:1'),
        )
        for flag, text in cases:
            with self.subTest(flag=flag, text=text):
                (problem,) = _problems(f'{flag}={text}')
                self.assertIn(flag[2:].replace('-', '_'), problem)
                self.assertIn(text, problem)
                self.assertIn('expected', problem)

    def test_all_problems_are_reported_together(self) -> None:
        problems = _problems('--lease=x', '--host', 'B', '--no', environ={})
        message = '\n'.join(problems)
        for name in ('lease', 'host', '--no', 'NUTMEGROAD_CLUSTER_KEY'):
            self.assertIn(name, message)
        self.assertEqual(len(problems), 4)


class SecretTest(unittest.TestCase):
    def test_secret_given_as_flag_is_rejected_and_not_shown(self) -> None:
        for argv in (['--cluster-key', _KEY], [f'--cluster-key={_KEY}']):
            with self.subTest(argv=argv):
                (problem,) = _problems(*argv)
                self.assertNotIn(_KEY, problem)

    def test_invalid_secret_is_not_shown(self) -> None:
        environ = {'NUTMEGROAD_CLUSTER_KEY': 'hunter2'}
        (problem,) = _problems(environ=environ)
        self.assertNotIn('hunter2', problem)

    def test_printed_settings_show_sources_but_no_secret(self) -> None:
        argv = [*_ARGV, '--print-settings']
        settings, origins = read_settings(argv, _ENVIRON)
        printed = format_settings(origins)
        sources = {origin.name: origin.source for origin in origins}
        self.assertTrue(settings.print_settings)
        self.assertIs(sources['host'], SettingSource.FLAG)
        self.assertIs(sources['lease'], SettingSource.ENVIRONMENT)
        self.assertIs(sources['poll'], SettingSource.DEFAULT)
        self.assertNotIn(_KEY, printed)
        self.assertNotIn(_KEY, repr(settings))
