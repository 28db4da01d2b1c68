"""ASGI helpers of the fake external systems."""

import functools

import hypercorn.trio
import msgspec
import trio

from acacialine import asgi


async def read_body(receive) -> bytes:
    """Returns a whole ASGI request body, or its part before a disconnect."""
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
    """Sends a whole ASGI response with the content type of JSON."""
    fields = [(b"content-type", b"application/json"), *headers]
    await asgi.send_response(send, status, body, fields)


async def reply_json(send, status: int, content) -> None:
    """Sends an ASGI response with an object encoded as JSON."""
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
    """Returns `serve` with its arguments, for `nursery.start`."""
    return functools.partial(serve, app, address, idle_s=idle_s)
