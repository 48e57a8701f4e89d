"""The kernel: it opens the parts of a host in order and closes them all.

A part is an object that a plug-in provides under a type. Its module says::

    @register('part', 'billing')
    class BillingPart:
        needs = (Mesh, Table)

        async def open(self, kernel: Kernel) -> None:
            biller = Biller(kernel.need(Table), kernel.clock)
            await kernel.stack.enter_async_context(biller)
            kernel.provide(Biller, biller)
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping
from contextlib import AsyncExitStack, suppress
from types import MappingProxyType
from typing import Any, Final, Protocol, Self, TypeVar, cast

from nutmegroad.foundations.accounting import Account, Metered
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.exceptions import RegistryError
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address, Incarnation
from nutmegroad.kernel.registry import registered
from nutmegroad.kernel.settings import Settings

_LOG: Final = part_logger('kernel')

Provided = TypeVar('Provided')


class Part(Protocol):
    """A plug-in of kind ``part``.

    Attributes:
        needs: Types that others must have provided before.
    """

    needs: tuple[type[Any], ...]

    async def open(self, kernel: 'Kernel') -> None:
        """Start, push what must be closed, and provide."""


#: Makes a part.
MakePart = Callable[[], Part]

_NOTHING: Final[Mapping[str, MakePart]] = MappingProxyType({})


class Kernel:
    """What the parts of one host share.

    Args:
        settings: Checked settings.
        clock: Time.
        randomness: The only source of random numbers.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.randomness = randomness
        # Names this run of this host; a host that restarts has another.
        nonce = f'{randomness.getrandbits(64):016x}'
        self.incarnation = Incarnation(f'{settings.host}.{nonce}')
        self.stack = AsyncExitStack()
        #: Where each listener ended up, by its name.
        self.listening: dict[str, Address] = {}
        self._provided: dict[type[Any], Any] = {}

    async def __aenter__(self) -> Self:
        """Open nothing yet; ``start`` does."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all parts, the last opened first."""
        await self.stack.aclose()

    def provide(self, kind: type[Provided], thing: Provided) -> None:
        """Offer a thing to the other parts under a type.

        Raises:
            RegistryError: If the type is provided already.
        """
        if kind in self._provided:
            message = f'Two parts provide {kind.__name__}.'
            raise RegistryError(message)
        self._provided[kind] = thing

    def need(self, kind: type[Provided]) -> Provided:
        """Return the thing that was provided under a type.

        Raises:
            RegistryError: If nothing was.
        """
        if kind not in self._provided:
            message = f'No part provides {kind.__name__}.'
            raise RegistryError(message)
        return cast(Provided, self._provided[kind])

    def nonce(self) -> str:
        """Return a word that never repeats."""
        return f'{self.randomness.getrandbits(96):024x}'

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, None],
        name: str,
    ) -> asyncio.Task[None]:
        """Run a task until the kernel closes; its failure is logged.

        Its processor time is charged to the part of its name.
        """
        account = self._provided.get(Account)
        if account is not None:
            coroutine = Metered(account, name, coroutine)
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(_log_failure)
        self.stack.push_async_callback(_end, task)
        return task

    async def start(
        self,
        replacing: Mapping[str, MakePart] = _NOTHING,
    ) -> None:
        """Open every registered part, each after those that it needs.

        Args:
            replacing: Parts by the name of the one whose place they take,
                so that a whole host can stand on other adapters.
        """
        factories = {**registered('part'), **replacing}
        waiting = {name: make() for name, make in factories.items()}
        while waiting:
            ready = [
                name
                for name, part in waiting.items()
                if all(kind in self._provided for kind in part.needs)
            ]
            if not ready:
                names = ', '.join(sorted(waiting))
                message = f'These parts need what nothing provides: {names}.'
                raise RegistryError(message)
            for name in ready:
                await waiting.pop(name).open(self)


def _log_failure(task: asyncio.Task[None]) -> None:
    """Say so if a task ended by an exception, which none should."""
    if task.cancelled() or task.exception() is None:
        return
    _LOG.exception(
        'task %s failed',
        task.get_name(),
        cause=task.exception(),
    )


async def _end(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    with suppress(asyncio.CancelledError, Exception):
        await task
