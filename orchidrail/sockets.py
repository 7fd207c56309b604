"""Listening sockets for the HTTP library."""

from __future__ import annotations

import socket

_BACKLOG = 512


def listen(address: str) -> socket.socket:
    """Return a socket that listens on ``host:port``.

    Its protocol is set explicitly, since asyncio sets ``TCP_NODELAY`` only
    then. Without that option, a reply sent in two segments waits about 40 ms
    for a delayed acknowledgement.
    """
    host, port = address.rsplit(':', 1)
    listening = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, int(port)))
    listening.listen(_BACKLOG)
    return listening
