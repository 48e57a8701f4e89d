"""Operators' routes for the entry hosts.

GET  /operators/hosts                the hosts, as this one sees them
POST /operators/hosts/{host}/drain   have a host stop gracefully
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
from nutmegroad.operators.operator_access import Access, refuse_operator, reply

_LOG: Final = part_logger('operators')
_PATH: Final = '/operators/hosts'


class HostBody(Struct, frozen=True):
    """An entry host, as another one sees it.

    Attributes:
        host: Its id.
        domain: Its failure domain.
        presence: Live, leaving or gone.
        address: Where it listens to other hosts.
        heard: Seconds since it was last heard.
    """

    host: str
    domain: str
    presence: str
    address: str
    heard: float


class DrainedBody(Struct, frozen=True):
    """A host that stops.

    Attributes:
        host: Its id.
        open_requests: How many requests it lets end.
    """

    host: str
    open_requests: int


class DrainDesk:
    """Has hosts stop gracefully, this one or others.

    Args:
        kernel: Where the parts are.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._host = kernel.settings.host
        self._stop = kernel.need(GracefulStop)
        mesh = kernel.need(Mesh)
        self._calls = HostCalls(mesh)
        mesh.handle(DrainOrder, self._take)

    async def drain(
        self,
        host: HostId,
        operator: OperatorId,
    ) -> DrainReply | Refusal:
        """Have a host stop."""
        order = DrainOrder(host=host, operator=operator)
        if host == self._host:
            return self._begin(order)
        told = await self._calls.call(order)
        if isinstance(told, DrainReply | Refusal):
            return told
        return Refusal(
            ResultCode.PEER_REFUSED,
            f'The host {host!r} answered with something else.',
        )

    async def _take(self, sender: HostId, order: DrainOrder) -> Message | None:
        """Take an order of another host."""
        if order.host == self._host:
            return self._begin(order)
        return await self._calls.hand_on(order)

    def _begin(self, order: DrainOrder) -> DrainReply:
        """Begin to stop; a stop that has begun goes on."""
        _LOG.info('the operator %s has this host stop', order.operator)
        self._stop.ask()
        return DrainReply(self._host, self._stop.open_requests)


@register('operator routes', 'hosts')
class HostRoutes:
    """Serves operators the hosts.

    Args:
        kernel: Where the parts are.
        access: Knows operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._clock: Clock = kernel.clock
        self._members = kernel.need(Members)
        self._address = kernel.listening['peers']
        self._desk = DrainDesk(kernel)

    def add_routes(self, app: Application) -> None:
        """Add the routes to the application."""
        app.router.add_get(_PATH, self.index)
        app.router.add_post(f'{_PATH}/{{host}}/drain', self.drain)

    async def index(self, http: Request) -> Response:
        """List the hosts."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        return reply(self._hosts())

    async def drain(self, http: Request) -> Response:
        """Have a host stop."""
        operator = self._access.authenticate(http, Role.OPERATE)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        host = HostId(http.match_info['host'])
        names = [entry.host for entry in self._hosts()]
        if host not in names:
            return refuse_operator(
                Refusal(
                    ResultCode.NOT_FOUND,
                    f'There is no host {host!r}; the choices are '
                    f'{", ".join(names)}.',
                ),
            )
        told = await self._desk.drain(host, operator)
        if isinstance(told, Refusal):
            return refuse_operator(told)
        return reply(DrainedBody(told.host, told.open_requests))

    def _hosts(self) -> list[HostBody]:
        """Return all hosts that are known, this one among them."""
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
        """Return a host as operators see it."""
        return HostBody(
            member.host,
            member.domain,
            member.presence.value,
            str(member.address),
            max(self._clock.now() - member.heard, 0),
        )
