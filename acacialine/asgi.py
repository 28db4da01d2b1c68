"""Pieces shared by the ASGI applications of the package."""

import hypercorn.config


def http_only(app):
    """Wraps an application that serves only HTTP requests."""

    async def wrapped(scope, receive, send):
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await app(scope, receive, send)

    return wrapped


async def _lifespan(receive, send) -> None:
    """Acknowledges the start and the end of the server."""
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
    """Sends a whole response; the length is added."""
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
    address: tuple[str, int], idle_s: float
) -> hypercorn.config.Config:
    """Returns the server configuration for one address."""
    config = hypercorn.config.Config()
    config.bind = ["{}:{}".format(*address)]
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_timeout = idle_s
    config.include_date_header = False
    config.include_server_header = False
    return config
