"""Kernel part that provides links, membership and duties."""

import random

from nutmegroad.adapters._cached_host_list import cached_host_list
from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import HostList
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.exceptions import SettingsError
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkContext
from nutmegroad.membership._member_context import (
    MemberContext,
    create_member_table,
)
from nutmegroad.membership.duties import Duties
from nutmegroad.membership.links import Links
from nutmegroad.membership.members import Members

_MILLISECONDS_PER_SECOND = 1000


@register('part', 'mesh')
class MeshPart:
    """Provides the mesh, the membership and the duties."""

    needs = (HostList, Account)

    async def open(self, kernel: Kernel) -> None:
        """Accept connections of other hosts and start sending heartbeats.

        On exit the membership announces that this host is gone before the
        links close.
        """
        settings = kernel.settings
        if not settings.cluster_key:
            message = 'The setting cluster_key is empty; links need a key.'
            raise SettingsError(message)
        account = kernel.need(Account)
        table, reachability = create_member_table(
            identity_of(kernel),
            kernel.clock,
            settings.heartbeat,
        )
        context = LinkContext(
            key=settings.cluster_key.encode(),
            old_key=settings.cluster_key_old.encode(),
            clock=kernel.clock,
            randomness=kernel.randomness,
            # A predictable nonce would allow a proof to be replayed.
            nonces=random.SystemRandom(),
            account=account,
        )
        links = await kernel.stack.enter_async_context(Links(context, table))
        member_context = MemberContext(
            clock=kernel.clock,
            randomness=kernel.randomness,
            account=account,
            heartbeat=settings.heartbeat,
            seeds=settings.seeds,
            host_list=cached_host_list(kernel.need(HostList)),
        )
        members = Members(member_context, links, table, reachability)
        await kernel.stack.enter_async_context(members)
        kernel.listening['peers'] = table.identity.address
        kernel.provide(Mesh, links)
        kernel.provide(Members, members)
        kernel.provide(Duties, Duties(members))


def identity_of(kernel: Kernel) -> Identity:
    """Return the identity that this host sends to its peers."""
    settings = kernel.settings
    return Identity(
        host=settings.host,
        incarnation=kernel.incarnation,
        generation=int(kernel.clock.wall() * _MILLISECONDS_PER_SECOND),
        domain=settings.domain,
        ip=settings.peers.ip,
        port=settings.peers.port,
    )
