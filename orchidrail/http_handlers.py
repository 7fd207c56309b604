"""Adapter for bound methods as handlers of the HTTP library."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable

from blacksheep import Request, Response

Handler = Callable[[Request], Awaitable[Response]]


def as_handler(method: Handler) -> Handler:
    """Wrap a bound method in a function that the library can set marks on."""

    @functools.wraps(method)
    async def handle(request: Request) -> Response:
        return await method(request)

    return handle
