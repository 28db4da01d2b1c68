"""Records in the store by which dispatchers find each other."""

import ipaddress

import attrs
import msgspec

from acacialine import ids

# Above this number of dispatchers, each renews its record less often.
MAX_FULL_RATE_DISPATCHERS = 12


@attrs.frozen
class EntryRecord:
    """The record that a dispatcher writes about itself.

    Attributes:
        id: Its incarnation; the key of the record.
        address: `IP:port` where its peers connect.
        started: Start of its process, in s since 1970.
        claim: Its epoch while it is the placer of its zone, else 0.
        weight: Its CPU capacity, in processors.
    """

    id: str
    name: str
    zone: str
    address: str
    started: float
    claim: int
    weight: float = 1.0

    @property
    def peer_address(self) -> tuple[str, int]:
        """Host and port of `address`."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


@attrs.define(eq=False)
class Directory:
    """The latest record of each dispatcher and when it was read.

    Attributes:
        records: Records by id.
        renewed_at: When each record was last read, by id.
    """

    records: dict[str, EntryRecord] = attrs.field(factory=dict)
    renewed_at: dict[str, float] = attrs.field(factory=dict)
    _zones: frozenset[str] | None = None

    @property
    def zones(self) -> frozenset[str]:
        """The availability zones that have dispatchers."""
        if self._zones is None:
            self._zones = frozenset(r.zone for r in self.records.values())
        return self._zones

    def apply(self, key: str, value: bytes, now: float) -> bool:
        """Applies one record; an empty value deletes the record of the key.

        Returns:
            Whether a record has changed.

        Raises:
            ValueError: The value is malformed.
        """
        if not value:
            self._zones = None
            self.renewed_at.pop(key, None)
            return self.records.pop(key, None) is not None
        known = self.records.get(key)
        record = msgspec.json.decode(value, type=EntryRecord)
        if record.id != key:
            raise ValueError(f"the record names another id: {record.id!r}")
        if ids.parse_incarnation(key).address != record.peer_address:
            raise ValueError(f"the id has another address: {record.address!r}")
        ipaddress.ip_address(record.peer_address[0])
        # Of several processes at one address the last to write is alive. Start
        # times are not compared, because wall clocks may be wrong.
        for other in list(self.records.values()):
            if other.address == record.address and other.id != key:
                self.apply(other.id, b"", now)
        self.renewed_at[key] = now
        if record == known:
            return False
        self._zones = None
        self.records[key] = record
        return True

    def expired_keys(self, age_s: float, now: float) -> list[str]:
        """Returns the keys of records not renewed for more than age_s."""
        return [key for key, at in self.renewed_at.items() if now - at > age_s]


def renewal_interval_s(poll_s: float, dispatcher_count: int) -> float:
    """Returns the time in s between two renewals of a dispatcher's record.

    Every dispatcher reads every renewal, so each renews less often the more
    dispatchers there are.
    """
    return poll_s * max(1.0, dispatcher_count / MAX_FULL_RATE_DISPATCHERS)


def encode(record: EntryRecord) -> bytes:
    """Encodes a record for the store."""
    return msgspec.json.encode(record)
