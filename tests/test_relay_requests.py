"""What requests say, and what they are told."""

import unittest

from nutmegroad.escalation.confidence import read_unsure
from nutmegroad.escalation.decisions import (
    EscalationCase,
    NotEscalated,
    first_model,
    larger_model,
)
from nutmegroad.escalation.headroom import Expectation
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    Ran,
    ServiceName,
)
from nutmegroad.relay.budgets import Purpose, RepeatBudget
from nutmegroad.relay.events import WholeEvents
from nutmegroad.relay.refusals import spell
from nutmegroad.routes.deployment import (
    ConfigurationVersion,
    RouteName,
    RoutingTable,
)
from nutmegroad.routes.requests import (
    read_generation,
    read_wait,
)
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import (
    Directory,
    UpstreamEntry,
)
from tests.relay_samples import (
    ENGINES,
    LARGE,
    NORTH,
    SMALL,
    a_request,
    a_route,
    an_entry,
)


class RoutingTableTest(unittest.TestCase):
    """Which route a request takes."""

    def test_longest_prefix_of_the_host_wins(self) -> None:
        """A path must begin with the whole prefix, slash included."""
        routes = tuple(
            a_route(name=RouteName(prefix), prefix=prefix, host=host)
            for host, prefix in (('h', '/a/'), ('h', '/a/b/'), ('g', '/a/b/c/'))
        )
        table = RoutingTable(ConfigurationVersion(1), routes, {})
        cases = (
            ('h', '/a/b/c/d', '/a/b/'),
            ('h', '/a/bc', '/a/'),
            ('h', '/a', None),
            ('x', '/a/b/', None),
        )
        for host, path, expected in cases:
            with self.subTest(path=path):
                found = table.match(host, path)
                self.assertEqual(found and found.prefix, expected)


class RequestTest(unittest.TestCase):
    """What headers say of a request."""

    def test_generation_is_read(self) -> None:
        """Parts in order; what can't be read counts as nothing."""
        from nutmegroad_platform.names import HEADERS

        found = read_generation(
            {
                HEADERS.model: '*',
                HEADERS.usage: '30,7',
                HEADERS.prompt_parts: 'a:10, b:20,broken',
            },
            HEADERS,
        )
        assert found is not None
        self.assertEqual(found.subject, 'a')
        self.assertEqual((found.prompt_tokens, found.output_tokens), (30, 7))
        self.assertIsNone(read_generation({}, HEADERS))

    def test_wait_is_read(self) -> None:
        """Nonsense stands for the longest wait."""
        cases = (('1500', 1.5), ('', 9), ('-3', 9), ('1e3', 9), ('0', 9))
        for text, expected in cases:
            with self.subTest(text=text):
                self.assertEqual(read_wait(text, 9), expected)


class EventsTest(unittest.TestCase):
    """Whole events only."""

    def test_events_are_cut_at_any_byte(self) -> None:
        """Whatever the chunks, the events are the same."""
        text = b'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda'
        for step in range(1, len(text)):
            splitter = WholeEvents()
            events = []
            for begin in range(0, len(text), step):
                events.extend(splitter.feed(text[begin : begin + step]))
            self.assertEqual([event.number for event in events], ['1', '2'])
            self.assertEqual(splitter.rest, b'id: 3\nda')


class BudgetTest(unittest.TestCase):
    """Repeats within the operator's bound."""

    def test_sum_over_hosts_keeps_to_the_ratio(self) -> None:
        """Pattern: every request fails on every host of a large fleet."""
        clock = ManualClock()
        repeats = 0
        for _ in range(50):
            budget = RepeatBudget(clock, 0.9, 10)
            for _ in range(20):
                budget.requested(ENGINES)
                repeats += budget.spend(ENGINES, Purpose.FAILURE)
        self.assertLessEqual(repeats, 0.9 * 1000 + 100)
        self.assertGreater(repeats, 700)

    def test_repeats_that_follow_on_a_peak_are_allowed(self) -> None:
        """Pattern: a burst, then upstreams crash; answers are repeated late.

        The operator measures repeats by the window before as well. On a day
        of 79 hosts 242 doubted answers were kept for want of budget in the
        eight seconds after such a peak.
        """
        clock = ManualClock()
        budget = RepeatBudget(clock, 0.9, 10)
        for _ in range(100):
            budget.requested(ENGINES)
        clock._now += 12
        for _ in range(20):
            budget.requested(ENGINES)
        repeats = 0
        while budget.spend(ENGINES, Purpose.FAILURE):
            repeats += 1
        self.assertGreater(repeats, 50)
        self.assertLessEqual(repeats, 0.9 * 100)
        # What is older than two windows counts no more.
        clock._now += 11
        budget.requested(ENGINES)
        later = 0
        while budget.spend(ENGINES, Purpose.FAILURE):
            later += 1
        self.assertLess(later, 20)

    def test_escalations_leave_repeats_for_failures(self) -> None:
        """Pattern: a peak of hard prompts, then a worker breaks."""
        budget = RepeatBudget(ManualClock(), 0.9, 10)
        for _ in range(100):
            budget.requested(ENGINES)
        while budget.spend(ENGINES, Purpose.ESCALATION):
            pass
        self.assertTrue(budget.spend(ENGINES, Purpose.FAILURE))


class EscalationTest(unittest.TestCase):
    """When a larger model is asked."""

    def test_table_of_opinions(self) -> None:
        """Unsure, late, out of attempts, and too long for what is left."""
        soon, late = Expectation(0.2, 1), Expectation(5.0, 6)
        cases = (
            (EscalationCase(30, 0.1, 2, soon, 9), LARGE),
            (EscalationCase(30, 0.1, 2, late, 9), NotEscalated.LATE),
            (EscalationCase(10, 0.1, 2, late, 9), LARGE),
            (EscalationCase(10, 0.1, 0, soon, 9), NotEscalated.ATTEMPTS),
            # Pattern: a route's timeout is cut to a few seconds.
            (
                EscalationCase(10, 0.1, 2, Expectation(0.2, 3), 4),
                NotEscalated.TIME,
            ),
        )
        for case, expected in cases:
            with self.subTest(case=case):
                self.assertEqual(larger_model(a_route(), case), expected)

    def test_only_a_model_that_has_a_larger_one_can_doubt(self) -> None:
        """Sure, unsure, without a confidence, and the largest itself."""
        cases = (
            (SMALL, '90', None),
            (SMALL, '30', 30),
            (SMALL, None, None),
            (SMALL, 'perhaps', None),
            (LARGE, '10', None),
            (None, '10', None),
        )
        for model, text, expected in cases:
            with self.subTest(model=model, text=text):
                found = read_unsure(a_route(), model, text)
                self.assertEqual(found, expected)

    def test_a_larger_model_takes_nobodys_place(self) -> None:
        """Pattern: a failure domain is cut off with few engines left.

        There 114 requests stood at an engine of 48 slots, and each doubt was
        answered by a model that reads ten times as long; most were late.
        """
        cases = (
            (0, 0.4, LARGE),
            (0.4, 0.4, LARGE),
            (1.9, 0.4, NotEscalated.ROOM),
            (0, 0.9, LARGE),
            (0, 1.2, NotEscalated.ROOM),
            (0, 2.4, NotEscalated.ROOM),
        )
        for ahead, crowd, expected in cases:
            found = Expectation(0.2 + ahead, 1 + ahead, ahead, crowd)
            with self.subTest(ahead=ahead, crowd=crowd):
                model = larger_model(
                    a_route(), EscalationCase(20, 0.1, 2, found, 9)
                )
                self.assertEqual(model, expected)

    def test_request_that_runs_once_begins_with_the_largest(self) -> None:
        """It can't be asked again, so the safest model answers it."""
        cases = ((True, 3, SMALL), (False, 3, LARGE), (True, 1, LARGE))
        for resumable, attempts, expected in cases:
            route = a_route(resumable=resumable, max_attempts=attempts)
            with self.subTest(resumable=resumable, attempts=attempts):
                found = first_model(a_request(route=route))
                self.assertEqual(found, expected)


class SpellTest(unittest.TestCase):
    """What a caller is told."""

    def test_promise_is_given_only_where_nothing_ran(self) -> None:
        """429 and 503 say that a request never will run."""
        cases = (
            (ResultCode.OVERLOADED, Ran.NOT_RUN, 503),
            (ResultCode.SHARE_EXCEEDED, Ran.NOT_RUN, 429),
            (ResultCode.OVERLOADED, Ran.UNKNOWN, 502),
            (ResultCode.UPSTREAM_TIMEOUT, Ran.UNKNOWN, 504),
            (ResultCode.DEADLINE_PASSED, Ran.NOT_RUN, 503),
            (ResultCode.UNAUTHENTICATED, Ran.NOT_RUN, 401),
        )
        for code, ran, expected in cases:
            with self.subTest(code=code, ran=ran):
                self.assertEqual(
                    spell(Refusal(code, '.', ran)).status, expected
                )


class DirectoryTest(unittest.TestCase):
    """Which upstreams are known."""

    def test_address_belongs_to_the_newest(self) -> None:
        """Pattern: a worker's address is given to one of another service."""
        directory = Directory(ManualClock())
        directory.put(an_entry('a'))
        entry = an_entry('b')
        taken = UpstreamEntry(
            entry.upstream,
            ServiceName('desk'),
            Address('a', 1),
            NORTH,
            entry.version,
            8,
        )
        directory.put(taken)
        self.assertEqual(directory.of_service(ENGINES), ())
        self.assertEqual(len(directory.of_service(ServiceName('desk'))), 1)
