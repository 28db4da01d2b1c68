"""Interface of the platform: its append-only logs and VM list, over HTTP."""

import abc
import urllib.parse

import attrs
import httpcore
import msgspec
import trio

from acacialine import errors


@attrs.frozen
class LogRecord:
    """One record of a stream of the log."""

    offset: int
    text: str


@attrs.frozen
class LogPage:
    """Consecutive records of a stream, as returned by one read.

    Attributes:
        records: The records, lowest offset first.
        first: Lowest offset that the stream still retains.
        end: Offset that the next append will get.
    """

    records: list[LogRecord]
    first: int
    end: int


@attrs.frozen
class Vm:
    """One VM in the platform's VM list.

    Attributes:
        vm_id: Unique id.
        role: `entry` or `backend`.
        address: `IP:port` at which it is reached.
        zone: Its availability zone.
        rack: Its rack.
        state: `live` or `leaving`.
        slots: Number of tasks it runs at once.
        cpus: Number of processors.
        memory_mb: Memory, in MB.
        accelerators: Number of accelerators.
    """

    vm_id: str
    role: str
    address: str
    zone: str
    rack: str = ""
    state: str = "live"
    slots: int = 8
    cpus: float = 16
    memory_mb: float = 65536
    accelerators: int = 0


@attrs.frozen
class VmList:
    """The platform's list of all VMs; it lags behind the actual VMs."""

    vms: list[Vm]


@attrs.frozen
class AppendResponse:
    """The response to an append, with the offset of the new record."""

    offset: int


class Platform(abc.ABC):
    """The operations that an entry needs from its platform."""

    @abc.abstractmethod
    async def append(self, stream: str, text: str) -> int:
        """Appends a record and returns its offset.

        Raises:
            errors.PlatformError: The append failed; `may_have_applied` tells
                whether the record may be in the log nevertheless.
        """

    @abc.abstractmethod
    async def read(self, stream: str, start: int, wait_ms: int) -> LogPage:
        """Reads records from an offset.

        Args:
            stream: Name of the stream.
            start: Lowest offset to read.
            wait_ms: Longest wait for a record if there is none yet, in ms.

        Raises:
            errors.PlatformError: The platform did not answer.
        """

    @abc.abstractmethod
    async def list_vms(self) -> VmList:
        """Returns the list of VMs.

        Raises:
            errors.PlatformError: The platform did not answer.
        """


class HttpPlatform(Platform):
    """A platform reached over HTTP, with JSON responses."""

    def __init__(self, url: str, timeout_s: float):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, keepalive_expiry=2.0, retries=0
        )

    async def append(self, stream: str, text: str) -> int:
        """See `Platform.append`."""
        path = f"/log/{urllib.parse.quote(stream)}"
        body = await self._request("POST", path, text.encode())
        try:
            return _decode(body, AppendResponse).offset
        except errors.PlatformError as error:
            # The append succeeded; only the offset is unknown.
            raise errors.PlatformError(str(error), True) from error

    async def read(self, stream: str, start: int, wait_ms: int) -> LogPage:
        """See `Platform.read`."""
        path = f"/log/{urllib.parse.quote(stream)}?from={start}&wait={wait_ms}"
        body = await self._request("GET", path, extra_timeout_s=wait_ms / 1000)
        return _decode(body, LogPage)

    async def list_vms(self) -> VmList:
        """See `Platform.list_vms`."""
        return _decode(await self._request("GET", "/vms"), VmList)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        extra_timeout_s: float = 0,
    ) -> bytes:
        may_have_applied = method != "GET"
        try:
            with trio.fail_after(self._timeout_s + extra_timeout_s):
                response = await self._pool.request(
                    method, self._url + path, content=body
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise errors.PlatformError(f"cannot connect: {error}") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as error:
            message = f"no answer: {type(error).__name__}"
            raise errors.PlatformError(message, may_have_applied) from error
        if response.status != 200:
            message = f"{method} {path} answered {response.status}"
            raise errors.PlatformError(message, may_have_applied)
        return response.content

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()


def _decode(body: bytes, response_type):
    try:
        return msgspec.json.decode(body, type=response_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.PlatformError(f"malformed answer: {error}") from error


def new_http_platform(url: str, timeout_ms: int) -> HttpPlatform:
    """Creates the client of the platform at a URL."""
    return HttpPlatform(url, timeout_ms / 1000)
