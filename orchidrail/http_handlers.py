"""Types of HTTP handlers, and bound methods as handlers of the library."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from blacksheep import Request, Response

Handler = Callable[[Request], Awaitable[Response]]
#: Arguments of an ASGI application.
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Scope]]
Send = Callable[[Scope], Awaitable[None]]


def as_handler(method: Handler) -> Handler:
    """Wrap a bound method in a function that the library can set marks on."""

    @functools.wraps(method)
    async def handle(request: Request) -> Response:
        return await method(request)

    return handle
