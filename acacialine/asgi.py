"""Helpers shared by the ASGI applications."""

import hypercorn.config


def http_only(app):
    """Wraps an ASGI application that handles only HTTP scopes.

    Lifespan events are acknowledged; other scopes are ignored.
    """

    async def serve_http(scope, receive, send):
        if scope["type"] == "lifespan":
            await _acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await app(scope, receive, send)

    return serve_http


async def _acknowledge_lifespan(receive, send) -> None:
    """Acknowledges the startup and shutdown events of the server."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def reply(
    send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
) -> None:
    """Sends a complete response, with a Content-Length header added."""
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


def new_config(
    address: tuple[str, int], keep_alive_s: float
) -> hypercorn.config.Config:
    """Returns the hypercorn configuration for one listening address.

    Args:
        address: Host and port.
        keep_alive_s: Time after which idle client connections are closed.
    """
    config = hypercorn.config.Config()
    config.bind = ["{}:{}".format(*address)]
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_timeout = keep_alive_s
    config.include_date_header = False
    config.include_server_header = False
    return config
