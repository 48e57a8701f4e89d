"""The part that links this host to the others."""

import random

from nutmegroad.adapters._remembered_list import recent_list
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import HostList
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.exceptions import SettingsError
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkContext
from nutmegroad.membership._member_context import MemberContext, make_table
from nutmegroad.membership.duties import Duties
from nutmegroad.membership.links import Links
from nutmegroad.membership.members import Members

_MILLISECONDS = 1000


@register('part', 'mesh')
class MeshPart:
    """Provides the mesh, the membership and duties."""

    needs = (HostList, Account)

    async def open(self, kernel: Kernel) -> None:
        """Listen to other hosts and begin to send heartbeats.

        At the end the membership says goodbye before the links close.
        """
        settings = kernel.settings
        if not settings.cluster_key:
            message = 'The cluster key is empty; hosts need it to link.'
            raise SettingsError(message)
        ledger = kernel.need(Account)
        table, reachability = make_table(
            identity_of(kernel),
            kernel.clock,
            settings.heartbeat,
        )
        context = LinkContext(
            key=settings.cluster_key.encode(),
            old_key=settings.cluster_key_old.encode(),
            clock=kernel.clock,
            randomness=kernel.randomness,
            # A nonce that could be foreseen would let a proof be replayed.
            nonces=random.SystemRandom(),
            account=ledger,
        )
        links = await kernel.stack.enter_async_context(Links(context, table))
        member_context = MemberContext(
            clock=kernel.clock,
            randomness=kernel.randomness,
            account=ledger,
            heartbeat=settings.heartbeat,
            seeds=settings.seeds,
            host_list=recent_list(kernel.need(HostList)),
        )
        members = Members(member_context, links, table, reachability)
        await kernel.stack.enter_async_context(members)
        kernel.listening['peers'] = table.identity.address
        kernel.provide(Mesh, links)
        kernel.provide(Members, members)
        kernel.provide(Duties, Duties(members))


def identity_of(kernel: Kernel) -> Identity:
    """Return who this host is, as it will tell others."""
    settings = kernel.settings
    return Identity(
        host=settings.host,
        incarnation=kernel.incarnation,
        generation=int(kernel.clock.wall() * _MILLISECONDS),
        domain=settings.domain,
        ip=settings.peers.ip,
        port=settings.peers.port,
    )
