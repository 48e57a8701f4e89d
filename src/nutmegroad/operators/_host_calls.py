"""Calls from host to host on behalf of operators: drain and explain.

A host has links to all hosts of its own failure domain and to a few hosts of
each other domain. A call to a host without a link is relayed once, by a host
of the target's domain.
"""

from typing import ClassVar, Final, TypeVar

from msgspec.structs import replace

from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    HostId,
    OperatorId,
    Presence,
    RequestId,
)
from nutmegroad.records.explanations import Step

#: Name under which the control cost of operators' calls is accounted.
OPERATORS_PART: Final = 'operators'

#: Seconds within which the target of a call has to reply.
_HOST_TIMEOUT: Final = 1.0
#: Seconds within which a host that relays a call has to reply.
_RELAY_TIMEOUT: Final = 2.0
#: Maximum number of hosts that are asked to relay a call, one by one.
_MAX_RELAYS: Final = 2


class HostCall(Message, frozen=True, tag='host-call'):
    """A call to one host.

    Attributes:
        host: Id of the target host.
        relay: Whether the receiver may relay the call to its target.
    """

    part: ClassVar[str] = OPERATORS_PART

    host: HostId
    relay: bool = False


class DrainOrder(HostCall, frozen=True, kw_only=True, tag='drain-order'):
    """Orders a host to stop gracefully.

    Attributes:
        operator: Operator who requested the drain.
    """

    operator: OperatorId


class DrainReply(Message, frozen=True, tag='drain-reply'):
    """Reports that a host is stopping.

    Attributes:
        host: Id of the host.
        open_requests: Number of open requests that the host still completes.
    """

    part: ClassVar[str] = OPERATORS_PART

    host: HostId
    open_requests: int


class ExplainQuestion(
    HostCall, frozen=True, kw_only=True, tag='explain-question'
):
    """Asks a host for the explanation of a request.

    Attributes:
        request: Id of the request.
    """

    request: RequestId


class ExplainReply(Message, frozen=True, tag='explain-reply'):
    """Explanation of a request.

    Attributes:
        steps: Processing steps; empty if the host does not know the
            request.
    """

    part: ClassVar[str] = OPERATORS_PART

    steps: tuple[Step, ...] = ()


Call = TypeVar('Call', bound=HostCall)


class HostCalls:
    """Sends calls to other hosts, directly or through a relay.

    Args:
        mesh: Links to other hosts.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh

    def find(self, host: HostId) -> Member | None:
        """Return another host; None if it is unknown or gone."""
        return next(
            (
                member
                for member in self._mesh.members()
                if member.host == host and member.presence is not Presence.GONE
            ),
            None,
        )

    async def call(self, call: Call) -> Message | Refusal:
        """Send a call to its target, and return the reply.

        The call goes directly first, then through a few hosts of the
        target's domain until one of them gets a reply.
        """
        member = self.find(call.host)
        if member is None:
            return Refusal(
                ResultCode.PEER_UNREACHABLE,
                f'The host {call.host!r} is unknown or gone.',
            )
        direct = replace(call, relay=False)
        reply = await self._mesh.request(call.host, direct, _HOST_TIMEOUT)
        for relay in self._relays_to(member):
            if not isinstance(reply, Refusal):
                break
            relayed = replace(call, relay=True)
            reply = await self._mesh.request(relay, relayed, _RELAY_TIMEOUT)
        return reply

    async def relay(self, call: Call) -> Message | None:
        """Relay a received call to its target, another host of this domain.

        Returns:
            The reply; None if the call must not be relayed or failed.
        """
        if not call.relay:
            return None
        direct = replace(call, relay=False)
        reply = await self._mesh.request(call.host, direct, _HOST_TIMEOUT)
        return None if isinstance(reply, Refusal) else reply

    def _relays_to(self, target: Member) -> tuple[HostId, ...]:
        """Return the hosts to ask to relay a call to a host."""
        relays = [
            member.host
            for member in self._mesh.members()
            if member.domain == target.domain and member.host != target.host
        ]
        return tuple(relays[:_MAX_RELAYS])
