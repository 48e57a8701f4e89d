"""Tests of request parsing, repeat budgets, escalation and refusals."""

import unittest

from nutmegroad.escalation.confidence import low_confidence
from nutmegroad.escalation.decisions import (
    EscalationCase,
    NotEscalated,
    first_model,
    larger_model,
)
from nutmegroad.escalation.headroom import AnswerEstimate
from nutmegroad.foundations.event_streams import EventStreamSplitter
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    Ran,
    ServiceName,
)
from nutmegroad.relay.budgets import Purpose, RepeatBudget, RepeatLimit
from nutmegroad.relay.refusals import caller_refusal
from nutmegroad.routes.deployment import (
    ConfigurationVersion,
    RouteName,
    RoutingTable,
)
from nutmegroad.routes.requests import (
    read_caller_timeout,
    read_generation,
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
    """Route lookup."""

    def test_longest_prefix_of_the_host_wins(self) -> None:
        """A path must begin with the complete prefix, slash included."""
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
    """Parsing of request headers."""

    def test_generation_is_read(self) -> None:
        """Parts keep their order; a part that can't be parsed is ignored."""
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
        """Text that is not a positive integer yields the default."""
        cases = (('1500', 1.5), ('', 9), ('-3', 9), ('1e3', 9), ('0', 9))
        for text, expected in cases:
            with self.subTest(text=text):
                self.assertEqual(read_caller_timeout(text, 9), expected)


class EventsTest(unittest.TestCase):
    """Splitting of a stream into complete events."""

    def test_events_are_cut_at_any_byte(self) -> None:
        """The events do not depend on the sizes of the chunks."""
        text = b'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda'
        for step in range(1, len(text)):
            splitter = EventStreamSplitter()
            events = []
            for begin in range(0, len(text), step):
                events.extend(splitter.feed(text[begin : begin + step]))
            self.assertEqual([event.event_id for event in events], ['1', '2'])
            self.assertEqual(splitter.remainder, b'id: 3\nda')


class BudgetTest(unittest.TestCase):
    """The operator's limit on repeats."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def test_sum_over_hosts_keeps_to_the_ratio(self) -> None:
        """The limit holds if every request fails on all hosts of a fleet."""
        repeats = 0
        for _ in range(50):
            budget = self._budget(hosts=50)
            for _ in range(20):
                budget.count_request(ENGINES)
            self.clock._now += 10
            for _ in range(20):
                budget.count_request(ENGINES)
                repeats += budget.spend(ENGINES, Purpose.FAILURE)
        self.assertLessEqual(repeats, 0.9 * 1000 + 100)
        self.assertGreater(repeats, 700)

    def test_repeats_that_follow_on_a_peak_are_allowed(self) -> None:
        """Late repeats after a burst of requests fit into the budget.

        A burst arrives, then upstreams crash, and its answers are repeated
        late. The operator compares repeats with the window before as well. When
        the budget did not, 79 hosts had no budget left to escalate 242 answers
        of low confidence in the eight seconds after such a peak.
        """
        budget = self._budget()
        for _ in range(100):
            budget.count_request(ENGINES)
        repeats = 0
        for _ in range(2):
            self.clock._now += 4.5
            for _ in range(20):
                budget.count_request(ENGINES)
            repeats += self._spend_all(budget)
        self.assertGreater(repeats, 50)
        self.assertLessEqual(repeats, 0.9 * 100)
        # Requests older than two windows no longer count.
        self.clock._now += 15
        budget.count_request(ENGINES)
        self.assertLess(self._spend_all(budget), 20)

    def test_a_peak_before_the_window_of_the_repeats_does_not_count(
        self,
    ) -> None:
        """The operator's windows that begin now have not seen the peak."""
        budget = self._budget()
        for _ in range(100):
            budget.count_request(ENGINES)
        self.clock._now += 12
        for _ in range(20):
            budget.count_request(ENGINES)
        self.assertLessEqual(self._spend_all(budget), 0.9 * 20)

    def test_escalations_leave_repeats_for_failures(self) -> None:
        """A peak of escalations leaves budget for the failure of a worker."""
        budget = self._budget()
        for _ in range(100):
            budget.count_request(ENGINES)
        while budget.spend(ENGINES, Purpose.ESCALATION):
            pass
        self.assertTrue(budget.spend(ENGINES, Purpose.FAILURE))

    def test_host_that_does_not_know_the_fleet_has_no_share(self) -> None:
        """A host that does not know the fleet takes none of the constant."""
        alone, unknown = (self._budget(hosts=count) for count in (1, None))
        self.clock._now += 10
        self.assertGreater(self._spend_all(alone), 0)
        self.assertEqual(self._spend_all(unknown), 0)

    def _budget(self, hosts: int | None = 50) -> RepeatBudget:
        limit = RepeatLimit(ratio=0.9, window=10, constant=140)
        return RepeatBudget(self.clock, limit, lambda: hosts)

    def _spend_all(self, budget: RepeatBudget) -> int:
        """Take all repeats that are left; return how many."""
        repeats = 0
        while budget.spend(ENGINES, Purpose.FAILURE):
            repeats += 1
        return repeats


class EscalationTest(unittest.TestCase):
    """Conditions for asking a larger model."""

    def test_escalation_conditions(self) -> None:
        """Low confidence, a late answer, no attempts left, too little time."""
        soon, late = AnswerEstimate(0.2, 1), AnswerEstimate(5.0, 6)
        cases = (
            (EscalationCase(30, 0.1, 2, soon, 9), LARGE),
            (EscalationCase(30, 0.1, 2, late, 9), NotEscalated.LATE),
            (EscalationCase(10, 0.1, 2, late, 9), LARGE),
            (EscalationCase(10, 0.1, 0, soon, 9), NotEscalated.ATTEMPTS),
            # A route's timeout of only a few seconds.
            (
                EscalationCase(10, 0.1, 2, AnswerEstimate(0.2, 3), 4),
                NotEscalated.TIME,
            ),
        )
        for case, expected in cases:
            with self.subTest(case=case):
                self.assertEqual(larger_model(a_route(), case), expected)

    def test_only_models_below_the_largest_escalate(self) -> None:
        """High and low confidence, no confidence, and the largest model."""
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
                found = low_confidence(a_route(), model, text)
                self.assertEqual(found, expected)

    def test_no_escalation_to_a_loaded_upstream(self) -> None:
        """No escalation if the larger model's upstream is loaded.

        When a failure domain was cut off with few engines left, 114 requests
        were running at an engine of 48 slots. Each answer of low confidence led
        to a model that reads ten times as long, and most answers were late.
        """
        cases = (
            (0, 0.4, LARGE),
            (0.4, 0.4, LARGE),
            (1.9, 0.4, NotEscalated.CAPACITY),
            (0, 0.9, LARGE),
            (0, 1.2, NotEscalated.CAPACITY),
            (0, 2.4, NotEscalated.CAPACITY),
        )
        for queued, occupancy, expected in cases:
            found = AnswerEstimate(0.2 + queued, 1 + queued, queued, occupancy)
            with self.subTest(queued=queued, occupancy=occupancy):
                model = larger_model(
                    a_route(), EscalationCase(20, 0.1, 2, found, 9)
                )
                self.assertEqual(model, expected)

    def test_request_that_runs_once_begins_with_the_largest(self) -> None:
        """No second model may be asked, so the best one is asked first."""
        cases = ((True, 3, SMALL), (False, 3, LARGE), (True, 1, LARGE))
        for resumable, attempts, expected in cases:
            route = a_route(resumable=resumable, max_attempts=attempts)
            with self.subTest(resumable=resumable, attempts=attempts):
                found = first_model(a_request(route=route))
                self.assertEqual(found, expected)


class RefusalStatusTest(unittest.TestCase):
    """HTTP status of refusals."""

    def test_guarantee_only_without_execution(self) -> None:
        """429 and 503 guarantee that a request will never be executed."""
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
                    caller_refusal(Refusal(code, '.', ran)).status, expected
                )


class DirectoryTest(unittest.TestCase):
    """The directory of known upstreams."""

    def test_address_belongs_to_the_newest(self) -> None:
        """A worker's address passes to a worker of another service."""
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
