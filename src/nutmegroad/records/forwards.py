"""Requests with a ticket, handed on to the one host that may run them."""

from collections.abc import Awaitable, Callable
from typing import ClassVar, Final

from msgspec.structs import replace

from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, Ran
from nutmegroad.records.tickets import Ticket

#: Hosts of the issuer's domain that are asked to hand a request on.
MOST_RELAYS: Final = 2
#: Seconds that hands on are given beyond the request's deadline.
MARGIN: Final = 0.5


class ForwardedRequest(Message, frozen=True, tag='ticketed-request'):
    """A request as its caller sent it.

    Attributes:
        host: The host that may run it; its ticket is checked there.
        seconds: Seconds that are left until its deadline.
        target: Path of the request.
        method: HTTP method.
        headers: Those that matter.
        content: Body.
        relayed: It was handed on already, and is not handed on again.
    """

    part: ClassVar[str] = 'tickets'

    part = 'records'

    host: str
    seconds: float
    target: str
    method: str
    headers: dict[str, str]
    content: bytes
    relayed: bool = False


class ForwardedReply(Message, frozen=True, tag='ticketed-reply'):
    """The issuer's reply, to be given to the caller as it is.

    Attributes:
        status: HTTP status.
        content: Body.
        content_type: Its media type.
        headers: Further headers.
    """

    part: ClassVar[str] = 'tickets'

    part = 'records'

    status: int
    content: bytes
    content_type: str
    headers: dict[str, str]


Answering = Callable[[ForwardedRequest], Awaitable[ForwardedReply]]


class Forwarder:
    """Hands requests on, and answers those that were handed on to here.

    Args:
        mesh: Links to peers.
        host: This host.
    """

    def __init__(self, mesh: Mesh, host: HostId) -> None:
        self._mesh = mesh
        self._host = host
        self._answering: Answering | None = None

    def listen(self, answering: Answering) -> None:
        """Begin to answer what others hand on."""
        self._answering = answering
        self._mesh.handle(ForwardedRequest, self._take)
        self._mesh.handle(ForwardedReply, _ignore)

    async def forward(
        self,
        ticket: Ticket,
        request: ForwardedRequest,
    ) -> ForwardedReply | Refusal:
        """Have the issuer of a ticket answer a request.

        A refusal is never ``not run``: the issuer may have run the request
        when an earlier try of the caller's reached it.
        """
        if self._is_replaced(ticket):
            return Refusal(
                ResultCode.OUTCOME_UNKNOWN,
                f'The run of host {ticket.host!r} that issued the ticket is '
                'gone; whether it ran the request can not be told, and '
                'nobody will run it.',
                Ran.UNKNOWN,
            )
        for member in self._ways(ticket):
            reply = await self._mesh.ask(
                member.host,
                request,
                request.seconds + MARGIN,
            )
            if isinstance(reply, ForwardedReply):
                return reply
            if not isinstance(reply, Refusal) or reply.ran is not Ran.NOT_RUN:
                break
        return _unreached(ticket)

    def _is_replaced(self, ticket: Ticket) -> bool:
        """Tell whether a later run of the issuing host is known."""
        if ticket.host == self._host:
            return True
        return any(
            member.host == ticket.host
            and member.incarnation != ticket.incarnation
            for member in self._mesh.members()
        )

    def _ways(self, ticket: Ticket) -> tuple[Member, ...]:
        """Return the issuer, then hosts of its domain."""
        members = self._mesh.members()
        issuer = [
            member
            for member in members
            if member.incarnation == ticket.incarnation
        ]
        if not issuer:
            return ()
        relays = [
            member
            for member in members
            if member.domain == issuer[0].domain and member is not issuer[0]
        ]
        return (issuer[0], *relays[:MOST_RELAYS])

    async def _take(
        self,
        host: HostId,
        request: ForwardedRequest,
    ) -> ForwardedReply | None:
        """Answer a request, or hand it on to the host next door."""
        if request.host == self._host and self._answering is not None:
            return await self._answering(request)
        if request.relayed:
            return None
        relayed = replace(request, relayed=True)
        reply = await self._mesh.ask(
            HostId(request.host),
            relayed,
            request.seconds + MARGIN,
        )
        return reply if isinstance(reply, ForwardedReply) else None


def _unreached(ticket: Ticket) -> Refusal:
    """Say that the issuer gave no answer; it may be cut off only."""
    return Refusal(
        ResultCode.TICKET_HOST_GONE,
        f'The host {ticket.host!r} that issued the ticket gave no answer; '
        'the request may have run there and will run nowhere else.',
        Ran.UNKNOWN,
        retry_after=2,
    )


async def _ignore(host: HostId, message: ForwardedReply) -> None:
    """Take a reply that came as a message of its own for nothing."""
