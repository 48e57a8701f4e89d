"""Operators' routes for the configuration as a whole.

GET  /operators/configuration            return the configuration in force
POST /operators/configuration            validate a document and apply it
POST /operators/configuration/check      validate a document only
POST /operators/configuration/diff       list what a document would change
GET  /operators/configuration/progress   list the hosts that have a change
GET  /operators/configuration/history    return the most recent changes
"""

from typing import Final

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import ConfigurationChanges
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
    json_response,
    optional_revision,
    outcome_response,
    problem_bodies,
    problems_response,
    read_query_number,
    refusal_response,
)

_ROOT: Final = '/operators/configuration'


class DocumentBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A document to validate, to compare or to apply.

    Attributes:
        text: The document, in TOML.
        preset: Preset to put into force with it; None keeps the present
            preset, or takes the first one of the document.
        expected: Revision that the change is based on; the change is refused
            if another one is in force. None for any revision.
    """

    text: str
    preset: str | None = None
    expected: int | None = None


class ConfigurationBody(Struct, frozen=True):
    """The configuration in force on a host.

    Attributes:
        revision: Revision of the configuration.
        digest: Name of the stored object that holds the document.
        preset: Name of the preset in force.
        author: Operator who made the revision.
        document: The document.
    """

    revision: int
    digest: str
    preset: str
    author: str
    document: Document


class CheckResultBody(Struct, frozen=True):
    """Result of the validation of a document.

    Attributes:
        valid: Whether the document is valid.
        problems: All invalid fields.
    """

    valid: bool
    problems: tuple[ProblemBody, ...]


class DifferenceBody(Struct, frozen=True):
    """One difference between a document and the one in force.

    Attributes:
        subject: Entry that would change.
        sentence: Description of the change, in one sentence.
    """

    subject: str
    sentence: str


class DomainProgress(Struct, frozen=True):
    """Progress of a change in one failure domain.

    Attributes:
        domain: Id of the failure domain.
        hosts: Number of known hosts.
        acknowledged: Number of hosts that have the change in force.
        missing: Ids of the other hosts.
    """

    domain: str
    hosts: int
    acknowledged: int
    missing: tuple[str, ...]


class ProgressBody(Struct, frozen=True):
    """Progress of a change.

    Attributes:
        revision: Revision that was asked for; 0 if none was.
        everywhere: Whether every known host has acknowledged the change.
        in_force_in: Maximum seconds until every host except the isolated ones
            has the revision in force; 0 if all have it already. None if this
            host lacks the revision, or if no revision was asked for.
        domains: Progress by failure domain.
        hosts: Progress by host.
    """

    revision: int
    everywhere: bool
    in_force_in: float | None
    domains: tuple[DomainProgress, ...]
    hosts: tuple[HostProgress, ...]


@register('operator routes', 'configuration')
class ConfigurationRoutes:
    """Routes for the configuration as a whole.

    Args:
        kernel: Kernel that provides the components.
        access: Authenticates operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._configuration = kernel.need(Configuration)
        self._changes = kernel.need(ConfigurationChanges)
        self._store = kernel.need(HeadStore)
        self._progress = kernel.need(ChangeProgress)

    def add_routes(self, app: Application) -> None:
        """Register the routes."""
        app.router.add_get(_ROOT, self.show)
        app.router.add_post(_ROOT, self.apply)
        app.router.add_post(f'{_ROOT}/check', self.check)
        app.router.add_post(f'{_ROOT}/diff', self.diff)
        app.router.add_get(f'{_ROOT}/progress', self.progress)
        app.router.add_get(f'{_ROOT}/history', self.history)

    async def show(self, http: Request) -> Response:
        """Return the configuration in force on this host."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        accepted = self._configuration.accepted
        if accepted is None:
            return refusal_response(no_configuration())
        return json_response(
            ConfigurationBody(
                accepted.revision,
                accepted.digest,
                accepted.preset,
                accepted.author,
                accepted.document,
            ),
        )

    async def apply(self, http: Request) -> Response:
        """Validate a document and put it into force."""
        authorized = await self._access.read(http, DocumentBody)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        body = authorized.body
        document = read_document(body.text)
        if isinstance(document, tuple):
            return problems_response(document)
        head = await self._changes.apply(
            document,
            None if body.preset is None else PresetName(body.preset),
            authorized.operator,
            optional_revision(body.expected),
        )
        return outcome_response(head)

    async def check(self, http: Request) -> Response:
        """Validate a document without applying it."""
        authorized = await self._access.read(http, DocumentBody, Role.READ)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        document = read_document(authorized.body.text)
        problems = document if isinstance(document, tuple) else ()
        return json_response(
            CheckResultBody(not problems, problem_bodies(problems))
        )

    async def diff(self, http: Request) -> Response:
        """List what a document would change."""
        authorized = await self._access.read(http, DocumentBody, Role.READ)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        document = read_document(authorized.body.text)
        if isinstance(document, tuple):
            return problems_response(document)
        accepted = self._configuration.accepted
        if accepted is None:
            return refusal_response(no_configuration())
        differences = compare(accepted.document, document)
        return json_response(
            [
                DifferenceBody(difference.subject, difference.sentence)
                for difference in differences
            ]
        )

    async def progress(self, http: Request) -> Response:
        """Return which hosts have a change in force.

        The query names the change: a revision, or a withdrawn version with
        its epoch.
        """
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        number = read_query_number(http, 'revision', NO_REVISION)
        epoch = read_query_number(http, 'epoch', 0)
        if isinstance(number, Refusal):
            return refusal_response(number)
        if isinstance(epoch, Refusal):
            return refusal_response(epoch)
        version = VersionId(http.query.get('version', ''))
        change = Change(Revision(number), version, Epoch(epoch))
        hosts = await self._progress.collect(change)
        in_force_in = self._configuration.seconds_until_in_force(
            change.revision
        )
        return json_response(
            ProgressBody(
                revision=change.revision,
                everywhere=all(entry.acknowledged for entry in hosts),
                in_force_in=in_force_in if number else None,
                domains=_by_domain(hosts),
                hosts=hosts,
            ),
        )

    async def history(self, http: Request) -> Response:
        """Return the most recent changes, the newest last."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        return outcome_response(await self._store.history())


def no_configuration() -> Refusal:
    """Return the refusal for a host without a configuration."""
    return Refusal(
        ResultCode.CONFIGURATION_MISSING,
        'No configuration is in force on this host; apply one first.',
        retry_after=1,
    )


def _by_domain(hosts: tuple[HostProgress, ...]) -> tuple[DomainProgress, ...]:
    """Summarize the progress of hosts by failure domain."""
    domains: dict[str, list[HostProgress]] = {}
    for host in hosts:
        domains.setdefault(host.domain, []).append(host)
    return tuple(
        DomainProgress(
            domain,
            len(entries),
            sum(entry.acknowledged for entry in entries),
            _unacknowledged(entries),
        )
        for domain, entries in domains.items()
    )


def _unacknowledged(entries: list[HostProgress]) -> tuple[str, ...]:
    """Return the ids of hosts that have not acknowledged the change."""
    return tuple(entry.host for entry in entries if not entry.acknowledged)
