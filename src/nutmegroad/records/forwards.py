"""Forwarding of requests with a ticket to the host that issued the ticket.

Only the issuing host may execute such a request.
"""

from collections.abc import Awaitable, Callable
from typing import ClassVar, Final

from msgspec.structs import replace

from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, Ran
from nutmegroad.records.tickets import Ticket

#: Maximum number of hosts of the issuer's failure domain tried as relays.
MAX_RELAYS: Final = 2
#: Seconds beyond the request's deadline to wait for a forwarded reply.
FORWARD_MARGIN: Final = 0.5


class ForwardedRequest(Message, frozen=True, tag='ticketed-request'):
    """A caller's request, forwarded to another host.

    Attributes:
        host: The host that may execute the request; it checks the ticket.
        seconds: Seconds left until the deadline of the request.
        target: Path of the request.
        method: HTTP method.
        headers: The headers that affect the request.
        content: Body of the request.
        relayed: Whether a relay has already forwarded the request. Such a
            request is not forwarded again.
    """

    part: ClassVar[str] = 'tickets'

    host: str
    seconds: float
    target: str
    method: str
    headers: dict[str, str]
    content: bytes
    relayed: bool = False


class ForwardedReply(Message, frozen=True, tag='ticketed-reply'):
    """The reply of the issuing host, returned to the caller unchanged.

    Attributes:
        status: HTTP status.
        content: Body of the reply.
        content_type: Media type of the body.
        headers: Further headers.
    """

    part: ClassVar[str] = 'tickets'

    status: int
    content: bytes
    content_type: str
    headers: dict[str, str]


#: Executes a forwarded request and returns the reply.
RequestHandler = Callable[[ForwardedRequest], Awaitable[ForwardedReply]]


class Forwarder:
    """Forwards requests to other hosts and answers forwarded requests.

    Args:
        mesh: Links to peers.
        host: This host.
    """

    def __init__(self, mesh: Mesh, host: HostId) -> None:
        self._mesh = mesh
        self._host = host
        self._handler: RequestHandler | None = None

    def listen(self, handler: RequestHandler) -> None:
        """Register a handler for requests that other hosts forward."""
        self._handler = handler
        self._mesh.handle(ForwardedRequest, self._handle_request)
        self._mesh.handle(ForwardedReply, _ignore_reply)

    async def forward(
        self,
        ticket: Ticket,
        request: ForwardedRequest,
    ) -> ForwardedReply | Refusal:
        """Forward a request to the issuer of its ticket.

        Returns:
            The reply of the issuer, or a refusal. The refusal never says
            ``not run``: an earlier attempt of the caller may have reached the
            issuer, which may have executed the request.
        """
        if self._is_replaced(ticket):
            return Refusal(
                ResultCode.OUTCOME_UNKNOWN,
                f'The process of host {ticket.host!r} that issued the ticket '
                'has terminated; the request may have been executed and will '
                'not be executed again.',
                Ran.UNKNOWN,
            )
        for member in self._route(ticket):
            reply = await self._mesh.request(
                member.host,
                request,
                request.seconds + FORWARD_MARGIN,
            )
            if isinstance(reply, ForwardedReply):
                return reply
            if not isinstance(reply, Refusal) or reply.ran is not Ran.NOT_RUN:
                break
        return _issuer_unreachable(ticket)

    def _is_replaced(self, ticket: Ticket) -> bool:
        """Return whether a later incarnation of the issuer is known."""
        # Tickets of this host's present incarnation are not forwarded, so a
        # ticket of this host is from an earlier one.
        if ticket.host == self._host:
            return True
        return any(
            member.host == ticket.host
            and member.incarnation != ticket.incarnation
            for member in self._mesh.members()
        )

    def _route(self, ticket: Ticket) -> tuple[Member, ...]:
        """Return the issuer, followed by relays of its failure domain."""
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
        return (issuer[0], *relays[:MAX_RELAYS])

    async def _handle_request(
        self,
        host: HostId,
        request: ForwardedRequest,
    ) -> ForwardedReply | None:
        """Answer a forwarded request, or relay it to the issuer."""
        if request.host == self._host and self._handler is not None:
            return await self._handler(request)
        if request.relayed:
            return None
        relayed = replace(request, relayed=True)
        reply = await self._mesh.request(
            HostId(request.host),
            relayed,
            request.seconds + FORWARD_MARGIN,
        )
        return reply if isinstance(reply, ForwardedReply) else None


def _issuer_unreachable(ticket: Ticket) -> Refusal:
    """Return the refusal for an issuer that did not reply.

    The issuer may be running and merely cut off from this host.
    """
    return Refusal(
        ResultCode.TICKET_HOST_GONE,
        f'The host {ticket.host!r} that issued the ticket did not reply; '
        'it may have executed the request, and no other host will.',
        Ran.UNKNOWN,
        retry_after=2,
    )


async def _ignore_reply(host: HostId, message: ForwardedReply) -> None:
    """Ignore a reply received outside a request-reply exchange."""
