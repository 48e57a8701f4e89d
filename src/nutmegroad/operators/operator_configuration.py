"""Operators' routes for the configuration as a whole.

GET  /operators/configuration            what is in force, with the document
POST /operators/configuration            check a document and put it in force
POST /operators/configuration/check      only check it
POST /operators/configuration/diff       say what it would change
GET  /operators/configuration/progress   which hosts have a revision
GET  /operators/configuration/history    the newest changes
"""

from typing import Final

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import Changes
from nutmegroad.configuration.checks import read_document
from nutmegroad.configuration.differences import compare
from nutmegroad.configuration.heads import HeadStore
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.progress import (
    Change,
    ChangeProgress,
    HostProgress,
)
from nutmegroad.contracts.documents import Document, Role
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    NO_REVISION,
    Epoch,
    PresetName,
    Revision,
    VersionId,
)
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import (
    Access,
    ProblemBody,
    answer,
    list_problems,
    read_number,
    refuse_document,
    refuse_operator,
    reply,
    revision_of,
)

_ROOT: Final = '/operators/configuration'


class DocumentBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A document to be checked or put into force.

    Attributes:
        text: The document, as TOML.
        preset: The preset to be in force with it.
        expected: The revision that the operator saw.
    """

    text: str
    preset: str | None = None
    expected: int | None = None


class ShownBody(Struct, frozen=True):
    """What is in force on a host.

    Attributes:
        revision: Its number.
        digest: Name of the document.
        preset: The preset in force.
        author: Who made the revision.
        document: The document.
    """

    revision: int
    digest: str
    preset: str
    author: str
    document: Document


class CheckedBody(Struct, frozen=True):
    """Whether a document is valid.

    Attributes:
        valid: Whether nothing is wrong.
        problems: All that is wrong.
    """

    valid: bool
    problems: tuple[ProblemBody, ...]


class DifferenceBody(Struct, frozen=True):
    """One thing that a document would change.

    Attributes:
        subject: What it concerns.
        sentence: What would change.
    """

    subject: str
    sentence: str


class DomainProgress(Struct, frozen=True):
    """How far a change has come in a failure domain.

    Attributes:
        domain: The domain.
        hosts: Hosts that are known.
        acknowledged: Those that have the change in force.
        missing: Names of the others.
    """

    domain: str
    hosts: int
    acknowledged: int
    missing: tuple[str, ...]


class ProgressBody(Struct, frozen=True):
    """How far a change has come.

    Attributes:
        revision: The revision.
        everywhere: Whether every host that is known has acknowledged it.
        in_force_in: Seconds after which, at the latest, every host but the
            isolated ones has it in force; 0 for already. None if the host
            that was asked lacks the revision, or there is no such bound.
        domains: The domains.
        hosts: The hosts.
    """

    revision: int
    everywhere: bool
    in_force_in: float | None
    domains: tuple[DomainProgress, ...]
    hosts: tuple[HostProgress, ...]


@register('operator routes', 'configuration')
class ConfigurationRoutes:
    """Serves operators the configuration as a whole.

    Args:
        kernel: Where the parts are.
        access: Knows operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._configuration = kernel.need(Configuration)
        self._changes = kernel.need(Changes)
        self._store = kernel.need(HeadStore)
        self._progress = kernel.need(ChangeProgress)

    def add_routes(self, app: Application) -> None:
        """Add the routes to the application."""
        app.router.add_get(_ROOT, self.show)
        app.router.add_post(_ROOT, self.apply)
        app.router.add_post(f'{_ROOT}/check', self.check)
        app.router.add_post(f'{_ROOT}/diff', self.diff)
        app.router.add_get(f'{_ROOT}/progress', self.progress)
        app.router.add_get(f'{_ROOT}/history', self.history)

    async def show(self, http: Request) -> Response:
        """Show what is in force on this host."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        accepted = self._configuration.accepted
        if accepted is None:
            return refuse_operator(missing())
        return reply(
            ShownBody(
                accepted.revision,
                accepted.digest,
                accepted.preset,
                accepted.author,
                accepted.document,
            ),
        )

    async def apply(self, http: Request) -> Response:
        """Check a document and put it into force."""
        ordered = await self._access.read(http, DocumentBody)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        body = ordered.body
        document = read_document(body.text)
        if isinstance(document, tuple):
            return refuse_document(document)
        head = await self._changes.apply(
            document,
            None if body.preset is None else PresetName(body.preset),
            ordered.operator,
            revision_of(body.expected),
        )
        return answer(head)

    async def check(self, http: Request) -> Response:
        """Say what is wrong with a document."""
        ordered = await self._access.read(http, DocumentBody, Role.READ)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        document = read_document(ordered.body.text)
        problems = document if isinstance(document, tuple) else ()
        return reply(CheckedBody(not problems, list_problems(problems)))

    async def diff(self, http: Request) -> Response:
        """Say what a document would change."""
        ordered = await self._access.read(http, DocumentBody, Role.READ)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        document = read_document(ordered.body.text)
        if isinstance(document, tuple):
            return refuse_document(document)
        accepted = self._configuration.accepted
        if accepted is None:
            return refuse_operator(missing())
        found = compare(accepted.document, document)
        return reply(
            [DifferenceBody(one.subject, one.sentence) for one in found]
        )

    async def progress(self, http: Request) -> Response:
        """Say which hosts have a revision, and until when all have it."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        number = read_number(http, 'revision', NO_REVISION)
        epoch = read_number(http, 'epoch', 0)
        if isinstance(number, Refusal):
            return refuse_operator(number)
        if isinstance(epoch, Refusal):
            return refuse_operator(epoch)
        version = VersionId(http.query.get('version', ''))
        change = Change(Revision(number), version, Epoch(epoch))
        hosts = await self._progress.ask(change)
        in_force_in = self._configuration.in_force_in(change.revision)
        return reply(
            ProgressBody(
                revision=change.revision,
                everywhere=all(entry.acknowledged for entry in hosts),
                in_force_in=in_force_in if number else None,
                domains=_by_domain(hosts),
                hosts=hosts,
            ),
        )

    async def history(self, http: Request) -> Response:
        """Show the newest changes, the newest last."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        return answer(await self._store.history())


def missing() -> Refusal:
    """Say that no configuration is in force."""
    return Refusal(
        ResultCode.CONFIGURATION_MISSING,
        'No configuration is in force on this host; apply one first.',
        retry_after=1,
    )


def _by_domain(hosts: tuple[HostProgress, ...]) -> tuple[DomainProgress, ...]:
    """Sum up hosts by their domains."""
    domains: dict[str, list[HostProgress]] = {}
    for host in hosts:
        domains.setdefault(host.domain, []).append(host)
    return tuple(
        DomainProgress(
            domain,
            len(entries),
            sum(entry.acknowledged for entry in entries),
            _missing_of(entries),
        )
        for domain, entries in domains.items()
    )


def _missing_of(entries: list[HostProgress]) -> tuple[str, ...]:
    """Return the hosts that have not acknowledged."""
    return tuple(entry.host for entry in entries if not entry.acknowledged)
