"""Billing records: one for each request, the whole cascade summed.

Records go out in batches, named by the host's incarnation, a sequence
number and a digest of what is in them, so that writing a batch twice
stores the same object. A reader keeps one record for each request id;
that rule is part of the format.

Hosts keep nothing, so a record is handed to a peer (``record_copies``)
before the end of its answer. Whichever of the two is left stores the batch.
"""

import hashlib
from collections import OrderedDict, deque
from typing import Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart
from nutmegroad.contracts.platform import Objects
from nutmegroad.foundations.invariants import ONE_RECORD, Invariants
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Incarnation, RequestId

#: Objects of billing batches begin with this.
BILLING_PREFIX: Final = 'billing/'

#: Records that a host keeps while the object store is down; at nine
#: requests a second they last for three hours.
MOST_KEPT: Final = 100_000
#: Requests of which it is remembered that they were recorded.
MOST_REMEMBERED: Final = 20_000
#: Records of one batch; a full batch is closed.
BATCH_RECORDS: Final = 2_000

_DIGEST_CHARACTERS: Final = 16
_LOG: Final = part_logger('billing')


class BillingRecord(Struct, frozen=True):
    """What one request is billed.

    Attributes:
        request: Its id.
        workspace: Who pays.
        task: The task class, or the plain service's name.
        at: Wall-clock seconds at its end.
        version: The version that answered; empty for a plain service.
        outcome: Name of the result code; ``ANSWER_CUT`` if the caller left.
        prompt_tokens: Tokens read by that version.
        output_tokens: Tokens written by that version.
        cost: All attempts and steps summed, whatever the outcome.
    """

    request: str
    workspace: str
    task: str
    at: float
    version: str = ''
    outcome: str = 'OK'
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0


class Batch:
    """Records that are stored together.

    Args:
        incarnation: Whose batch it is.
        sequence: Its place among that incarnation's batches.

    Attributes:
        records: What is in it.
        handed: How many of them a peer holds too.
    """

    def __init__(self, incarnation: str, sequence: int) -> None:
        self.incarnation = incarnation
        self.sequence = sequence
        self.records: list[BillingRecord] = []
        self.handed = 0

    def content(self) -> tuple[str, bytes]:
        """Return the object's name and content as the batch is now."""
        content = msgspec.json.encode(self.records)
        digest = hashlib.sha256(content).hexdigest()[:_DIGEST_CHARACTERS]
        name = f'{self.incarnation}/{self.sequence:09d}-{digest}'
        return f'{BILLING_PREFIX}{name}', content


class Biller:
    """Gathers records and stores them in batches.

    It also observes attempts, so that the cost of an attempt is billed
    whatever became of the request: answered, refused or given up.

    Args:
        objects: The object store.
        incarnation: Names this host's batches.
        metrics: Where losses are counted.
        invariants: Told whether a request is recorded twice.
        most_kept: Records that are kept while they can not be stored.
    """

    def __init__(
        self,
        objects: Objects,
        incarnation: Incarnation,
        metrics: Metrics,
        invariants: Invariants,
        most_kept: int = MOST_KEPT,
    ) -> None:
        self._objects = objects
        self._incarnation = incarnation
        self._metrics = metrics
        self._invariants = invariants
        self._most_kept = most_kept
        self._costs: dict[RequestId, float] = {}
        self._recorded: OrderedDict[str, None] = OrderedDict()
        self._batches: deque[Batch] = deque()
        self._sequence = 0
        self._open: Batch | None = None
        self._pending = 0

    @property
    def pending(self) -> int:
        """Return how many records are not stored yet."""
        return self._pending

    @property
    def incarnation(self) -> Incarnation:
        """Return whose batches these are."""
        return self._incarnation

    @property
    def batches(self) -> tuple[Batch, ...]:
        """Return the batches that are not stored yet, the oldest first."""
        return tuple(self._batches)

    def started(self, start: AttemptStart) -> None:
        """Begin to sum a request's cost."""
        self._costs.setdefault(start.request, 0)

    def ended(self, end: AttemptEnd) -> None:
        """Add an attempt to its request's cost."""
        request = end.start.request
        if request in self._costs:
            self._costs[request] += end.cost
        elif end.cost > 0:
            # The request is recorded already: an attempt outlived it.
            self._metrics.record_event('cost_after_record')

    def record(self, record: BillingRecord) -> None:
        """Take the one record of a request, and add its attempts' cost."""
        cost = self._costs.pop(RequestId(record.request), 0)
        once = self._invariants.check(
            ONE_RECORD,
            record.request not in self._recorded,
            f'the request {record.request} is recorded twice',
        )
        if not once:
            return
        self._remember(record.request)
        if self._pending >= self._most_kept:
            self._overflow(record)
            return
        batch = self._open_batch()
        # On the wire an integer becomes a float, which is encoded otherwise:
        # a peer's copy of the batch would then be another object.
        batch.records.append(
            replace(
                record,
                at=float(record.at),
                cost=float(record.cost + cost),
            ),
        )
        self._pending += 1

    def adopt(self, batch: Batch) -> None:
        """Take over the batch of a host that is gone, under its own name."""
        for known in self._batches:
            same = known.incarnation == batch.incarnation
            if same and known.sequence == batch.sequence:
                # Two receivers that hand their batches to each other.
                return
        batch.handed = 0
        self._batches.append(batch)
        self._pending += len(batch.records)

    async def flush(self) -> Refusal | None:
        """Store all that waits; what fails is kept for the next time."""
        # What is recorded from now on goes into a new batch.
        self._open = None
        for batch in self.batches:
            refusal = await self._objects.put(*batch.content())
            if refusal is not None:
                self._metrics.record_event('billing_not_stored')
                return refusal
            self._stored(batch)
        return None

    def _stored(self, batch: Batch) -> None:
        """Forget a batch, which another flush may have done already."""
        if batch in self._batches:
            self._batches.remove(batch)
            self._pending -= len(batch.records)

    def _open_batch(self) -> Batch:
        """Return the batch that takes records."""
        batch = self._open
        if batch is not None and len(batch.records) < BATCH_RECORDS:
            return batch
        self._sequence += 1
        batch = Batch(self._incarnation, self._sequence)
        self._batches.append(batch)
        self._open = batch
        return batch

    def _remember(self, request: str) -> None:
        """Keep in mind that a request was recorded."""
        self._recorded[request] = None
        if len(self._recorded) > MOST_REMEMBERED:
            self._recorded.popitem(last=False)

    def _overflow(self, record: BillingRecord) -> None:
        """Write a record that can not be kept to the log, in full."""
        self._metrics.record_event('billing_overflow')
        text = msgspec.json.encode(record).decode()
        _LOG.error('a record is kept in this log only: %s', text)


async def read_bills(
    objects: Objects,
) -> dict[RequestId, BillingRecord] | Refusal:
    """Return all that was billed, one record for each request id.

    The same record may stand in several objects: a host and its peer may
    both have stored a batch, at different lengths. The first that is read
    counts; records of one request never differ.
    """
    names = await objects.names(BILLING_PREFIX)
    if isinstance(names, Refusal):
        return names
    bills: dict[RequestId, BillingRecord] = {}
    for name in names:
        content = await objects.fetch(name)
        if isinstance(content, Refusal):
            return content
        for record in msgspec.json.decode(content, type=list[BillingRecord]):
            bills.setdefault(RequestId(record.request), record)
    return bills
