"""Operators' routes for the entry hosts.

GET  /operators/hosts                list the hosts that this host knows
POST /operators/hosts/{host}/drain   stop a host gracefully
"""

from typing import Final

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.contracts.documents import Role
from nutmegroad.contracts.peers import Member, Mesh, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, OperatorId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.kernel.stops import GracefulStop
from nutmegroad.membership.members import Members
from nutmegroad.operators._host_calls import DrainOrder, DrainReply, HostCalls
from nutmegroad.operators.operator_access import (
    Access,
    json_response,
    refusal_response,
)

_LOG: Final = part_logger('operators')
_PATH: Final = '/operators/hosts'


class HostBody(Struct, frozen=True):
    """An entry host, as known by the host that replies.

    Attributes:
        host: Id of the host.
        domain: Its failure domain.
        presence: ``live``, ``leaving`` or ``gone``.
        address: Address that it listens on for other hosts.
        heard: Seconds since a message of it was last received.
    """

    host: str
    domain: str
    presence: str
    address: str
    heard: float


class DrainBody(Struct, frozen=True):
    """Reply to a drain request: the host is stopping.

    Attributes:
        host: Id of the host.
        open_requests: Number of open requests that the host still completes.
    """

    host: str
    open_requests: int


class DrainService:
    """Drains hosts: this one, or others through calls to them.

    Args:
        kernel: Kernel that provides the components.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._host = kernel.settings.host
        self._stop = kernel.need(GracefulStop)
        mesh = kernel.need(Mesh)
        self._calls = HostCalls(mesh)
        mesh.handle(DrainOrder, self._on_drain_order)

    async def drain(
        self,
        host: HostId,
        operator: OperatorId,
    ) -> DrainReply | Refusal:
        """Have a host stop gracefully."""
        order = DrainOrder(host=host, operator=operator)
        if host == self._host:
            return self._start_drain(order)
        reply = await self._calls.call(order)
        if isinstance(reply, DrainReply | Refusal):
            return reply
        return Refusal(
            ResultCode.PEER_REFUSED,
            f'The host {host!r} sent an unexpected reply to a drain order.',
        )

    async def _on_drain_order(
        self,
        sender: HostId,
        order: DrainOrder,
    ) -> Message | None:
        """Carry out or relay an order that another host sent."""
        if order.host == self._host:
            return self._start_drain(order)
        return await self._calls.relay(order)

    def _start_drain(self, order: DrainOrder) -> DrainReply:
        """Start to stop; no effect if the stop has already begun."""
        _LOG.info('drain of this host requested by %s', order.operator)
        self._stop.request_stop()
        return DrainReply(self._host, self._stop.open_requests)


@register('operator routes', 'hosts')
class HostRoutes:
    """Routes for the entry hosts.

    Args:
        kernel: Kernel that provides the components.
        access: Authenticates operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._clock: Clock = kernel.clock
        self._members = kernel.need(Members)
        self._address = kernel.listening['peers']
        self._service = DrainService(kernel)

    def add_routes(self, app: Application) -> None:
        """Register the routes."""
        app.router.add_get(_PATH, self.index)
        app.router.add_post(f'{_PATH}/{{host}}/drain', self.drain)

    async def index(self, http: Request) -> Response:
        """List the known hosts."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        return json_response(self._hosts())

    async def drain(self, http: Request) -> Response:
        """Have a host stop gracefully."""
        operator = self._access.authenticate(http, Role.OPERATE)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        host = HostId(http.match_info['host'])
        names = [entry.host for entry in self._hosts()]
        if host not in names:
            return refusal_response(
                Refusal(
                    ResultCode.NOT_FOUND,
                    f'There is no host {host!r}; the choices are '
                    f'{", ".join(names)}.',
                ),
            )
        outcome = await self._service.drain(host, operator)
        if isinstance(outcome, Refusal):
            return refusal_response(outcome)
        return json_response(DrainBody(outcome.host, outcome.open_requests))

    def _hosts(self) -> list[HostBody]:
        """Return all known hosts, including this one."""
        own = HostBody(
            self._members.host,
            self._members.domain,
            self._members.presence.value,
            str(self._address),
            0,
        )
        others = [self._body_of(member) for member in self._members.members()]
        return sorted(
            [own, *others],
            key=lambda entry: (entry.domain, entry.host),
        )

    def _body_of(self, member: Member) -> HostBody:
        """Return the response body for another host."""
        return HostBody(
            member.host,
            member.domain,
            member.presence.value,
            str(member.address),
            max(self._clock.now() - member.last_seen, 0),
        )
