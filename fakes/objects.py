"""Stand-in for the object store: immutable objects, held in memory."""

from typing import Final

from aiohttp import web

from fakes.bodies import json_reply, no_content, query_text
from nutmegroad.adapters._platform_bodies import NamesBody

_OBJECT_PATH: Final = '/objects/{name:.+}'


class FakeObjects:
    """An object store whose objects can be added but not changed."""

    def __init__(self) -> None:
        self._blobs: dict[str, bytes] = {}

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the object store to an application."""
        app.router.add_put(_OBJECT_PATH, self._handle_put)
        app.router.add_get(_OBJECT_PATH, self._handle_get)
        app.router.add_get('/objects', self._handle_list)

    async def _handle_put(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        blob = await request.read()
        if self._blobs.setdefault(name, blob) != blob:
            raise web.HTTPConflict(
                text=f'object {name!r} exists with other content'
            )
        return no_content()

    async def _handle_get(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if name not in self._blobs:
            raise web.HTTPNotFound(text=f'object {name!r} does not exist')
        return web.Response(body=self._blobs[name])

    async def _handle_list(self, request: web.Request) -> web.Response:
        prefix = query_text(request, 'prefix')
        names = sorted(name for name in self._blobs if name.startswith(prefix))
        return json_reply(NamesBody(tuple(names)))
