"""The object store's stand-in: content that never changes, in memory."""

from typing import Final

from aiohttp import web

from fakes.bodies import json_reply, no_content, query_text
from nutmegroad.adapters._platform_bodies import NamesBody

_OBJECT_PATH: Final = '/objects/{name:.+}'


class FakeObjects:
    """Objects by name."""

    def __init__(self) -> None:
        self._blobs: dict[str, bytes] = {}

    def add_routes(self, app: web.Application) -> None:
        """Answer the object store's calls in an application."""
        app.router.add_put(_OBJECT_PATH, self._answer_put)
        app.router.add_get(_OBJECT_PATH, self._answer_get)
        app.router.add_get('/objects', self._answer_names)

    async def _answer_put(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        blob = await request.read()
        if self._blobs.setdefault(name, blob) != blob:
            raise web.HTTPConflict(text=f'{name!r} holds other content.')
        return no_content()

    async def _answer_get(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if name not in self._blobs:
            raise web.HTTPNotFound(text=f'There is no object {name!r}.')
        return web.Response(body=self._blobs[name])

    async def _answer_names(self, request: web.Request) -> web.Response:
        prefix = query_text(request, 'prefix')
        names = sorted(name for name in self._blobs if name.startswith(prefix))
        return json_reply(NamesBody(tuple(names)))
