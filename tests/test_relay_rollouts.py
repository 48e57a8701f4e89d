"""Who gets a new version, and when it counts as bad."""

import itertools
import unittest

from nutmegroad.canary.gate import Observed, RolloutGate, kind_number
from nutmegroad.canary.order_book import OrderBook
from nutmegroad.canary.rollouts import Rollout, RolloutOrder, RolloutRow, Stage
from nutmegroad.canary.sessions import SessionVersions
from nutmegroad.canary.state import RolloutState
from nutmegroad.canary.suspicions import Suspicions
from nutmegroad.fleet.session_marks import SessionMarks
from nutmegroad.foundations.types import (
    HostId,
)
from nutmegroad.routes.requests import (
    SessionName,
)
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import (
    Directory,
    SoftwareVersion,
)
from tests.relay_samples import (
    ENGINES,
    KIND,
    a_book,
    a_request,
    an_entry,
    counts,
)


class RolloutTest(unittest.TestCase):
    """Who gets a new version."""

    #: Versions of the roll-out's row.
    numbers = itertools.count(11)

    def setUp(self) -> None:
        """Make a service with an old and a new upstream."""
        self.clock = ManualClock(start=100)
        self.directory = Directory(self.clock)
        self.directory.put(an_entry('old'))
        book = a_book()
        self.state = RolloutState(
            HostId('me'),
            0.1,
            self.clock.now,
            book,
            lambda: 1,
            orders=OrderBook(self.clock.now, book.end),
        )
        self.sessions = SessionVersions(self.clock, 5)
        self.marks = SessionMarks(self.clock, 6)
        self.gate = RolloutGate(
            self.directory,
            self.state,
            self.sessions,
            self.marks,
            Suspicions(self.clock),
        )
        self.versions('warm-up')
        self.directory.put(an_entry('new', 'v2'))

    def versions(self, name: str, session: str | None = None) -> list[str]:
        """Return the versions that a request may run on."""
        request = a_request(name, session=session)
        found = self.gate.permitted(request, ENGINES)
        return [each.entry.version for each in found]

    def order(self) -> None:
        """Order a roll-out and begin it."""
        order = RolloutOrder(ENGINES, SoftwareVersion('v2'), 20, 7)
        self.state.orders.take(order)

    def enter(self, stage: Stage, opened: float = 0) -> None:
        """Enter a stage."""
        row = RolloutRow(7, stage.value, 98, opened)
        self.state.orders.progress(ENGINES, row, next(self.numbers))

    def share(self) -> float:
        """Return the share of requests that the new version gets."""
        new = sum(self.versions(f'q{n}') == ['v2'] for n in range(1000))
        return new / 1000

    def test_version_that_nobody_ordered_gets_nothing(self) -> None:
        """Pattern: a new worker registers before its order is heard of."""
        self.assertEqual(self.versions('r'), ['v1'])

    def test_share_follows_the_stage(self) -> None:
        """Nothing before the trial, then a tenth, then all, or none."""
        self.order()
        self.assertEqual(self.share(), 0)
        self.enter(Stage.TRIAL)
        self.assertAlmostEqual(self.share(), 0.1, delta=0.04)
        self.enter(Stage.OPEN, opened=90)
        self.assertEqual(self.share(), 1)
        self.enter(Stage.ROLLED_BACK)
        self.assertEqual(self.share(), 0)

    def test_living_session_is_not_moved_in_the_first_half(self) -> None:
        """Pattern: a session of before the order goes on through it."""
        self.order()
        self.enter(Stage.TRIAL)
        name = next(
            f's{n}' for n in range(99) if self.versions('r', f's{n}') == ['v2']
        )
        self.sessions.ran(ENGINES, SessionName(name), SoftwareVersion('v1'))
        self.assertEqual(self.versions('r', name), ['v1'])

    def test_session_that_another_host_has_seen_is_not_moved(self) -> None:
        """Pattern: a session comes to one host, then to another.

        Seen as lsf quiet-1 --seed 566875859236 (PINNED 4): most sessions
        come to several hosts.
        """
        self.order()
        other = SessionMarks(self.clock, 6)
        gate = RolloutGate(
            self.directory,
            self.state,
            SessionVersions(self.clock, 5),
            other,
            Suspicions(self.clock),
        )
        names = [f's{n}' for n in range(200)]
        for name in names:
            request = a_request('r', session=name)
            gate.sent(request, ENGINES, SoftwareVersion('v1'))
        self.marks.told(other.tell_near(), near=True)
        self.enter(Stage.TRIAL)
        moved = [n for n in names if self.versions('r', n) == ['v2']]
        self.assertEqual(moved, [])
        self.assertTrue(
            any(self.versions('r', f't{n}') == ['v2'] for n in range(99)),
        )

    def test_session_of_before_the_order_is_not_moved_elsewhere(self) -> None:
        """Pattern: a session is alive when a roll-out is ordered.

        Seen as lsf-grown quiet-1 --seed 664896862532 (PINNED 4): all four had
        run at another host in the second before the order, which told nobody.
        """
        names = [f's{n}' for n in range(200)]
        book = a_book()
        state = RolloutState(
            HostId('other'),
            0.1,
            self.clock.now,
            book,
            lambda: 1,
            orders=OrderBook(self.clock.now, book.end),
        )
        marks = SessionMarks(self.clock, 6)
        gate = RolloutGate(
            self.directory,
            state,
            SessionVersions(self.clock, 5),
            marks,
            Suspicions(self.clock),
        )
        for name in names:
            request = a_request('r', session=name)
            gate.sent(request, ENGINES, SoftwareVersion('v1'))
        self.clock._now += 1
        state.orders.take(RolloutOrder(ENGINES, SoftwareVersion('v2'), 20, 7))
        self.marks.told(marks.tell_near(), near=True)
        self.order()
        self.enter(Stage.TRIAL)
        moved = [n for n in names if self.versions('r', n) == ['v2']]
        self.assertEqual(moved, [])
        # They live no longer for having been told.
        self.clock._now += 5.5
        moved = [n for n in names if self.versions('r', n) == ['v2']]
        self.assertNotEqual(moved, [])

    def test_trial_begins_when_all_hosts_know_of_it(self) -> None:
        """Pattern: one host hears of the trial a second before another."""
        self.order()
        row = RolloutRow(7, Stage.TRIAL.value, 100)
        self.state.orders.progress(ENGINES, row, 11)
        self.assertEqual(self.share(), 0)
        self.clock._now += 2
        self.assertGreater(self.share(), 0)

    def test_session_on_the_new_version_stays_there(self) -> None:
        """Pattern: a retry on the old version would be a step back."""
        self.order()
        self.enter(Stage.TRIAL)
        self.sessions.ran(ENGINES, SessionName('x'), SoftwareVersion('v2'))
        self.assertEqual(self.versions('r', 'x'), ['v2'])

    def test_host_halts_before_any_verdict(self) -> None:
        """Pattern: the store is down while a bad version fails."""
        self.order()
        self.enter(Stage.TRIAL)
        for _ in range(6):
            self.state.observe(ENGINES, SoftwareVersion('v2'), KIND, poor=True)
        self.assertEqual(self.share(), 0)

    def test_what_broke_counts_once_its_upstream_answers(self) -> None:
        """Pattern: a cut breaks attempts on both versions, at one moment."""
        self.order()
        self.enter(Stage.TRIAL)
        new = next(
            each
            for each in self.directory.of_service(ENGINES)
            if each.entry.version == 'v2'
        )
        request = a_request('r')
        for _ in range(6):
            self.gate.observe(request, new, Observed.BROKEN)
        self.assertGreater(self.share(), 0)
        self.gate.observe(request, new, Observed.SOUND)
        self.assertEqual(self.share(), 0)

    def test_kinds_have_the_same_number_on_every_host(self) -> None:
        """Hosts add counts of the same kind."""
        self.assertEqual(kind_number('a'), kind_number('a'))
        numbers = {kind_number(f'route-{number}') for number in range(200)}
        self.assertEqual(len(numbers), 8)

    def test_halts_on_what_others_have_seen(self) -> None:
        """Pattern: each host sees two failures, all together enough."""
        self.order()
        self.enter(Stage.TRIAL)
        for host in ('a', 'b', 'c'):
            seen = counts(7, new=2, new_poor=2, old=9)
            self.state.told(ENGINES, HostId(host), seen)
        self.assertEqual(self.share(), 0)

    def test_progress_never_goes_back(self) -> None:
        """An older row, read late, changes nothing."""
        self.order()
        self.enter(Stage.OPEN, opened=90)
        late = RolloutRow(7, Stage.TRIAL.value, 100)
        self.state.orders.progress(ENGINES, late, 1)
        self.assertEqual(self.share(), 1)

    def test_ramp_grows_to_the_whole(self) -> None:
        """The share grows from the trial's over its part of the time."""
        order = RolloutOrder(ENGINES, SoftwareVersion('v2'), 100, 7)
        row = RolloutRow(7, Stage.OPEN.value, 0, 50)
        rollout = Rollout(order, row, 1)
        shares = [rollout.share(50 + at, 0.1) for at in (0, 7, 14, 20)]
        self.assertEqual(
            [round(share, 2) for share in shares], [0.1, 0.55, 1, 1]
        )
