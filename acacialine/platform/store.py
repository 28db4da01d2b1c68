"""Client of the platform's metadata store, a partitioned log over HTTP."""

import base64
import collections.abc
import struct

import attrs
import msgspec

from acacialine import channels as channels_lib
from acacialine import errors

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
READ_MAX_KB = 1024
# The platform writes the first two; the third is the product's own.
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
SERVERS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.entries"
_HEADER = struct.Struct(">QQ")  # end offset, first retained offset
_LENGTH = struct.Struct(">I")


class OffsetGoneError(errors.PlatformError):
    """The records that were asked for are not retained any more."""


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; an empty value removes the key."""

    key: str
    value: bytes


@attrs.frozen
class Newest:
    """The newest record of each key and where reading goes on."""

    records: list[KeyedRecord]
    end: int


@attrs.frozen
class Page:
    """Consecutive records and the offset after them."""

    records: list[KeyedRecord]
    next_offset: int


@attrs.define(eq=False)
class Store:
    """Calls of the store that the product needs.

    Attributes:
        on_call: Called after each call with its name and its outcome: `ok`,
            `status N`, `not sent` or `no answer`.
    """

    _channels: channels_lib.Channels
    on_call: collections.abc.Callable[[str, str], None]

    async def read(self, topic: str, offset: int, wait_s: float) -> Page:
        """Reads records from an offset on; waits for the first one.

        Raises:
            OffsetGoneError: They are not retained any more.
            errors.PlatformError: The store did not answer or refused.
        """
        target = (
            f"/acacialine/log-read?topic={topic}&part=0&from={offset}"
            f"&maxKb={READ_MAX_KB}&waitMs={round(wait_s * 1000)}"
        )
        body = await self._call("GET", target, b"", wait_s + CALL_TIMEOUT_S)
        return _decode_page(body, offset)

    async def newest(self, topic: str) -> Newest:
        """Reads the newest record of each key of a topic.

        Raises:
            errors.PlatformError: The store did not answer or refused.
        """
        records: list[KeyedRecord] = []
        after = ""
        end = None
        while True:
            target = f"/acacialine/log-newest?topic={topic}&part=0"
            if after:
                target += f"&after={after}"
            body = await self._call("GET", target, b"", CALL_TIMEOUT_S)
            try:
                content = msgspec.json.decode(body)
                for item in content.get("items", ()):
                    value = base64.b64decode(item.get("value", ""))
                    records.append(KeyedRecord(item["key"], value))
                # Pages are no snapshot: read on from the earliest end.
                if end is None:
                    end = int(content.get("endOffset", 0))
            except (ValueError, KeyError, TypeError) as error:
                raise errors.PlatformError(f"unreadable: {error}") from error
            if not content.get("hasMore") or not records:
                return Newest(records, end)
            after = records[-1].key

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends one record to a keyed topic.

        Raises:
            errors.PlatformError: Not done, or not known to be done.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        target = f"/acacialine/log-append?topic={topic}&part=0"
        data = _LENGTH.pack(len(content)) + content
        await self._call("POST", target, data, CALL_TIMEOUT_S)

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> bytes:
        name = target.partition("?")[0].rpartition("/")[2]
        try:
            reply = await self._channels.call(method, target, body, timeout_s)
        except channels_lib.NotSentError as error:
            self.on_call(name, "not sent")
            raise errors.PlatformError(str(error)) from error
        except channels_lib.NoAnswerError as error:
            self.on_call(name, "no answer")
            raise errors.PlatformError(str(error), True) from error
        ok = reply.status == 200
        self.on_call(name, "ok" if ok else f"status {reply.status}")
        if reply.status == 410:
            raise OffsetGoneError("records are not retained any more")
        if reply.status != 200:
            raise errors.PlatformError(f"status {reply.status}")
        return reply.body


def _decode_page(body: bytes, offset: int) -> Page:
    if len(body) < _HEADER.size:
        raise errors.PlatformError("page without a header")
    records = []
    position = _HEADER.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise errors.PlatformError("page ends within a record")
        position += length
        offset += 1
        record = _decode_record(content)
        if record is not None:
            records.append(record)
    return Page(records, offset)


def _decode_record(content: bytes) -> KeyedRecord | None:
    """Decodes a keyed record; None if another writer left garbage."""
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    key = content[1:end].decode(errors="replace")
    return KeyedRecord(key, content[end:])


def new_store(
    address: tuple[str, int],
    on_call: collections.abc.Callable[[str, str], None],
) -> Store:
    """Creates a client of the store at an address; see `Store.on_call`."""
    channels = channels_lib.Channels(address, CONNECT_TIMEOUT_S)
    return Store(channels, on_call)
