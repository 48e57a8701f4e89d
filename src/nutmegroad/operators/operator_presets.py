"""Operators' routes for presets.

GET  /operators/presets          all presets, and which one is in force
GET  /operators/presets/{name}   one preset
POST /operators/preset           put another preset into force
"""

from aiohttp.web import Application, Request, Response
from msgspec import Struct

from nutmegroad.configuration.changes import Changes
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import PresetEntry
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import PresetName
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators.operator_access import (
    Access,
    answer,
    refuse_operator,
    reply,
    revision_of,
)
from nutmegroad.operators.operator_configuration import missing


class SwitchBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A preset to be put into force.

    Attributes:
        preset: Its name.
        expected: The revision that the operator saw.
    """

    preset: str
    expected: int | None = None


class PresetBody(Struct, frozen=True):
    """A preset, as operators see it.

    Attributes:
        name: Its name.
        in_force: Whether it is the one in force.
        revision: The revision in which that is so.
        entry: What it says.
    """

    name: str
    in_force: bool
    revision: int
    entry: PresetEntry


@register('operator routes', 'presets')
class PresetRoutes:
    """Serves operators the presets.

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
        app.router.add_get('/operators/presets', self.index)
        app.router.add_get('/operators/presets/{name}', self.show)
        app.router.add_post('/operators/preset', self.switch)

    async def index(self, http: Request) -> Response:
        """List the presets."""
        presets = self._presets(http)
        return answer(presets)

    async def show(self, http: Request) -> Response:
        """Show one preset."""
        presets = self._presets(http)
        if isinstance(presets, Refusal):
            return refuse_operator(presets)
        name = http.match_info['name']
        found = next((one for one in presets if one.name == name), None)
        if found is not None:
            return reply(found)
        choices = ', '.join(known.name for known in presets)
        return refuse_operator(
            Refusal(
                ResultCode.PRESET_UNKNOWN,
                f'There is no preset {name!r}; the choices are {choices}.',
            ),
        )

    async def switch(self, http: Request) -> Response:
        """Put another preset into force."""
        ordered = await self._access.read(http, SwitchBody)
        if isinstance(ordered, Refusal):
            return refuse_operator(ordered)
        head = await self._changes.switch(
            PresetName(ordered.body.preset),
            ordered.operator,
            revision_of(ordered.body.expected),
        )
        return answer(head)

    def _presets(self, http: Request) -> tuple[PresetBody, ...] | Refusal:
        """Return the presets, for an operator."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return operator
        accepted = self._configuration.accepted
        if accepted is None:
            return missing()
        return tuple(
            PresetBody(
                entry.name,
                entry.name == accepted.preset,
                accepted.revision,
                entry,
            )
            for entry in accepted.document.presets
        )
