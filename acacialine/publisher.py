"""Publishes team documents and finds out whether a change was accepted."""

import secrets

import attrs
import trio

from acacialine import configlog
from acacialine import documents
from acacialine import errors
from acacialine import platforms

READ_BACK_ATTEMPTS = 20
READ_BACK_INTERVAL_S = 0.25


@attrs.frozen
class AcceptedChange:
    """An accepted change.

    Attributes:
        change_id: Its id.
        team: The team whose document changed.
        offset: Its offset in the log; the new version of the document.
    """

    change_id: str
    team: str
    offset: int


@attrs.frozen
class HistoryLine:
    """One change in the log with its result.

    Attributes:
        offset: Its offset in the log.
        change_id: Its id.
        team: The team whose document it changes.
        author: Who published it.
        base: The version it is based on; 0 for a new team.
        result: `accepted`, `duplicate` or `rejected: ` and the reason.
    """

    offset: int
    change_id: str
    team: str
    author: str
    base: int
    result: str


async def read_configuration(
    platform: platforms.Platform, stream: str
) -> tuple[configlog.Configuration, list[HistoryLine]]:
    """Reads the whole retained log.

    Returns:
        The configuration in force, and the changes, oldest first.

    Raises:
        errors.PlatformError: The platform did not answer, or the log dropped
            records that no retained snapshot covers.
    """
    configuration = configlog.Configuration()
    history: list[HistoryLine] = []
    page = await platform.read(stream, 1, 0)
    if page.first > 1:
        snapshot = await configlog.find_covering_snapshot(
            platform, stream, page
        )
        if snapshot is None or not configuration.adopt(snapshot):
            raise errors.PlatformError(
                f"{stream}: no valid snapshot covers the records before"
                f" {page.first}, which the log has dropped"
            )
    while True:
        for record in page.records:
            _apply_record(configuration, record, history)
        last_offset = (
            page.records[-1].offset if page.records else configuration.offset
        )
        if last_offset + 1 >= page.end:
            return configuration, history
        page = await platform.read(stream, last_offset + 1, 0)


def _apply_record(
    configuration: configlog.Configuration,
    record: platforms.LogRecord,
    history: list[HistoryLine],
) -> None:
    decoded = configlog.decode_record(record.text)
    changed = configuration.apply(record.offset, record.text)
    change = decoded.change if decoded else None
    if change is None:
        return
    result = "accepted" if changed else "duplicate"
    rejection = configuration.rejection_of(change.change_id)
    if rejection and rejection.offset == record.offset:
        result = f"rejected: {rejection.reason}"
    history.append(
        HistoryLine(
            record.offset,
            change.change_id,
            change.team,
            change.author,
            change.base,
            result,
        )
    )


async def publish(
    platform: platforms.Platform,
    stream: str,
    text: str,
    source: str,
    author: str = "",
    base: int | None = None,
) -> AcceptedChange:
    """Checks a document, publishes it and waits for the result.

    Args:
        platform: The platform whose log the change is appended to.
        stream: The configuration stream.
        text: The whole document.
        source: Its file name, for findings.
        author: Who publishes it.
        base: Version it is based on; None for the one in force.

    Raises:
        errors.FindingsError: The document is invalid; nothing was appended.
        errors.ConflictError: The change was rejected, e.g. because another
            one based on the same version was accepted first.
        errors.PlatformError: The platform did not answer; with
            `may_have_applied` it is unknown whether the log has the change.
    """
    document = documents.read_document(text, source)
    if base is None:
        configuration, _ = await read_configuration(platform, stream)
        current = configuration.versions.get(document.team)
        base = current.offset if current else 0
    change = configlog.Change(
        secrets.token_hex(8), document.team, base, text, author
    )
    record = configlog.encode_record(configlog.Record(change=change))
    try:
        await platform.append(stream, record)
    except errors.PlatformError as error:
        if not error.may_have_applied:
            raise
        # The append is not retried: it may have succeeded although its
        # answer was lost.
    return await _wait_for_result(platform, stream, change)


async def _wait_for_result(
    platform: platforms.Platform, stream: str, change: configlog.Change
) -> AcceptedChange:
    """Reads the log until the change is found accepted or rejected."""
    last_error: errors.PlatformError | None = None
    for _ in range(READ_BACK_ATTEMPTS):
        try:
            configuration, _ = await read_configuration(platform, stream)
        except errors.PlatformError as error:
            last_error = error
        else:
            last_error = None
            offset = configuration.changes.get(change.change_id)
            if offset is not None:
                return AcceptedChange(change.change_id, change.team, offset)
            rejection = configuration.rejection_of(change.change_id)
            if rejection:
                raise errors.ConflictError(
                    errors.Code.CONFLICT, rejection.reason
                )
        await trio.sleep(READ_BACK_INTERVAL_S)
    if last_error:
        raise errors.PlatformError(
            f"cannot read back the log: {last_error}", True
        )
    message = f"change {change.change_id} is not in the log"
    raise errors.PlatformError(message, True)
