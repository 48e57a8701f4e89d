"""Operators' routes for presets.

GET  /operators/presets          list the presets, and which one is in force
GET  /operators/presets/{name}   return one preset
POST /operators/preset           put another preset into force
"""

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import ConfigurationChanges
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import PresetEntry
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import PresetName
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import (
    Access,
    json_response,
    optional_revision,
    outcome_response,
    refusal_response,
)
from nutmegroad.operators.operator_configuration import no_configuration


class SwitchBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A preset to put into force.

    Attributes:
        preset: Name of the preset.
        expected: Revision that the change is based on; the change is refused
            if another one is in force. None for any revision.
    """

    preset: str
    expected: int | None = None


class PresetBody(Struct, frozen=True):
    """A preset of the configuration in force.

    Attributes:
        name: Name of the preset.
        in_force: Whether the preset is in force.
        revision: Revision of the configuration in force.
        entry: Entry of the preset in the document.
    """

    name: str
    in_force: bool
    revision: int
    entry: PresetEntry


@register('operator routes', 'presets')
class PresetRoutes:
    """Routes for presets.

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
        app.router.add_get('/operators/presets', self.index)
        app.router.add_get('/operators/presets/{name}', self.show)
        app.router.add_post('/operators/preset', self.switch)

    async def index(self, http: Request) -> Response:
        """List the presets."""
        return outcome_response(self._presets(http))

    async def show(self, http: Request) -> Response:
        """Return one preset."""
        presets = self._presets(http)
        if isinstance(presets, Refusal):
            return refusal_response(presets)
        name = http.match_info['name']
        named = next((body for body in presets if body.name == name), None)
        if named is not None:
            return json_response(named)
        choices = ', '.join(body.name for body in presets)
        return refusal_response(
            Refusal(
                ResultCode.PRESET_UNKNOWN,
                f'There is no preset {name!r}; the choices are {choices}.',
            ),
        )

    async def switch(self, http: Request) -> Response:
        """Put another preset into force."""
        authorized = await self._access.read(http, SwitchBody)
        if isinstance(authorized, Refusal):
            return refusal_response(authorized)
        head = await self._changes.switch_preset(
            PresetName(authorized.body.preset),
            authorized.operator,
            optional_revision(authorized.body.expected),
        )
        return outcome_response(head)

    def _presets(self, http: Request) -> tuple[PresetBody, ...] | Refusal:
        """Authenticate the operator and return all presets."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return operator
        accepted = self._configuration.accepted
        if accepted is None:
            return no_configuration()
        return tuple(
            PresetBody(
                entry.name,
                entry.name == accepted.preset,
                accepted.revision,
                entry,
            )
            for entry in accepted.document.presets
        )
