"""Accepts connections within the budget of their listening address."""

import collections.abc
import errno
import socket

import trio

from acacialine import clientlimits
from acacialine import clock

# Pause after a failed accept, for descriptors or kernel memory to become free.
ACCEPT_RETRY_S = 0.05
# Accepted each time that the event loop comes round. With one at a time, a job
# waited for seconds behind a crowd of 900 new connections.
_BATCH = 64
_CAPACITY_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

Handler = collections.abc.Callable[
    [socket.socket, clientlimits.Account],
    collections.abc.Awaitable[None],
]


async def serve_listeners(
    handler: Handler,
    listeners: list[trio.SocketListener],
    budget: clientlimits.Budget,
) -> None:
    """Accepts connections and runs the handler of each, until cancelled.

    The handler gets a non-blocking socket, which it closes. The account of a
    connection is closed when its handler returns.
    """
    async with trio.open_nursery() as nursery:
        for listener in listeners:
            sock = socket.socket(fileno=listener.socket.detach())
            sock.setblocking(False)
            nursery.start_soon(_accept, handler, sock, budget, nursery)


async def _accept(
    handler: Handler,
    listening: socket.socket,
    budget: clientlimits.Budget,
    nursery: trio.Nursery,
) -> None:
    with listening:
        while True:
            await trio.lowlevel.wait_readable(listening)
            for _ in range(_BATCH):
                try:
                    sock = _accept_one(listening)
                except BlockingIOError:
                    break
                except OSError as error:
                    if error.errno in _CAPACITY_ERRORS:
                        # The connection stays in the backlog and the socket
                        # readable, so the loop would spin without a pause.
                        budget.free_descriptors(clock.now())
                        await trio.sleep(ACCEPT_RETRY_S)
                    # Else only this connection has failed.
                    break
                account = budget.open(clock.now())
                if account is None:
                    sock.close()
                else:
                    nursery.start_soon(_run, handler, sock, account, budget)


def _accept_one(listening: socket.socket) -> socket.socket:
    sock, _ = listening.accept()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


async def _run(
    handler: Handler,
    sock: socket.socket,
    account: clientlimits.Account,
    budget: clientlimits.Budget,
) -> None:
    try:
        await handler(sock, account)
    finally:
        budget.close(account)
