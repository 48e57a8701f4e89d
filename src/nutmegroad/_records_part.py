"""The part that keeps records: billing, intents, explanations."""

from nutmegroad.billing import Biller
from nutmegroad.core import Kernel
from nutmegroad.explanations import Explanations
from nutmegroad.intents import IntentLedger
from nutmegroad.platform import Objects, Table
from nutmegroad.registry import register

#: Seconds between flushes of billing records.
FLUSH_PERIOD = 1.0


@register('part', 'records')
class RecordsPart:
    """Provides the biller, the intents and the explanations."""

    needs = (Table, Objects)

    async def open(self, kernel: Kernel) -> None:
        """Begin to flush; flush once more at the end."""
        biller = Biller(kernel.need(Objects), kernel.incarnation)
        kernel.stack.push_async_callback(biller.flush)

        async def flush_often() -> None:
            """Flush until cancelled."""
            while True:
                await kernel.clock.sleep(FLUSH_PERIOD)
                await biller.flush()

        kernel.spawn(flush_often(), 'billing')
        kernel.provide(Biller, biller)
        kernel.provide(
            IntentLedger,
            IntentLedger(kernel.need(Table), kernel.nonce),
        )
        kernel.provide(Explanations, Explanations(kernel.clock))
