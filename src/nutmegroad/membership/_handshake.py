"""How two hosts prove to each other that they share the cluster key.

The host that connects sends a ``Hello``, the other answers with its own;
then the first sends a ``Proof`` and the other answers with one. A proof is
an HMAC over both hellos and the role of its maker, so it holds for this
one connection and can't be sent back to its maker.
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

#: Changes with each change of the streams that old hosts can't read.
PROTOCOL_VERSION: Final = 1
#: A hello has some 200 bytes; nobody unknown may send more than this.
_MOST_BYTES: Final = 2048
_MOST_ITEMS: Final = 16
_NONCE_BYTES: Final = 16


class Identity(Struct, frozen=True, array_like=True):
    """Who a host is, as it says itself.

    Attributes:
        host: Its id.
        incarnation: This run of it.
        generation: Orders the incarnations of a host: milliseconds since
            1970 at its start, or more where a greater one was known.
        domain: Its failure domain.
        ip: Where it listens to peers.
        port: Where it listens to peers.
    """

    host: HostId
    incarnation: Incarnation
    generation: int
    domain: DomainId
    ip: str
    port: int

    @property
    def address(self) -> Address:
        """Where it listens to peers."""
        return Address(self.ip, self.port)

    @property
    def order(self) -> tuple[int, str]:
        """Greater for a later incarnation of the same host."""
        return self.generation, self.incarnation


class Hello(Struct, frozen=True, array_like=True):
    """The first thing that each side says.

    Attributes:
        version: Version of the protocol.
        nonce: Random bytes, never used before.
        identity: Who speaks.
    """

    version: int
    nonce: bytes
    identity: Identity


class Proof(Struct, frozen=True, array_like=True):
    """Shows that the sender has the cluster key.

    Attributes:
        mac: HMAC-SHA256 over role, both hellos and ``known``.
        known: The generation of the other host that makes the one in its
            hello an old one; 0 if there is none.
    """

    mac: bytes
    known: int = 0


class HandshakeError(Exception):
    """The other side is not one of our hosts, or may not have a link.

    Args:
        event: The name under which it is counted.
        known: Generation of us that the other side knows; 0 for none.
    """

    def __init__(self, event: str, known: int = 0) -> None:
        super().__init__(event)
        self.event = event
        self.known = known


class Admission(Protocol):
    """Says which incarnations of a host are too old."""

    def newer_generation(self, identity: Identity) -> int:
        """Return the generation of a later incarnation, 0 if none."""


@dataclass(frozen=True, slots=True)
class Credentials:
    """What a host needs for handshakes.

    Attributes:
        key: The cluster key, by which we prove ourselves.
        identity: Who we are.
        nonces: Source of nonces; must be unpredictable outside tests.
        admission: Says which incarnations are too old.
        old_key: Another key that holds while the cluster key is changed.
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

    def prove(
        self,
        role: str,
        first: Hello,
        second: Hello,
        known: int,
        key: bytes = b'',
    ) -> Proof:
        """Return the proof of a role, by our own key or a given one."""
        said = [role, as_plain(first), as_plain(second), known]
        mac = hmac.digest(key or self.key, pack(said), hashlib.sha256)
        return Proof(mac, known)

    def key_of(
        self,
        proof: Proof,
        role: str,
        first: Hello,
        second: Hello,
    ) -> bytes:
        """Return which of our keys a proof was made with; empty for none."""
        for key in filter(None, (self.key, self.old_key)):
            expected = self.prove(role, first, second, proof.known, key)
            if hmac.compare_digest(expected.mac, proof.mac):
                return key
        return b''


class HandshakeStream:
    """A connection whose other side is not known yet.

    Attributes:
        streams: Its two directions.

    Args:
        reader: What comes in.
        writer: What goes out.
    """

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.streams = (reader, writer)
        self._unpacker = Unpacker(_MOST_BYTES, _MOST_ITEMS)

    async def send(self, thing: Struct) -> None:
        """Write a struct."""
        writer = self.streams[1]
        writer.write(pack(as_plain(thing)))
        await writer.drain()

    async def receive(self, kind: type[Kind]) -> Kind:
        """Read a struct of a kind.

        Raises:
            HandshakeError: If something else came, or the end.
        """
        try:
            plain = await self._read()
        except StreamError as error:
            raise HandshakeError('links_handshake_garbage') from error
        thing = as_struct(plain, kind)
        if thing is None:
            raise HandshakeError('links_handshake_garbage')
        return thing

    def rest(self) -> bytes:
        """Return what came after the handshake already."""
        return self._unpacker.rest(_MOST_BYTES)

    def abort(self) -> None:
        """End the connection at once."""
        self.streams[1].transport.abort()

    async def _read(self) -> object:
        chunk = b''
        while True:
            unpacked = next(self._unpacker.feed(chunk), None)
            if unpacked is not None:
                return unpacked[0]
            chunk = await self.streams[0].read(_MOST_BYTES)
            if not chunk:
                raise HandshakeError('links_handshake_cut')


async def greet(stream: HandshakeStream, ours: Credentials) -> Identity:
    """Do the handshake as the side that connected.

    Returns:
        Who the other side is.

    Raises:
        HandshakeError: If there can be no link.
    """
    first = ours.hello()
    await stream.send(first)
    second = await stream.receive(Hello)
    _check_hello(ours, second)
    known = ours.admission.newer_generation(second.identity)
    await stream.send(ours.prove('client', first, second, known))
    proof = await stream.receive(Proof)
    if not ours.key_of(proof, 'server', first, second):
        raise HandshakeError('links_wrong_key')
    _check_generations(known, proof)
    return second.identity


async def answer(stream: HandshakeStream, ours: Credentials) -> Identity:
    """Do the handshake as the side that was connected to.

    Returns:
        Who the other side is.

    Raises:
        HandshakeError: If there can be no link.
    """
    first = await stream.receive(Hello)
    _check_hello(ours, first)
    second = ours.hello()
    await stream.send(second)
    proof = await stream.receive(Proof)
    key = ours.key_of(proof, 'client', first, second)
    if not key:
        raise HandshakeError('links_wrong_key')
    known = ours.admission.newer_generation(first.identity)
    # The other side may know no other key than the one that it proved.
    await stream.send(ours.prove('server', first, second, known, key))
    _check_generations(known, proof)
    return first.identity


def _check_hello(ours: Credentials, hello: Hello) -> None:
    if hello.version != PROTOCOL_VERSION:
        raise HandshakeError('links_wrong_version')
    if hello.identity.incarnation == ours.identity.incarnation:
        raise HandshakeError('links_to_self')
    if len(hello.nonce) != _NONCE_BYTES:
        raise HandshakeError('links_handshake_garbage')


def _check_generations(known: int, proof: Proof) -> None:
    if known:
        raise HandshakeError('links_old_incarnation')
    if proof.known:
        raise HandshakeError('links_we_are_old', proof.known)
