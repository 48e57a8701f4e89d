"""Tests of the descriptions of result codes and of their page."""

import unittest
from pathlib import Path

from nutmegroad.foundations.codes import MEANINGS, render_page
from nutmegroad.foundations.results import ResultCode

_PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'CODES.md'


class CodesTest(unittest.TestCase):
    def test_each_code_has_one_meaning_in_order(self) -> None:
        codes = [entry.code for entry in MEANINGS]
        self.assertEqual(codes, list(ResultCode))

    def test_page_is_up_to_date(self) -> None:
        self.assertEqual(_PAGE.read_text(), render_page())
