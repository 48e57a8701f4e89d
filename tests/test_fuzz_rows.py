"""Fuzz test: rows of the list of upstreams with any content.

Judged: nothing fails, the other rows are applied, an upstream that leaves gets
no new work, and each upstream that is in use is believed only what its
own entry says. Each rule is proved by a mutant that breaks it.
"""

import json
import unittest
from collections.abc import Callable, Iterable
from typing import Any, Final
from unittest.mock import patch

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.foundations.decoding import is_host_ip
from nutmegroad.foundations.types import ServiceName, UpstreamId
from nutmegroad.tables.row_guard import RowGuard
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Directory, UpstreamEntry
from tests.relay_samples import entry_row, upstream_sink
from tests.test_odd_rows import ENTRY, FIELD_TEXTS, NESTED, with_field

SERVICE: Final = ServiceName('s')
LARGEST_PORT: Final = 65_535

FIELDS: Final = (*ENTRY, 'born', 'coldRemainingMs', 'sequence', 'unknownField')

#: The JSON of a value that a field may have.
JSON_VALUES: Final = st.one_of(
    st.sampled_from(tuple(FIELD_TEXTS.values())),
    st.integers(-(10**30), 10**400).map(str),
    st.floats(allow_nan=False, allow_infinity=False).map(json.dumps),
    st.text(max_size=20).map(json.dumps),
    st.lists(st.integers(), max_size=3).map(json.dumps),
    st.tuples(st.text(max_size=9), st.integers(-5, 10**6)).map(
        lambda parts: json.dumps(f'{parts[0]}:{parts[1]}')
    ),
)

ROW_TEXTS: Final = st.one_of(
    st.binary(max_size=60),
    st.just(NESTED.encode()),
    st.builds(
        lambda name, content: with_field(
            {**ENTRY, 'service': SERVICE}, name, content
        ),
        st.sampled_from(FIELDS),
        JSON_VALUES,
    ),
)

#: Rows of other writers: under keys of their own, or over that of an upstream.
ODD_ROWS: Final = st.lists(
    st.tuples(st.sampled_from(('odd-1', 'odd-2', 'kept', '\u00e9')), ROW_TEXTS),
    max_size=6,
)


class Fleet:
    """One host's directory, fed by a list that others write to as well."""

    def __init__(self) -> None:
        clock = ManualClock()
        self.directory = Directory(clock)
        self.sink = upstream_sink(self.directory, clock)
        self.sink.update_services([SERVICE])
        self._version = 0

    def apply(self, *rows: StoredRow, whole: bool = False) -> None:
        """Apply rows, as changes or as a full snapshot."""
        self._version += 1
        read = RowsRead(rows, self._version, 0)
        if whole:
            self.sink.replace(read)
        else:
            self.sink.apply(read)

    def used(self) -> set[UpstreamId]:
        """Return the upstreams that requests are sent to."""
        members = self.directory.of_service(SERVICE)
        return {each.entry.upstream for each in members}


def play(odd: Iterable[tuple[str, bytes]], *, whole: bool) -> None:
    """Let upstreams join and leave beside odd rows, and judge what is used.

    Raises:
        AssertionError: If a rule is broken.
    """
    fleet = Fleet()
    rows = [StoredRow(key, content, 2) for key, content in odd]
    before, after = entry_row('stays', 1), entry_row('leaves', 1)
    fleet.apply(before, *rows, after, whole=whole)
    assert {'stays', 'leaves'} <= fleet.used(), 'other rows are not applied'
    leaving = StoredRow('leaves', b'', 3, removed=True)
    fleet.apply(*rows, leaving)
    assert 'leaves' not in fleet.used(), 'an upstream that left is in use'
    assert 'stays' in fleet.used(), 'an upstream that stays is not in use'
    for upstream in fleet.used():
        known = fleet.directory.find(upstream)
        assert known is not None
        check_plausible(known.entry)
    fleet.apply(entry_row('kept', 4))
    assert 'kept' in fleet.used(), 'an overwritten entry is lost for good'


def check_plausible(entry: UpstreamEntry) -> None:
    """Check that what is believed of an upstream can be calculated with."""
    assert is_host_ip(entry.address.ip), 'address of no machine'
    assert 0 < entry.address.port <= LARGEST_PORT, 'port out of range'
    assert float(entry.slots) >= 1, 'slots'
    assert entry.cold_seconds + entry.started_ms < float('inf'), 'times'


class FuzzRowsTest(unittest.TestCase):
    """A host keeps up with its list whatever rows others write to it."""

    def setUp(self) -> None:
        # What is left out is logged; the lines are another test's.
        self.enterContext(patch('nutmegroad.tables.row_guard._LOG'))
        self.enterContext(patch('nutmegroad.upstreams.directory._LOG'))

    # Guards against a list that is no longer followed, an upstream that stays
    # in use, and numbers that requests fail at.
    @settings(
        max_examples=300,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(odd=ODD_ROWS, whole=st.booleans())
    def test_rows_with_any_content(
        self, odd: list[tuple[str, bytes]], whole: bool
    ) -> None:
        play(odd, whole=whole)

    def test_a_mutant_without_isolation_is_found(self) -> None:
        def apply_all(
            _: RowGuard,
            rows: Iterable[StoredRow],
            apply_row: Callable[[StoredRow], None],
            drop: Any = None,
        ) -> None:
            for row in rows:
                apply_row(row)

        nested = [('odd-1', with_field(ENTRY, 'unknownField', NESTED))]
        play(nested, whole=False)
        with (
            patch.object(RowGuard, 'apply', apply_all),
            self.assertRaises(ValueError),
        ):
            play(nested, whole=False)

    def test_a_mutant_that_believes_addresses_is_found(self) -> None:
        odd = {**ENTRY, 'service': SERVICE, 'state': 'ready'}
        rows = [('odd-1', with_field(odd, 'address', '"0.0.0.0:80"'))]
        play(rows, whole=False)
        with (
            patch('nutmegroad_platform.rows.is_host_ip', return_value=True),
            self.assertRaisesRegex(AssertionError, 'no machine'),
        ):
            play(rows, whole=False)
