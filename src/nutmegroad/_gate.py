"""Opens connections and lets only our own hosts through."""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from absl import logging

from nutmegroad._connection import Connection
from nutmegroad._dialing import within
from nutmegroad._handshake import (
    Credentials,
    HandshakeError,
    HandshakeStream,
    Identity,
    answer,
    greet,
)
from nutmegroad._link_context import LinkContext, Roster
from nutmegroad.types import Address

_LOG_PREFIX: Final = 'links:'


@dataclass(frozen=True, slots=True)
class Opened:
    """A connection whose other side has proved who it is.

    Attributes:
        connection: The connection.
        early: Bytes that came after the handshake already.
    """

    connection: Connection
    early: bytes


class Handshaker:
    """Does the handshakes, within their limits.

    Args:
        context: Key, time, account and limits.
        roster: Who we are and which incarnations are too old.
        outdated: Called with the generation of us that others know, if
            they know a later one.
    """

    def __init__(
        self,
        context: LinkContext,
        roster: Roster,
        outdated: Callable[[int], None],
    ) -> None:
        self._context = context
        self._roster = roster
        self._outdated = outdated
        self._unauthenticated = 0

    async def connect(self, address: Address) -> Opened | None:
        """Connect to an address; None if there is no host of ours."""
        opening = asyncio.open_connection(address.ip, address.port)
        seconds = self._context.limits.handshake
        try:
            reader, writer = await within(self._context.clock, seconds, opening)
        except (OSError, TimeoutError):
            self._context.account.count('links_unreachable')
            return None
        stream = HandshakeStream(reader, writer)
        shaking = greet(stream, self._credentials())
        return await self._open(shaking, stream, initiator=True)

    async def accept(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> Opened | None:
        """Take an incoming connection in; None if it is none of ours."""
        if self._unauthenticated >= self._context.limits.unauthenticated:
            self._context.account.count('links_too_many_unknown')
            writer.transport.abort()
            return None
        self._unauthenticated += 1
        stream = HandshakeStream(reader, writer)
        shaking = answer(stream, self._credentials())
        try:
            return await self._open(shaking, stream, initiator=False)
        finally:
            self._unauthenticated -= 1

    async def _open(
        self,
        shaking: Coroutine[Any, Any, Identity],
        stream: HandshakeStream,
        *,
        initiator: bool,
    ) -> Opened | None:
        identity = await self._shake(shaking)
        if identity is None:
            stream.abort()
            return None
        connection = Connection(
            identity,
            stream.streams,
            self._context.clock,
            initiator=initiator,
        )
        return Opened(connection, stream.rest())

    async def _shake(
        self,
        shaking: Coroutine[Any, Any, Identity],
    ) -> Identity | None:
        seconds = self._context.limits.handshake
        try:
            return await within(self._context.clock, seconds, shaking)
        except HandshakeError as fault:
            self._refuse(fault)
        except TimeoutError:
            self._context.account.count('links_handshake_slow')
        except OSError:
            self._context.account.count('links_handshake_cut')
        return None

    def _refuse(self, fault: HandshakeError) -> None:
        self._context.account.count(fault.event)
        logging.info('%s a handshake ended: %s.', _LOG_PREFIX, fault.event)
        if fault.known:
            self._outdated(fault.known)

    def _credentials(self) -> Credentials:
        return Credentials(
            key=self._context.key,
            identity=self._roster.identity,
            nonces=self._context.nonces,
            admission=self._roster,
        )
