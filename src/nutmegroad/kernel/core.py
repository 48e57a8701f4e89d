"""The kernel, which starts the parts of a host and closes them at the end.

Parts start in the order of their dependencies. A part is a plug-in that
provides objects to other parts by type. A module defines one like this::

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
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack, suppress
from types import MappingProxyType
from typing import Any, Final, Protocol, Self, TypeVar, cast

from nutmegroad.foundations.accounting import Account, MeteredCoroutine
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.exceptions import RegistryError
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.supervision import (
    Supervisor,
    TaskLabel,
    TaskStart,
)
from nutmegroad.foundations.types import Address, Incarnation
from nutmegroad.kernel.registry import registered
from nutmegroad.kernel.settings import Settings

Provided = TypeVar('Provided')


class Part(Protocol):
    """A component of a host, as a plug-in of the kind ``part``.

    Attributes:
        needs: Types that other parts must have provided before it starts.
    """

    needs: tuple[type[Any], ...]

    async def open(self, kernel: 'Kernel') -> None:
        """Start the part and provide its objects.

        What must be closed when the host stops is pushed onto
        ``kernel.stack``.
        """


#: Creates a part.
PartFactory = Callable[[], Part]

_NO_REPLACEMENTS: Final[Mapping[str, PartFactory]] = MappingProxyType({})


class Kernel:
    """The container of the parts of one host and the objects they provide.

    Args:
        settings: The validated settings.
        clock: The clock of the host.
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
        # A host that restarts has a new incarnation.
        nonce = f'{randomness.getrandbits(64):016x}'
        self.incarnation = Incarnation(f'{settings.host}.{nonce}')
        self.stack = AsyncExitStack()
        #: Starts background tasks again that fail.
        self.supervisor = Supervisor(clock, self._count_failure)
        #: The address that each listener is bound to, by its name.
        self.listening: dict[str, Address] = {}
        self._provided: dict[type[Any], Any] = {}

    async def __aenter__(self) -> Self:
        """Return the kernel; ``start`` starts the parts."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all parts, the most recently started first."""
        await self.stack.aclose()

    def provide(self, kind: type[Provided], thing: Provided) -> None:
        """Provide an object to the other parts under a type.

        Args:
            kind: The type.
            thing: The object.

        Raises:
            RegistryError: If an object of the type is already provided.
        """
        if kind in self._provided:
            message = f'More than one part provides {kind.__name__}.'
            raise RegistryError(message)
        self._provided[kind] = thing

    def need(self, kind: type[Provided]) -> Provided:
        """Return the object that is provided under a type.

        Raises:
            RegistryError: If there is none.
        """
        if kind not in self._provided:
            message = f'No part provides {kind.__name__}.'
            raise RegistryError(message)
        return cast(Provided, self._provided[kind])

    def nonce(self) -> str:
        """Return a unique random token: 96 bits as hexadecimal digits."""
        return f'{self.randomness.getrandbits(96):024x}'

    def spawn(
        self,
        start: TaskStart,
        name: str,
    ) -> asyncio.Task[None]:
        """Run a background task until the kernel closes.

        A task that fails is started again. Its processor time is accounted
        under its name.

        Args:
            start: Runs the task from its beginning.
            name: Name of the task.
        """
        coroutine = self.supervisor.run(TaskLabel(name), start)
        account = self._provided.get(Account)
        if account is not None:
            coroutine = MeteredCoroutine(account, name, coroutine)
        task = asyncio.create_task(coroutine, name=name)
        self.stack.push_async_callback(_cancel, task)
        return task

    async def start(
        self,
        replacing: Mapping[str, PartFactory] = _NO_REPLACEMENTS,
    ) -> None:
        """Start every registered part, each after the parts it depends on.

        Args:
            replacing: Factories that replace registered ones of the same
                name, to run a complete host with other adapters.

        Raises:
            RegistryError: If a dependency of a part is not provided.
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
                message = f'No part provides what these parts need: {names}.'
                raise RegistryError(message)
            for name in ready:
                await waiting.pop(name).open(self)

    def _count_failure(self, name: TaskLabel) -> None:
        """Count a background task that failed."""
        metrics = self._provided.get(Metrics)
        if metrics is not None:
            metrics.task_failed(name)


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    with suppress(asyncio.CancelledError, Exception):
        await task
