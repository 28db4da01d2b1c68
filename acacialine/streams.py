"""A network stream for httpcore that writes each request at once.

httpcore writes the head, the body and the end of a request one by one. This
stream holds them back until the reply is read, so that a request is one
system call here and wakes the backend server once.
"""

import httpcore
import trio


class CoalescingStream(httpcore.AsyncNetworkStream):
    """A TCP stream that sends what was written when a read begins."""

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._pending = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Sends what is pending, then reads.

        Raises:
            httpcore.ReadError: The connection broke.
        """
        try:
            if self._pending:
                data = bytes(self._pending)
                self._pending.clear()
                await self._stream.send_all(data)
            return await self._stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Holds back what is written until the next read."""
        self._pending += buffer

    async def aclose(self) -> None:
        """Closes the connection; what is pending is dropped."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Tells whether an idle connection has input."""
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None


async def connect(
    address: tuple[str, int], timeout_s: float
) -> CoalescingStream:
    """Opens a connection.

    Raises:
        httpcore.ConnectError: The server cannot be reached.
        httpcore.ConnectTimeout: It was not reached in time.
    """
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(*address)
    except trio.TooSlowError as error:
        raise httpcore.ConnectTimeout(str(error)) from error
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error
    return CoalescingStream(stream)
