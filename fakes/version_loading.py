"""Loading and unloading of versions in the engine stand-in."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from enum import Enum, unique
from typing import Final, Generic, Self, TypeVar

from absl import logging
from aiohttp import ClientError, ClientSession
from msgspec import Struct

from fakes.engine_settings import VersionSettings
from nutmegroad.foundations.clocks import Clock

Seen = TypeVar('Seen')

_LOG_PREFIX: Final = 'fake engine:'

#: Seconds until a failed fetch of weights is retried.
FETCH_RETRY_DELAY: Final = 1.0


@unique
class OrderAction(Enum):
    """Actions that an engine can be ordered to take."""

    LOAD = 'load'
    UNLOAD = 'unload'


class Order(Struct, frozen=True):
    """Body of ``POST /engine/orders``.

    Attributes:
        action: Load or unload.
        version: Version to load or unload.
        fencing: Fencing number of the sender.
    """

    action: OrderAction
    version: str
    fencing: int


class OrderRecord(Struct, frozen=True):
    """Record of an order that the engine received.

    Attributes:
        action: Load or unload.
        version: Version to load or unload.
        fencing: Fencing number of the order.
        accepted: Whether the engine accepted the order.
        at: Wall clock time of its receipt, in seconds.
    """

    action: OrderAction
    version: str
    fencing: int
    accepted: bool
    at: float


def record_order(order: Order, accepted: bool, at: float) -> OrderRecord:
    """Return the record of an order."""
    return OrderRecord(
        action=order.action,
        version=order.version,
        fencing=order.fencing,
        accepted=accepted,
        at=at,
    )


class DelayedValue(Generic[Seen]):
    """A value whose changes become visible after a delay.

    Args:
        initial: Initial value, visible immediately.
        lag: Seconds until a change is visible.
        clock: Source of times.
    """

    def __init__(self, initial: Seen, lag: float, clock: Clock) -> None:
        self._lag = lag
        self._clock = clock
        self._changes = deque([(clock.now() - lag, initial)])

    def update(self, current: Seen) -> None:
        """Set the current value."""
        self._changes.append((self._clock.now(), current))
        self.read()

    def read(self) -> Seen:
        """Return the value that is visible now."""
        visible_time = self._clock.now() - self._lag
        while len(self._changes) > 1 and self._changes[1][0] <= visible_time:
            self._changes.popleft()
        return self._changes[0][1]


class VersionLoader:
    """Loads and unloads the versions of an engine.

    Args:
        settings: Versions, weight store and load time.
        clock: Source of times.
        on_change: Called with a version after it was loaded or unloaded.

    Attributes:
        loaded: Versions that are loaded now.
        loadable: Versions that can be loaded, including the loaded ones.
    """

    def __init__(
        self,
        settings: VersionSettings,
        clock: Clock,
        on_change: Callable[[str], None],
    ) -> None:
        self.loaded = set(settings.loaded)
        self.loadable = {*settings.loaded, *settings.loadable}
        self._settings = settings
        self._clock = clock
        self._on_change = on_change
        self._load_tasks: dict[str, asyncio.Task[None]] = {}
        self._stack = AsyncExitStack()
        self._session: ClientSession

    async def __aenter__(self) -> Self:
        """Open the HTTP client for the weight store."""
        self._session = await self._stack.enter_async_context(ClientSession())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel all loads in progress."""
        for task in tuple(self._load_tasks.values()):
            task.cancel()
        await asyncio.gather(*self._load_tasks.values(), return_exceptions=True)
        await self._stack.aclose()

    def apply(self, action: OrderAction, version: str) -> None:
        """Start to load a version, or unload it immediately."""
        load_task = self._load_tasks.pop(version, None)
        if action is OrderAction.LOAD:
            if load_task is None and version not in self.loaded:
                load_task = asyncio.create_task(self._load(version))
            if load_task is not None:
                self._load_tasks[version] = load_task
            return
        if load_task is not None:
            load_task.cancel()
        self.loaded.discard(version)
        self._on_change(version)

    async def _load(self, version: str) -> None:
        """Fetch the weights, retrying until it succeeds, then load them."""
        while self._settings.weights and not await self._fetch(version):
            await self._clock.sleep(FETCH_RETRY_DELAY)
        await self._clock.sleep(self._settings.load_seconds)
        self._load_tasks.pop(version, None)
        self.loaded.add(version)
        self._on_change(version)

    async def _fetch(self, version: str) -> bool:
        """Fetch a version's weights and return whether that succeeded."""
        store = self._settings.weights
        url = f'http://{store}/weights/fetch'
        try:
            async with self._session.post(
                url,
                json={'version': version},
            ) as response:
                return response.ok
        except (ClientError, OSError, TimeoutError) as error:
            logging.info('%s fetching weights failed: %s', _LOG_PREFIX, error)
            return False
