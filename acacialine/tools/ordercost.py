"""Compares the CPU time of one order by the product's client and by httpcore.

Both send the same request on a kept connection to a backend server in another
process, one after the other; only the time of this process counts.
"""

import contextlib
import subprocess
import sys
import time

import attrs
import httpcore
import msgspec
import trio

from acacialine import clock
from acacialine import httppool
from acacialine import streams
from acacialine.tools import ports

ORDERS = 800  # the server closes a connection after 1,000 requests
WARM_UP_ORDERS = 100
TIMEOUT_S = 5.0
STARTUP_TIMEOUT_S = 20.0
TARGET = "/run/bare"
_BODY = msgspec.json.encode({"run_ms": 0, "mark": "x" * 1000})
_HEADERS = (
    (b"task-id", b"5c0e7a21d94b36f8.0.0.3"),
    (b"lease-ms", b"10000"),
    (b"deadline-ms", b"10000"),
)


@attrs.frozen
class OrderCost:
    """CPU time of one order and its reply.

    Attributes:
        httpcore_us: With a connection of httpcore, in us.
        client_us: With `httppool.CallbackPool`, in us.
        ratio: `client_us` divided by `httpcore_us`.
    """

    httpcore_us: float
    client_us: float
    ratio: float


async def measure() -> OrderCost:
    """Starts a backend server and measures both clients in turn."""
    (port,) = ports.reserve(1)
    address = (ports.HOST, port)
    command = ["standin", "backend", "--name", "b", "--address"]
    process = subprocess.Popen(
        [sys.executable, "-m", "acacialine", *command, f"{ports.HOST}:{port}"]
    )
    try:
        await _wait_until_it_listens(address)
        httpcore_us = await _httpcore_us(address)
        client_us = await _client_us(address)
    finally:
        process.kill()
        process.wait()
    ratio = client_us / httpcore_us
    return OrderCost(
        round(httpcore_us, 1), round(client_us, 1), round(ratio, 3)
    )


async def _wait_until_it_listens(address: tuple[str, int]) -> None:
    with trio.fail_after(STARTUP_TIMEOUT_S):
        while True:
            with contextlib.suppress(httppool.NotSentError):
                (await httppool.connect(address, 1.0)).close()
                return
            await trio.sleep(0.05)


def _check_status(status: int) -> None:
    if status != 200:
        raise RuntimeError(f"backend server answered {status}")


async def _httpcore_us(address: tuple[str, int]) -> float:
    host = f"{address[0]}:{address[1]}".encode()
    origin = httpcore.Origin(b"http", address[0].encode(), address[1])
    stream = await streams.connect(address, TIMEOUT_S)
    connection = httpcore.AsyncHTTP11Connection(origin, stream)
    url = httpcore.URL(
        scheme=b"http",
        host=origin.host,
        port=origin.port,
        target=TARGET.encode(),
    )
    headers = [
        (b"host", host),
        *_HEADERS,
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(_BODY)),
    ]
    begin = 0.0
    for number in range(WARM_UP_ORDERS + ORDERS):
        if number == WARM_UP_ORDERS:
            begin = time.process_time()
        with trio.fail_after(TIMEOUT_S):
            request = httpcore.Request(
                "POST", url, headers=headers, content=_BODY
            )
            response = await connection.handle_async_request(request)
            _check_status(response.status)
            async for _ in response.stream:
                pass
            await response.stream.aclose()
    spent_s = time.process_time() - begin
    await connection.aclose()
    return 1e6 * spent_s / ORDERS


async def _client_us(address: tuple[str, int]) -> float:
    begin = 0.0
    spent_s = 0.0
    done = trio.Event()
    left = WARM_UP_ORDERS + ORDERS

    async def on_connect(connection: httppool.Connection) -> None:
        await trio.lowlevel.checkpoint()

    def on_reply(reply: httppool.Reply) -> None:
        nonlocal begin, left, spent_s
        _check_status(reply.status)
        left -= 1
        if left == ORDERS:
            begin = time.process_time()
        if left:
            pool.deadlines.check(clock.now())
            send()
        else:
            spent_s = time.process_time() - begin
            done.set()

    def on_failure(error: Exception) -> None:
        raise error

    def send() -> None:
        request = httppool.finish_request(head, _BODY)
        pool.send(httppool.Call(request, TIMEOUT_S, on_reply, on_failure))

    head = httppool.new_request_head("POST", TARGET, address, _HEADERS)
    async with trio.open_nursery() as nursery:
        pool = httppool.CallbackPool(
            address, TIMEOUT_S, on_connect, httppool.Deadlines(), nursery
        )
        send()
        await done.wait()
        pool.close()
    return 1e6 * spent_s / ORDERS
