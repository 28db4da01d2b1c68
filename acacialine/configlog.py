"""Computes the configuration in force from the records of its log.

The order of the log decides between concurrent changes, so all readers arrive
at the same configuration.
"""

import collections

import attrs
import msgspec

from acacialine import documents as documents_lib
from acacialine import errors
from acacialine import platforms

MAX_RETAINED_REJECTIONS = 64
MAX_RETAINED_CHANGE_IDS = 4096


@attrs.frozen
class Change:
    """One published change of a team document.

    Attributes:
        change_id: Unique id chosen by the publisher.
        team: The team whose document changes.
        base: The version this change is based on; 0 for a new team.
        text: The whole new document.
        author: Who published it.
    """

    change_id: str
    team: str
    base: int
    text: str
    author: str = ""


@attrs.frozen
class Version:
    """The version of one team's document that is in force.

    Attributes:
        offset: Offset of the change in the log; the version number.
        change_id: Id of the change.
        text: The whole document.
        author: Who published it.
    """

    offset: int
    change_id: str
    text: str
    author: str = ""


@attrs.frozen
class Rejection:
    """A change that was not accepted.

    Attributes:
        offset: Offset of the change in the log.
        change_id: Its id.
        team: The team whose document it would have changed.
        reason: Why it was rejected.
    """

    offset: int
    change_id: str
    team: str
    reason: str


@attrs.frozen
class Snapshot:
    """The result of all records up to and including an offset.

    The attributes are those of `Configuration`, without what can be derived.
    """

    offset: int
    versions: dict[str, Version]
    changes: dict[str, int]
    rejections: list[Rejection] = attrs.field(factory=list)


@attrs.frozen
class Record:
    """One log record: either a change or a snapshot."""

    change: Change | None = None
    snapshot: Snapshot | None = None


def encode_record(record: Record) -> str:
    """Encodes a record as JSON text."""
    return msgspec.json.encode(record).decode()


def decode_record(text: str) -> Record | None:
    """Decodes a record; returns None if the text is not a valid one."""
    try:
        return msgspec.json.decode(text, type=Record)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


async def find_covering_snapshot(
    platform: platforms.Platform, stream: str, page: platforms.LogPage
) -> Snapshot | None:
    """Returns a snapshot that includes all records dropped from a log.

    Args:
        platform: The platform that stores the log.
        stream: Name of the log.
        page: A page that begins with the first retained record.

    Returns:
        The first such snapshot; None if the retained records have none.

    Raises:
        errors.PlatformError: The platform did not answer.
    """
    while page.records:
        for record in page.records:
            decoded = decode_record(record.text)
            snapshot = decoded.snapshot if decoded else None
            if snapshot and snapshot.offset >= page.first - 1:
                return snapshot
        next_offset = page.records[-1].offset + 1
        if next_offset >= page.end:
            return None
        page = await platform.read(stream, next_offset, 0)
    return None


@attrs.define
class Configuration:
    """The configuration in force after applying the log up to an offset.

    Attributes:
        offset: Offset of the last record applied; 0 before any, as
            offsets start at 1.
        versions: The version in force, by team.
        documents: The checked documents, by team.
        changes: Offsets of the latest accepted changes, by change id; used to
            ignore duplicate records.
        rejections: The latest rejected changes.
        snapshot_offset: Offset of the newest snapshot record applied.
    """

    offset: int = 0
    versions: dict[str, Version] = attrs.field(factory=dict)
    documents: dict[str, documents_lib.TeamDocument] = attrs.field(factory=dict)
    changes: dict[str, int] = attrs.field(factory=dict)
    rejections: collections.deque[Rejection] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RETAINED_REJECTIONS)
    )
    snapshot_offset: int = 0

    def apply(self, offset: int, text: str) -> bool:
        """Applies a record unless its offset is at or below the last applied.

        Returns:
            Whether a document in force changed.
        """
        if offset <= self.offset:
            return False
        record = decode_record(text)
        changed = False
        if record and record.snapshot:
            self.snapshot_offset = offset
        elif record and record.change:
            changed = self._apply_change(offset, record.change)
        self.offset = offset
        return changed

    def _apply_change(self, offset: int, change: Change) -> bool:
        if change.change_id in self.changes:
            return False
        current = self.versions.get(change.team)
        version = current.offset if current else 0
        if change.base != version:
            accepted_change = current.change_id if current else "none"
            reason = (
                f"based on version {change.base}, but version {version}"
                f" (change {accepted_change}) was accepted first"
            )
            return self._reject(offset, change, reason)
        try:
            document = documents_lib.read_document(change.text, change.team)
        except errors.FindingsError as error:
            return self._reject(offset, change, f"invalid: {error}")
        if document.team != change.team:
            return self._reject(offset, change, "names another team")
        self.versions[change.team] = Version(
            offset, change.change_id, change.text, change.author
        )
        self.documents[change.team] = document
        self._record_change(change.change_id, offset)
        return True

    def _record_change(self, change_id: str, offset: int) -> None:
        self.changes[change_id] = offset
        while len(self.changes) > MAX_RETAINED_CHANGE_IDS:
            del self.changes[next(iter(self.changes))]

    def _reject(self, offset: int, change: Change, reason: str) -> bool:
        """Records a rejection and returns False.

        Snapshots store the text of the reason.
        """
        self.rejections.append(
            Rejection(offset, change.change_id, change.team, reason)
        )
        return False

    def adopt(self, snapshot: Snapshot) -> bool:
        """Replaces this configuration by a snapshot if that is newer.

        Returns:
            Whether the snapshot was adopted; False also if one of its
            documents is invalid.
        """
        if snapshot.offset <= self.offset:
            return False
        try:
            documents = {
                team: documents_lib.read_document(version.text, team)
                for team, version in snapshot.versions.items()
            }
        except errors.FindingsError:
            return False
        self.versions = dict(snapshot.versions)
        self.documents = documents
        self.changes = dict(snapshot.changes)
        self.rejections.clear()
        self.rejections.extend(snapshot.rejections)
        self.offset = snapshot.offset
        return True

    def snapshot(self) -> Snapshot:
        """Returns a snapshot of this configuration."""
        return Snapshot(
            self.offset,
            dict(self.versions),
            dict(self.changes),
            list(self.rejections),
        )

    def rejection_of(self, change_id: str) -> Rejection | None:
        """Returns the rejection of a change; None if not among the latest."""
        for rejection in self.rejections:
            if rejection.change_id == change_id:
                return rejection
        return None
