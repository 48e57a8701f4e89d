"""Versions of the engine stand-in: what is loaded, and orders to change it."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from enum import Enum, unique
from typing import Final, Generic, Self, TypeVar

from absl import logging
from aiohttp import ClientError, ClientSession
from msgspec import Struct

from fakes.engine_settings import ShelfSettings
from nutmegroad.foundations.clocks import Clock

Seen = TypeVar('Seen')

_LOG_PREFIX: Final = 'fake engine:'

#: Seconds until a fetch of weights that failed is tried again.
FETCH_PAUSE: Final = 1.0


@unique
class Action(Enum):
    """What an engine can be told to do."""

    LOAD = 'load'
    UNLOAD = 'unload'


class Order(Struct, frozen=True):
    """The body of ``POST /engine/orders``."""

    action: Action
    version: str
    fencing: int


class OrderRecord(Struct, frozen=True):
    """An order that came in.

    Attributes:
        action: Load or unload.
        version: Which version.
        fencing: The number that it carried.
        accepted: Whether it was obeyed.
        at: Wall clock seconds.
    """

    action: Action
    version: str
    fencing: int
    accepted: bool
    at: float


def record_order(order: Order, accepted: bool, at: float) -> OrderRecord:
    """Return the note that an order came in."""
    return OrderRecord(
        action=order.action,
        version=order.version,
        fencing=order.fencing,
        accepted=accepted,
        at=at,
    )


class Lagged(Generic[Seen]):
    """A value that others see late.

    Args:
        first: The value at the start.
        lag: Seconds until a change is seen.
        clock: Time.
    """

    def __init__(self, first: Seen, lag: float, clock: Clock) -> None:
        self._lag = lag
        self._clock = clock
        self._changes = deque([(clock.now() - lag, first)])

    def note(self, changed: Seen) -> None:
        """Note the value as it is now."""
        self._changes.append((self._clock.now(), changed))
        self.read()

    def read(self) -> Seen:
        """Return the value as it was before the lag."""
        shown = self._clock.now() - self._lag
        while len(self._changes) > 1 and self._changes[1][0] <= shown:
            self._changes.popleft()
        return self._changes[0][1]


class VersionShelf:
    """The versions that an engine has loaded, or may load.

    Args:
        settings: Versions, and where weights come from.
        clock: Time.
        changed: Called with a version that came or went.
    """

    def __init__(
        self,
        settings: ShelfSettings,
        clock: Clock,
        changed: Callable[[str], None],
    ) -> None:
        self.loaded = set(settings.loaded)
        self.loadable = {*settings.loaded, *settings.loadable}
        self._settings = settings
        self._clock = clock
        self._changed = changed
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._stack = AsyncExitStack()
        self._session: ClientSession

    async def __aenter__(self) -> Self:
        """Open the client to the weight store."""
        self._session = await self._stack.enter_async_context(ClientSession())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all loads."""
        for task in tuple(self._loads.values()):
            task.cancel()
        await asyncio.gather(*self._loads.values(), return_exceptions=True)
        await self._stack.aclose()

    def obey(self, action: Action, version: str) -> None:
        """Start a load, or unload at once."""
        loading = self._loads.pop(version, None)
        if action is Action.LOAD:
            if loading is None and version not in self.loaded:
                loading = asyncio.create_task(self._load(version))
            if loading is not None:
                self._loads[version] = loading
            return
        if loading is not None:
            loading.cancel()
        self.loaded.discard(version)
        self._changed(version)

    async def _load(self, version: str) -> None:
        """Fetch the weights until it works, then load them."""
        while self._settings.weights and not await self._fetch(version):
            await self._clock.sleep(FETCH_PAUSE)
        await self._clock.sleep(self._settings.load_seconds)
        self._loads.pop(version, None)
        self.loaded.add(version)
        self._changed(version)

    async def _fetch(self, version: str) -> bool:
        """Ask the weight store for a version's weights."""
        store = self._settings.weights
        url = f'http://{store}/weights/fetch'
        try:
            async with self._session.post(
                url,
                json={'version': version},
            ) as response:
                return response.ok
        except (ClientError, OSError, TimeoutError) as error:
            logging.info('%s no weights: %s', _LOG_PREFIX, error)
            return False
