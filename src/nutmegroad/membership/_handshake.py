"""Handshake: two hosts prove to each other that they know the cluster key.

The connecting host sends a ``Hello`` and the other replies with its own; then
the connecting host sends a ``Proof`` and the other replies with one. A proof
is an HMAC over both hellos and the role of its sender, so that it is valid for
this connection only and cannot be reflected to its sender.
"""

import hashlib
import hmac
import random
from asyncio import StreamReader, StreamWriter
from dataclasses import dataclass
from typing import Final, Protocol

from msgspec import Struct

from nutmegroad.foundations.types import Address, DomainId, HostId, Incarnation
from nutmegroad.membership._wire import (
    Kind,
    StreamError,
    Unpacker,
    as_plain,
    as_struct,
    pack,
)

#: Incremented with each change to the stream format that older hosts cannot
#: read.
PROTOCOL_VERSION: Final = 1
#: Maximum bytes of a handshake struct from an unauthenticated host; a hello
#: has about 200 bytes.
_MAX_BYTES: Final = 2048
_MAX_ITEMS: Final = 16
_NONCE_BYTES: Final = 16


class Identity(Struct, frozen=True, array_like=True):
    """Identity of an incarnation of a host, as it reports itself.

    Attributes:
        host: Id of the host.
        incarnation: Id of the incarnation.
        generation: Orders the incarnations of a host: milliseconds since
            1970 at its start, or more if a greater one was known.
        domain: Failure domain of the host.
        ip: IP address for connections of peers.
        port: Port for connections of peers.
    """

    host: HostId
    incarnation: Incarnation
    generation: int
    domain: DomainId
    ip: str
    port: int

    @property
    def address(self) -> Address:
        """Address for connections of peers."""
        return Address(self.ip, self.port)

    @property
    def order(self) -> tuple[int, str]:
        """Sort key; greater for a later incarnation of the same host."""
        return self.generation, self.incarnation


class Hello(Struct, frozen=True, array_like=True):
    """First struct that each side sends.

    Attributes:
        version: Protocol version.
        nonce: Random bytes that are never reused.
        identity: Identity of the sender.
    """

    version: int
    nonce: bytes
    identity: Identity


class Proof(Struct, frozen=True, array_like=True):
    """Proof that the sender knows the cluster key.

    Attributes:
        mac: HMAC-SHA256 over role, both hellos and ``known``.
        known: Generation of a later incarnation of the receiver, if the
            sender knows one; otherwise 0.
    """

    mac: bytes
    known: int = 0


class HandshakeError(Exception):
    """The peer failed the handshake, or may not have a link.

    Args:
        event: Name of the event to count.
        known: Later generation of this host that the peer knows; 0 for none.
    """

    def __init__(self, event: str, known: int = 0) -> None:
        super().__init__(event)
        self.event = event
        self.known = known


class Admission(Protocol):
    """Decides which incarnations of a host are outdated."""

    def newer_generation(self, identity: Identity) -> int:
        """Return the generation of a known later incarnation, or 0."""


@dataclass(frozen=True, slots=True)
class Credentials:
    """Keys and identity that a host uses in handshakes.

    Attributes:
        key: The cluster key; proofs are made with it unless the peer has
            used ``old_key``.
        identity: Identity of this host.
        nonces: Source of nonces; must be unpredictable outside tests.
        admission: Decides which incarnations are outdated.
        old_key: Second valid key while the cluster key is being changed.
    """

    key: bytes
    identity: Identity
    nonces: random.Random
    admission: Admission
    old_key: bytes = b''

    def hello(self) -> Hello:
        """Return a hello with a fresh nonce."""
        nonce = self.nonces.randbytes(_NONCE_BYTES)
        return Hello(PROTOCOL_VERSION, nonce, self.identity)

    def create_proof(
        self,
        role: str,
        client_hello: Hello,
        server_hello: Hello,
        known: int,
        key: bytes = b'',
    ) -> Proof:
        """Return the proof that this host sends or expects.

        Args:
            role: Role of the sender: ``client`` connected, ``server`` accepted.
            client_hello: Hello of the client.
            server_hello: Hello of the server.
            known: See ``Proof``.
            key: Key to use; the cluster key if empty.
        """
        signed = [role, as_plain(client_hello), as_plain(server_hello), known]
        mac = hmac.digest(key or self.key, pack(signed), hashlib.sha256)
        return Proof(mac, known)

    def find_key(
        self,
        proof: Proof,
        role: str,
        client_hello: Hello,
        server_hello: Hello,
    ) -> bytes:
        """Return the key that a proof was made with, or empty bytes."""
        for key in filter(None, (self.key, self.old_key)):
            expected = self.create_proof(
                role, client_hello, server_hello, proof.known, key
            )
            if hmac.compare_digest(expected.mac, proof.mac):
                return key
        return b''


class HandshakeStream:
    """Stream of handshake structs on an unauthenticated connection.

    Attributes:
        streams: Reader and writer.

    Args:
        reader: Incoming stream.
        writer: Outgoing stream.
    """

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.streams = (reader, writer)
        self._unpacker = Unpacker(_MAX_BYTES, _MAX_ITEMS)

    async def send(self, struct: Struct) -> None:
        """Send a struct."""
        writer = self.streams[1]
        writer.write(pack(as_plain(struct)))
        await writer.drain()

    async def receive(self, kind: type[Kind]) -> Kind:
        """Receive a struct of a given type.

        Raises:
            HandshakeError: If the received data is not a valid struct of this
                type, or the stream ended.
        """
        try:
            plain = await self._read()
        except StreamError as error:
            raise HandshakeError('links_handshake_garbage') from error
        struct = as_struct(plain, kind)
        if struct is None:
            raise HandshakeError('links_handshake_garbage')
        return struct

    def take_remaining(self) -> bytes:
        """Return the bytes received after the handshake."""
        return self._unpacker.take_remaining(_MAX_BYTES)

    def abort(self) -> None:
        """Close the connection immediately."""
        self.streams[1].transport.abort()

    async def _read(self) -> object:
        chunk = b''
        while True:
            unpacked = next(self._unpacker.feed(chunk), None)
            if unpacked is not None:
                return unpacked[0]
            chunk = await self.streams[0].read(_MAX_BYTES)
            if not chunk:
                raise HandshakeError('links_handshake_cut')


async def initiate_handshake(
    stream: HandshakeStream, credentials: Credentials
) -> Identity:
    """Perform the handshake as the side that connected.

    Returns:
        Identity of the peer.

    Raises:
        HandshakeError: If there can be no link.
    """
    client_hello = credentials.hello()
    await stream.send(client_hello)
    server_hello = await stream.receive(Hello)
    _check_hello(credentials, server_hello)
    known = credentials.admission.newer_generation(server_hello.identity)
    await stream.send(
        credentials.create_proof('client', client_hello, server_hello, known)
    )
    proof = await stream.receive(Proof)
    if not credentials.find_key(proof, 'server', client_hello, server_hello):
        raise HandshakeError('links_wrong_key')
    _check_generations(known, proof)
    return server_hello.identity


async def accept_handshake(
    stream: HandshakeStream, credentials: Credentials
) -> Identity:
    """Perform the handshake as the side that accepted the connection.

    Returns:
        Identity of the peer.

    Raises:
        HandshakeError: If there can be no link.
    """
    client_hello = await stream.receive(Hello)
    _check_hello(credentials, client_hello)
    server_hello = credentials.hello()
    await stream.send(server_hello)
    proof = await stream.receive(Proof)
    key = credentials.find_key(proof, 'client', client_hello, server_hello)
    if not key:
        raise HandshakeError('links_wrong_key')
    known = credentials.admission.newer_generation(client_hello.identity)
    # The peer may know no other key than the one that it proved.
    await stream.send(
        credentials.create_proof(
            'server', client_hello, server_hello, known, key
        )
    )
    _check_generations(known, proof)
    return client_hello.identity


def _check_hello(credentials: Credentials, hello: Hello) -> None:
    if hello.version != PROTOCOL_VERSION:
        raise HandshakeError('links_wrong_version')
    if hello.identity.incarnation == credentials.identity.incarnation:
        raise HandshakeError('links_to_self')
    if len(hello.nonce) != _NONCE_BYTES:
        raise HandshakeError('links_handshake_garbage')


def _check_generations(known: int, proof: Proof) -> None:
    """Raise if either side knows a later incarnation of the other."""
    if known:
        raise HandshakeError('links_old_incarnation')
    if proof.known:
        raise HandshakeError('links_we_are_old', proof.known)
