"""Records by which entries find each other in the platform's store."""

import attrs
import msgspec

RENEWING_ENTRIES = 12  # with more of them each renews less often


@attrs.frozen
class EntryRecord:
    """What an entry says of itself.

    Attributes:
        id: Its incarnation; the key of the record.
        claim: Its epoch while it is the placer of its zone, else 0.
        weight: Its share of a processor.
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
        """Where its peers connect."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


@attrs.define(eq=False)
class Directory:
    """The newest record of each entry and when it was last renewed."""

    records: dict[str, EntryRecord] = attrs.field(factory=dict)
    renewed_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def zones(self) -> frozenset[str]:
        """The availability zones that have entries."""
        return frozenset(r.zone for r in self.records.values())

    def apply(self, key: str, value: bytes, now: float) -> None:
        """Takes in one record.

        Raises:
            ValueError: It can't be read.
        """
        if not value:
            self.records.pop(key, None)
            self.renewed_at.pop(key, None)
            return
        record = msgspec.json.decode(value, type=EntryRecord)
        # The last writer at an address lives; times of day may be wrong.
        for other in list(self.records.values()):
            if other.address == record.address and other.id != key:
                self.apply(other.id, b"", now)
        self.records[key] = record
        self.renewed_at[key] = now

    def expired(self, age_s: float, now: float) -> list[str]:
        """Returns the keys that were not renewed for a time."""
        return [key for key, at in self.renewed_at.items() if now - at > age_s]


def renewal_interval_s(poll_s: float, entries: int) -> float:
    """Returns the pause between two renewals of one entry's record.

    Every entry reads every renewal, so that in a large installation each one
    renews less often.
    """
    return poll_s * max(1.0, entries / RENEWING_ENTRIES)


def encode(record: EntryRecord) -> bytes:
    """Encodes a record for the store."""
    return msgspec.json.encode(record)
