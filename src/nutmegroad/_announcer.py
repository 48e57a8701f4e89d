"""Tells those who depend on links what becomes of them."""

from nutmegroad._dialer import Dialer
from nutmegroad._handshake import Identity
from nutmegroad._link_context import LinkListener
from nutmegroad._message_receiver import PendingReplies


class LinkEvents:
    """A ``LinkListener`` that hands on to pending replies, dialer and another.

    Attributes:
        listener: Who else is told, if anybody.

    Args:
        pending: Those to a lost host are settled.
        dialer: Connects to a lost host again.
    """

    def __init__(self, pending: PendingReplies, dialer: Dialer) -> None:
        self.listener: LinkListener | None = None
        self._pending = pending
        self._dialer = dialer

    def link_opened(self, identity: Identity) -> None:
        """Hand on that there is a link to a host now."""
        if self.listener is not None:
            self.listener.link_opened(identity)

    def link_closed(self, identity: Identity) -> None:
        """Take in that a link is lost, and hand it on."""
        reason = f'The link to host {identity.host} was lost.'
        self._pending.fail(identity.host, reason)
        self._dialer.link_lost()
        if self.listener is not None:
            self.listener.link_closed(identity)

    def outdated(self, known: int) -> None:
        """Hand on that others know a later generation of this host."""
        if self.listener is not None:
            self.listener.outdated(known)
