"""Small HTTP helpers shared by the stand-ins and the tools."""

import functools

import hypercorn.trio
import msgspec
import trio

from acacialine import asgi


async def read_body(receive) -> bytes:
    """Reads a whole ASGI request body."""
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"".join(chunks)
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def reply(
    send,
    status: int,
    body: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Sends a whole ASGI response."""
    fields = [(b"content-type", b"application/json"), *headers]
    await asgi.send_response(send, status, body, fields)


async def reply_json(send, status: int, content) -> None:
    """Sends a JSON response."""
    await reply(send, status, msgspec.json.encode(content))


async def serve(
    app,
    address: tuple[str, int],
    task_status=trio.TASK_STATUS_IGNORED,
    idle_s: float = 30.0,
) -> None:
    """Serves an ASGI application until cancelled."""
    config = asgi.new_hypercorn_config(address, idle_s)
    config.graceful_timeout = 0.1
    await hypercorn.trio.serve(
        asgi.http_only(app),
        config,
        shutdown_trigger=trio.sleep_forever,
        task_status=task_status,
    )


def new_server(app, address: tuple[str, int], idle_s: float = 30.0):
    """Returns a function to be started in a nursery."""
    return functools.partial(serve, app, address, idle_s=idle_s)
