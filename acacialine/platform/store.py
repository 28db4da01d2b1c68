"""Client of the platform's metadata store, a partitioned log over HTTP.

Each record of a keyed topic replaces the earlier records of its key. The
dispatchers use partition 0 of each topic.
"""

import base64
import collections.abc
import struct
import urllib.parse

import attrs
import msgspec

from acacialine import errors
from acacialine import httppool as httppool_lib

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
READ_MAX_KB = 1024
# Dispatchers write to ENTRIES_TOPIC; the platform writes to the other topics.
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
SERVERS_TOPIC = "keyed.servers"
ENTRIES_TOPIC = "keyed.entries"
_HEADER = struct.Struct(">QQ")  # end offset, first retained offset
_LENGTH = struct.Struct(">I")


class OffsetGoneError(errors.PlatformError):
    """The store no longer retains the requested records."""


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@attrs.frozen
class LatestRecords:
    """The latest record of each key of a topic.

    Attributes:
        next_offset: Offset from which to read the records that follow.
        end_offset: Offset before which they may contain records that are read
            again from `next_offset`, if records were appended meanwhile.
    """

    records: list[KeyedRecord]
    next_offset: int
    end_offset: int


class _LatestItem(msgspec.Struct):
    """One item of a response to log-newest, as the platform names it."""

    key: str
    value: str = ""


class _LatestPage(msgspec.Struct, rename="camel"):
    """A response to log-newest."""

    items: list[_LatestItem] = []
    has_more: bool = False
    end_offset: int = 0


@attrs.frozen
class Page:
    """Consecutive records of a topic.

    Attributes:
        next_offset: Offset after the last of them.
        end_offset: Offset after the last record of the topic.
    """

    records: list[KeyedRecord]
    next_offset: int
    end_offset: int


@attrs.define(eq=False)
class Store:
    """Client of the store, used by `storereader.StoreReader`.

    Attributes:
        on_call: Called after each call with the last part of its path and its
            outcome: `ok`, `status N`, `not sent` or `no answer`.
    """

    _connection_pool: httppool_lib.ConnectionPool
    on_call: collections.abc.Callable[[str, str], None]

    async def read(self, topic: str, offset: int, wait_s: float) -> Page:
        """Reads the records of a topic from an offset on.

        Args:
            topic: Name of the topic.
            offset: Offset of the first record to read.
            wait_s: Longest time in s that the store waits for a first record.

        Raises:
            OffsetGoneError: The store no longer retains these records.
            errors.PlatformError: The store did not respond or refused.
        """
        target = (
            f"/acacialine/log-read?topic={topic}&part=0&from={offset}"
            f"&maxKb={READ_MAX_KB}&waitMs={round(wait_s * 1000)}"
        )
        body = await self._call("GET", target, b"", wait_s + CALL_TIMEOUT_S)
        return _decode_page(body, offset)

    async def read_latest(self, topic: str) -> LatestRecords:
        """Reads the latest record of each key of a topic.

        Raises:
            errors.PlatformError: The store did not respond or refused.
        """
        records: list[KeyedRecord] = []
        last_key = ""
        next_offset = None
        while True:
            target = f"/acacialine/log-newest?topic={topic}&part=0"
            if last_key:
                target += f"&after={urllib.parse.quote(last_key, safe='')}"
            body = await self._call("GET", target, b"", CALL_TIMEOUT_S)
            try:
                content = msgspec.json.decode(body, type=_LatestPage)
                page = [
                    KeyedRecord(i.key, base64.b64decode(i.value))
                    for i in content.items
                ]
            except (ValueError, RecursionError) as error:
                raise errors.PlatformError(
                    f"malformed response: {error}"
                ) from error
            records += page
            # Records may be appended between two pages, so the end offset of
            # the first page is the one that misses none.
            if next_offset is None:
                next_offset = content.end_offset
            if not content.has_more or not page:
                return LatestRecords(records, next_offset, content.end_offset)
            last_key = records[-1].key

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Appends one record to a keyed topic.

        Raises:
            errors.PlatformError: The record was not appended, or it is not
                known whether it was.
        """
        encoded_key = key.encode()
        content = bytes([len(encoded_key)]) + encoded_key + value
        target = f"/acacialine/log-append?topic={topic}&part=0"
        data = _LENGTH.pack(len(content)) + content
        await self._call("POST", target, data, CALL_TIMEOUT_S)

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> bytes:
        name = target.partition("?")[0].rpartition("/")[2]
        try:
            reply = await self._connection_pool.call(
                method, target, body, timeout_s
            )
        except httppool_lib.NotSentError as error:
            self.on_call(name, "not sent")
            raise errors.PlatformError(str(error)) from error
        except httppool_lib.NoAnswerError as error:
            self.on_call(name, "no answer")
            raise errors.PlatformError(str(error), True) from error
        ok = reply.status == 200
        self.on_call(name, "ok" if ok else f"status {reply.status}")
        if reply.status == 410:
            raise OffsetGoneError("the store no longer retains these records")
        if reply.status != 200:
            raise errors.PlatformError(f"status {reply.status}")
        return reply.body


def _decode_page(body: bytes, offset: int) -> Page:
    """Decodes consecutive records, the first of which has the offset."""
    if len(body) < _HEADER.size:
        raise errors.PlatformError("page is shorter than its header")
    end_offset, _ = _HEADER.unpack_from(body)
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
    return Page(records, offset, end_offset)


def _decode_record(content: bytes) -> KeyedRecord | None:
    """Decodes a keyed record; returns None if it is malformed."""
    if not content or len(content) < 1 + content[0]:
        return None
    key_end = 1 + content[0]
    key = content[1:key_end].decode(errors="replace")
    return KeyedRecord(key, content[key_end:])


def new_store(
    address: tuple[str, int],
    on_call: collections.abc.Callable[[str, str], None],
) -> Store:
    """Creates a client of the store at an address; see `Store.on_call`."""
    connection_pool = httppool_lib.ConnectionPool(address, CONNECT_TIMEOUT_S)
    return Store(connection_pool, on_call)
