"""What one host asks of another for an operator: to stop, to explain.

A host has links to all hosts of its domain and to a few of each other. A
call to a host without a link is handed on once, by a host of its domain.
"""

from typing import ClassVar, Final, TypeVar

from msgspec.structs import replace

from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, OperatorId, Presence, RequestId
from nutmegroad.records.explanations import Step

#: Control cost of operators' calls goes under this name.
OPERATORS_PART: Final = 'operators'

#: Seconds that a host, and one that hands a call on, may take to reply.
_HOST_TIMEOUT: Final = 1.0
_RELAY_TIMEOUT: Final = 2.0
#: Hosts that are asked to hand a call on, one after another.
_TRIES: Final = 2


class HostCall(Message, frozen=True, tag='host-call'):
    """A question to one host.

    Attributes:
        host: Whom it is for.
        relay: Whether its receiver may hand it on.
    """

    part: ClassVar[str] = OPERATORS_PART

    host: HostId
    relay: bool = False


class DrainOrder(HostCall, frozen=True, kw_only=True, tag='drain-order'):
    """Has a host stop gracefully.

    Attributes:
        operator: Who asked for it.
    """

    operator: OperatorId


class DrainReply(Message, frozen=True, tag='drain-reply'):
    """Says that a host stops.

    Attributes:
        host: The host.
        open_requests: How many requests it lets end.
    """

    part: ClassVar[str] = OPERATORS_PART

    host: HostId
    open_requests: int


class ExplainQuestion(
    HostCall, frozen=True, kw_only=True, tag='explain-question'
):
    """Asks what happened to a request.

    Attributes:
        request: The request.
    """

    request: RequestId


class ExplainReply(Message, frozen=True, tag='explain-reply'):
    """What happened to a request.

    Attributes:
        steps: Its steps; none if the host does not know it.
    """

    part: ClassVar[str] = OPERATORS_PART

    steps: tuple[Step, ...] = ()


Call = TypeVar('Call', bound=HostCall)


class HostCalls:
    """Brings calls to the host that they are for.

    Args:
        mesh: Links to other hosts.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh

    def known(self, host: HostId) -> Member | None:
        """Return another host, or None if it is not known to be there."""
        return next(
            (
                member
                for member in self._mesh.members()
                if member.host == host and member.presence is not Presence.GONE
            ),
            None,
        )

    async def call(self, call: Call) -> Message | Refusal:
        """Have a host answer a call."""
        member = self.known(call.host)
        if member is None:
            return Refusal(
                ResultCode.PEER_UNREACHABLE,
                f'The host {call.host!r} is not known to be there.',
            )
        direct = replace(call, relay=False)
        reply = await self._mesh.ask(call.host, direct, _HOST_TIMEOUT)
        for relay in self._neighbours(member):
            if not isinstance(reply, Refusal):
                break
            handed = replace(call, relay=True)
            reply = await self._mesh.ask(relay, handed, _RELAY_TIMEOUT)
        return reply

    async def hand_on(self, call: Call) -> Message | None:
        """Hand a call on that is for another host of this domain."""
        if not call.relay:
            return None
        direct = replace(call, relay=False)
        reply = await self._mesh.ask(call.host, direct, _HOST_TIMEOUT)
        return None if isinstance(reply, Refusal) else reply

    def _neighbours(self, target: Member) -> tuple[HostId, ...]:
        """Return a few hosts of a host's domain."""
        found = [
            member.host
            for member in self._mesh.members()
            if member.domain == target.domain and member.host != target.host
        ]
        return tuple(found[:_TRIES])
