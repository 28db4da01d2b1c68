"""A network stream for httpcore that sends each request in one write.

httpcore writes the head, the body and the end of a request separately. This
stream buffers them until the reply is read, so a request takes one system
call and wakes the backend server once.
"""

import httpcore
import trio


class CoalescingStream(httpcore.AsyncNetworkStream):
    """A TCP stream that buffers writes and sends them when a read begins."""

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._write_buffer = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Sends the buffered data, then reads up to `max_bytes`.

        Raises:
            httpcore.ReadError: The connection failed.
        """
        try:
            if self._write_buffer:
                data = bytes(self._write_buffer)
                self._write_buffer.clear()
                await self._stream.send_all(data)
            return await self._stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffers data until the next read."""
        self._write_buffer += buffer

    async def aclose(self) -> None:
        """Closes the connection and drops the buffered data."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Returns whether the socket is readable, for the info "is_readable".

        httpcore asks for it to detect idle connections that were closed.
        The result is None for any other info.
        """
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None


async def connect(
    address: tuple[str, int], timeout_s: float
) -> CoalescingStream:
    """Opens a TCP connection.

    Raises:
        httpcore.ConnectError: The server cannot be reached.
        httpcore.ConnectTimeout: The timeout passed before it was reached.
    """
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(*address)
    except trio.TooSlowError as error:
        raise httpcore.ConnectTimeout(str(error)) from error
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error
    return CoalescingStream(stream)
