"""The platform's interface: append-only log and VM list over HTTP."""

import abc
import urllib.parse

import attrs
import httpcore
import msgspec
import trio

from acacialine import errors


@attrs.frozen
class LogRecord:
    """One record of a stream."""

    offset: int
    text: str


@attrs.frozen
class LogPage:
    """Some consecutive records of a stream.

    Attributes:
        records: The records, lowest offset first.
        first: Lowest offset still retained.
        end: Offset of the next append.
    """

    records: list[LogRecord]
    first: int
    end: int


@attrs.frozen
class Vm:
    """One VM of the platform's list.

    Attributes:
        vm_id: Unique id.
        role: `entry` or `backend`.
        address: `IP:port` where it is reached.
        zone: Its availability zone.
        rack: Its rack.
        state: `live` or `leaving`.
        slots: Tasks it runs at once.
        cpus: Processors.
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
    """The platform's view of all VMs; it lags."""

    vms: list[Vm]


@attrs.frozen
class Appended:
    """The answer to an append."""

    offset: int


class Platform(abc.ABC):
    """What the system needs of any platform."""

    @abc.abstractmethod
    async def append(self, stream: str, text: str) -> int:
        """Appends a record and returns its offset.

        Raises:
            errors.PlatformError: With `may_have_applied` set if in doubt.
        """

    @abc.abstractmethod
    async def read(self, stream: str, start: int, wait_ms: int) -> LogPage:
        """Reads records from an offset, waiting if there are none yet.

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
    """The platform over HTTP with JSON bodies."""

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
        return _decode(body, Appended).offset

    async def read(self, stream: str, start: int, wait_ms: int) -> LogPage:
        """See `Platform.read`."""
        path = f"/log/{urllib.parse.quote(stream)}?from={start}&wait={wait_ms}"
        body = await self._request("GET", path, extra_s=wait_ms / 1000)
        return _decode(body, LogPage)

    async def list_vms(self) -> VmList:
        """See `Platform.list_vms`."""
        return _decode(await self._request("GET", "/vms"), VmList)

    async def _request(
        self, method: str, path: str, body: bytes = b"", extra_s: float = 0
    ) -> bytes:
        changes = method != "GET"
        try:
            with trio.fail_after(self._timeout_s + extra_s):
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
            raise errors.PlatformError(message, changes) from error
        if response.status != 200:
            message = f"{method} {path} answered {response.status}"
            raise errors.PlatformError(message, changes)
        return response.content

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()


def _decode(body: bytes, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.PlatformError(f"malformed answer: {error}") from error


def new_http_platform(url: str, timeout_ms: int) -> HttpPlatform:
    """Creates the adapter for a platform at a URL."""
    return HttpPlatform(url, timeout_ms / 1000)
