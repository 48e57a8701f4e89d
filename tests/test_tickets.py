"""Tests of tickets: each is spent once, by the incarnation that issued it.

Guards against a second execution after a ticket expires, its answer is
dropped or the issuer reaches its limit of spent tickets.
"""

import unittest

from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, RequestId, WorkspaceId
from nutmegroad.records import tickets
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.records.tickets import SpentTicket, Ticket, TicketIssuer
from tests.records_rig import ANSWER, NOT_RUN, UNKNOWN, WORKSPACE, RecordsRig

FIRST = RequestId('r1')
SECOND = RequestId('r2')


class TicketTest(unittest.IsolatedAsyncioTestCase):
    """Tickets that one host issues and spends."""

    async def asyncSetUp(self) -> None:
        """Issue a ticket."""
        self.rig = await self.enterAsyncContext(RecordsRig())
        self.issuer = self.rig.start_host('one').issuer
        self.text = self.issuer.issue(WORKSPACE)
        self.ticket = self.read(self.issuer)

    def read(self, issuer: TicketIssuer) -> Ticket:
        """Read the ticket at any host."""
        ticket = issuer.read(str(self.text), WORKSPACE)
        assert isinstance(ticket, Ticket)
        return ticket

    def spend(self, request: RequestId = FIRST) -> SpentTicket:
        """Spend the ticket."""
        spent = self.issuer.spend(self.ticket, request, 'f1')
        assert isinstance(spent, SpentTicket)
        return spent

    def refused(self, fingerprint: str = 'f1') -> Refusal:
        """Spend the ticket again and expect a refusal."""
        refusal = self.issuer.spend(self.ticket, SECOND, fingerprint)
        assert isinstance(refusal, Refusal)
        return refusal

    def test_a_ticket_is_spent_once(self) -> None:
        spent = self.spend()
        self.assertIs(ResultCode.STILL_RUNNING, self.refused().code)
        self.assertIs(ResultCode.KEY_REUSED, self.refused('f2').code)
        self.issuer.settle(spent, ANSWER)
        first = self.issuer.spend(self.ticket, SECOND, 'f1')
        self.assertEqual(FirstAnswer(FIRST, ANSWER), first)

    def test_how_it_ended_decides_about_a_repeat(self) -> None:
        self.issuer.settle(self.spend(), NOT_RUN)
        self.issuer.settle(self.spend(SECOND), UNKNOWN)
        self.assertEqual(UNKNOWN, self.refused())

    def test_any_host_reads_a_ticket_and_no_other_workspace(self) -> None:
        other = self.rig.start_host('two').issuer
        self.assertEqual(self.ticket, self.read(other))
        for text, workspace in (
            (f'{self.text}x', WORKSPACE),
            ('', WORKSPACE),
            (str(self.text), WorkspaceId('training')),
        ):
            with self.subTest(text=text, workspace=workspace):
                refusal = other.read(text, workspace)
                assert isinstance(refusal, Refusal)
                self.assertIs(ResultCode.TICKET_INVALID, refusal.code)

    async def test_an_expired_unspent_ticket_is_not_executed(self) -> None:
        await self.rig.clock.jump(tickets.TICKET_LIFETIME)
        refusal = self.refused()
        self.assertIs(ResultCode.TICKET_INVALID, refusal.code)
        self.assertIs(Ran.NOT_RUN, refusal.ran)

    async def test_a_spent_ticket_is_never_run_again(self) -> None:
        await self.rig.clock.jump(tickets.TICKET_LIFETIME - 1)
        self.issuer.settle(self.spend(), ANSWER)
        for _ in range(40):
            await self.rig.clock.jump(100)
            repeat = self.issuer.spend(self.ticket, SECOND, 'f1')
            self.assertNotIsInstance(repeat, SpentTicket)
            if isinstance(repeat, Refusal):
                self.assertIsNot(Ran.NOT_RUN, repeat.ran)

    def test_an_answer_that_is_dropped_leaves_the_ticket_spent(self) -> None:
        spent = self.spend()
        big = type(ANSWER)(200, bytes(tickets.MAX_ANSWER_BYTES + 1), 'x/y')
        self.issuer.settle(spent, big)
        refusal = self.refused()
        self.assertIs(ResultCode.TICKET_SPENT, refusal.code)
        self.assertIs(Ran.RAN, refusal.ran)

    def test_memory_is_bounded_by_refusing_not_by_forgetting(self) -> None:
        issuer = TicketIssuer(
            self.ticket.host,
            self.issuer.incarnation,
            tickets.TicketSigner('key'),
            self.rig.clock,
            max_spent=1,
        )
        self.issuer = issuer
        self.spend()
        other = Ticket(WORKSPACE, 'one', self.ticket.incarnation, 9, 600)
        for refusal in (
            issuer.issue(WORKSPACE),
            issuer.spend(other, SECOND, 'f1'),
        ):
            assert isinstance(refusal, Refusal)
            self.assertIs(ResultCode.OVERLOADED, refusal.code)
            self.assertIs(Ran.NOT_RUN, refusal.ran)
        self.assertIs(ResultCode.STILL_RUNNING, self.refused().code)


if __name__ == '__main__':
    unittest.main()
