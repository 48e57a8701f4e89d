"""Operators' routes for workspaces.

GET  /operators/workspaces          list the workspaces
GET  /operators/workspaces/{name}   return one workspace
POST /operators/workspaces/{name}   change fields of a workspace, or add one
"""

from typing import Any, Final

import msgspec
from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import ConfigurationChanges
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import (
    Access,
    json_response,
    optional_revision,
    outcome_response,
    problems_response,
    refusal_response,
)
from nutmegroad.operators.operator_configuration import no_configuration

_PATH: Final = '/operators/workspaces'


class WorkspaceChangeBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the entry of one workspace.

    Attributes:
        fields: The fields to change, named as in the document; all others
            keep their values. A workspace that does not exist is added.
        expected: Revision that the change is based on; the change is refused
            if another one is in force. None for the newest revision that
            this host can read.
    """

    fields: dict[str, Any]
    expected: int | None = None


@register('operator routes', 'workspaces')
class WorkspaceRoutes:
    """Routes for workspaces.

    Args:
        kernel: Kernel that provides the components.
        access: Authenticates operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._configuration = kernel.need(Configuration)
        self._changes = kernel.need(ConfigurationChanges)

    def add_routes(self, app: Application) -> None:
        """Register the routes."""
        app.router.add_get(_PATH, self.index)
        app.router.add_get(f'{_PATH}/{{name}}', self.show)
        app.router.add_post(f'{_PATH}/{{name}}', self.change)

    async def index(self, http: Request) -> Response:
        """List the workspaces."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        accepted = self._configuration.accepted
        if accepted is None:
            return refusal_response(no_configuration())
        return json_response(accepted.document.workspaces)

    async def show(self, http: Request) -> Response:
        """Return one workspace."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        name = http.match_info['name']
        entry = self._entry(name)
        if entry is None:
            return refusal_response(
                Refusal(
                    ResultCode.NOT_FOUND,
                    f'There is no workspace {name!r} in the configuration.',
                ),
            )
        return json_response(entry)

    async def change(self, http: Request) -> Response:
        """Change fields of one workspace, or add the workspace."""
        authorized = await self._access.read(http, WorkspaceChangeBody)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        name = http.match_info['name']
        current = self._entry(name)
        fields = {} if current is None else msgspec.to_builtins(current)
        try:
            entry = msgspec.convert(
                {**fields, **authorized.body.fields, 'name': name},
                WorkspaceEntry,
            )
        except msgspec.ValidationError as problem:
            return refusal_response(
                Refusal(
                    ResultCode.CONFIGURATION_INVALID,
                    f'The workspace {name!r} is invalid: {problem}. Nothing '
                    'was changed.',
                ),
            )
        outcome = await self._changes.set_workspace(
            entry,
            authorized.operator,
            optional_revision(authorized.body.expected),
        )
        if isinstance(outcome, tuple):
            return problems_response(outcome)
        return outcome_response(outcome)

    def _entry(self, name: str) -> WorkspaceEntry | None:
        """Return the entry of a workspace, or None."""
        accepted = self._configuration.accepted
        entries = accepted.document.workspaces if accepted else ()
        return next((entry for entry in entries if entry.name == name), None)
