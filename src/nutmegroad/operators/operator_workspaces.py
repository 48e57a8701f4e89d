"""Operators' routes for workspaces.

GET  /operators/workspaces          all workspaces
GET  /operators/workspaces/{name}   one workspace
POST /operators/workspaces/{name}   change some of its fields
"""

from typing import Any, Final

import msgspec
from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import Changes
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import (
    Access,
    answer,
    refuse_document,
    refuse_operator,
    reply,
    revision_of,
)
from nutmegroad.operators.operator_configuration import missing

_PATH: Final = '/operators/workspaces'


class WorkspaceBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A change of one workspace's entry.

    Attributes:
        fields: The fields that change, as in the document; all others stay
            as they are. A workspace that does not exist yet is added.
        expected: The revision that the operator saw.
    """

    fields: dict[str, Any]
    expected: int | None = None


@register('operator routes', 'workspaces')
class WorkspaceRoutes:
    """Serves operators the workspaces.

    Args:
        kernel: Where the parts are.
        access: Knows operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._configuration = kernel.need(Configuration)
        self._changes = kernel.need(Changes)

    def add_routes(self, app: Application) -> None:
        """Add the routes to the application."""
        app.router.add_get(_PATH, self.index)
        app.router.add_get(f'{_PATH}/{{name}}', self.show)
        app.router.add_post(f'{_PATH}/{{name}}', self.change)

    async def index(self, http: Request) -> Response:
        """List the workspaces."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        accepted = self._configuration.accepted
        if accepted is None:
            return refuse_operator(missing())
        return reply(accepted.document.workspaces)

    async def show(self, http: Request) -> Response:
        """Show one workspace."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        name = http.match_info['name']
        entry = self._entry(name)
        if entry is None:
            return refuse_operator(
                Refusal(
                    ResultCode.NOT_FOUND,
                    f'There is no workspace {name!r} in the configuration.',
                ),
            )
        return reply(entry)

    async def change(self, http: Request) -> Response:
        """Change some fields of one workspace."""
        ordered = await self._access.read(http, WorkspaceBody)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        name = http.match_info['name']
        present = self._entry(name)
        fields = {} if present is None else msgspec.to_builtins(present)
        try:
            entry = msgspec.convert(
                {**fields, **ordered.body.fields, 'name': name},
                WorkspaceEntry,
            )
        except msgspec.ValidationError as problem:
            return refuse_operator(
                Refusal(
                    ResultCode.CONFIGURATION_INVALID,
                    f'The workspace {name!r} is not valid: {problem}. Nothing '
                    'was changed.',
                ),
            )
        outcome = await self._changes.set_workspace(
            entry,
            ordered.operator,
            revision_of(ordered.body.expected),
        )
        if isinstance(outcome, tuple):
            return refuse_document(outcome)
        return answer(outcome)

    def _entry(self, name: str) -> WorkspaceEntry | None:
        """Return a workspace's entry, or None."""
        accepted = self._configuration.accepted
        known = accepted.document.workspaces if accepted else ()
        return next((entry for entry in known if entry.name == name), None)
