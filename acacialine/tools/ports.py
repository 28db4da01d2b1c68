"""Loopback ports for processes that are started, stopped and started again.

A port is reserved by a socket that is bound to it but never listens. Such a
socket keeps the port from other programs and from outgoing connections, while
a listener that sets SO_REUSEADDR, as all of ours do, can still use it.
"""

import atexit
import socket

HOST = "127.0.0.1"
_reservations: dict[int, socket.socket] = {}


def reserve(count: int) -> list[int]:
    """Returns distinct TCP ports reserved until this process exits."""
    ports = []
    while len(ports) < count:
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((HOST, 0))
        port = reservation.getsockname()[1]
        if port in _reservations:
            reservation.close()
            continue
        _reservations[port] = reservation
        ports.append(port)
    return ports


@atexit.register
def _release_all() -> None:
    for reservation in _reservations.values():
        reservation.close()
