"""Messages by which a host asks another for a connection to an upstream."""

from msgspec import Struct

from nutmegroad.foundations.decoding import Measure, Number


class TunnelRequest(Struct, frozen=True, array_like=True, tag='t'):
    """Handshake of a host that asks for a connection to an upstream.

    Attributes:
        key: The key in the receiver's row of the fleet table.
        host: The sender.
        upstream: Id of the upstream.
        address: Its address as IP:PORT, as the sender knows it.
        timeout: Seconds within which the connection is of use.
        request: Id of the caller's request; empty for a check.
        borrows: Whether the request is to be sent within the receiver's share
            of a brittle or limited upstream.
        content: Fingerprint of the request, for a reservation of a token.
        patience: Seconds for which its caller waits for one.
    """

    key: str
    host: str
    upstream: str
    address: str
    timeout: Measure
    request: str = ''
    borrows: bool = False
    content: Number = 0
    patience: Measure = 0


class TunnelOpened(Struct, frozen=True, array_like=True, tag='o'):
    """Reply: the connection is open, and bytes are copied from now on."""


class TunnelRefused(Struct, frozen=True, array_like=True, tag='f'):
    """Reply: there is no connection.

    Attributes:
        reason: Explanation for logs.
        refused: Whether the upstream's machine refused the connection.
        withheld: Whether the receiver has no share of the upstream left.
        retry_after: Seconds until it has one for the request; 0 if that is not
            known.
    """

    reason: str
    refused: bool = False
    withheld: bool = False
    retry_after: Measure = 0


TunnelReply = TunnelOpened | TunnelRefused
