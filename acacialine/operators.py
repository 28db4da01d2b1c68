"""Operator commands, over the admin API and the configuration log."""

import difflib
import pathlib

import attrs
import click
import httpcore
import msgspec
import trio

from acacialine import admin
from acacialine import clock
from acacialine import documents
from acacialine import errors
from acacialine import platforms
from acacialine import publisher

REQUEST_TIMEOUT_S = 3.0
WAIT_POLL_INTERVAL_S = 0.1
# Exit status of `publish --wait` if the change is not in force on all entries
# within the timeout.
EXIT_NOT_IN_FORCE = 5


@attrs.frozen
class AdminClient:
    """A client of the admin API of one entry.

    Attributes:
        address: Host and port as text.
        token: Bearer token; empty to send none.
        scheme: `http` or `https`.
    """

    address: str
    token: str = ""
    scheme: str = "http"

    async def request(self, method: str, path: str, response_type):
        """Sends a request and decodes the response as `response_type`.

        Raises:
            errors.AcacialineError: The entry did not respond, or its response
                has a status other than 200.
        """
        url = f"{self.scheme}://{self.address}{path}"
        headers = {}
        if self.token:
            headers["Authorization"] = f"Bearer {self.token}"
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool(retries=0) as pool:
                    response = await pool.request(method, url, headers=headers)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ) as error:
            raise errors.AcacialineError(
                errors.Code.UNREACHABLE,
                f"{self.address}: no response ({error})",
            ) from error
        if response.status != 200:
            error_body = msgspec.json.decode(
                response.content, type=admin.ActionResult
            )
            code = errors.Code.NOT_FOUND
            if response.status == 401:
                code = errors.Code.UNAUTHORIZED
            raise errors.AcacialineError(code, error_body.message)
        return msgspec.json.decode(response.content, type=response_type)

    async def status(self) -> admin.Status:
        """Returns the status as known by the entry."""
        return await self.request("GET", "/admin/status", admin.Status)


def print_table(rows: list[list[str]]) -> None:
    """Prints rows in aligned columns; the first row is the heading."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def print_objects(objects: list, columns: list[str]) -> None:
    """Prints a table with a row for each object.

    Args:
        objects: The objects.
        columns: The attributes to print, also the column headings.
    """
    rows = [columns]
    rows += [[str(getattr(o, column)) for column in columns] for o in objects]
    print_table(rows)


async def publish(
    platform: platforms.HttpPlatform,
    stream: str,
    path: str,
    author: str,
    base: int | None,
    admin_client: AdminClient | None,
    timeout_s: float,
) -> int:
    """Publishes the team document in a file.

    Args:
        platform: Client of the platform.
        stream: Stream of the configuration log.
        path: File with the new document.
        author: Name shown in the history.
        base: Version that the change is based on; None for the one in force.
        admin_client: Entry to ask whether the change is in force on all live
            entries; None to return without waiting.
        timeout_s: Longest time to wait, in s.

    Returns:
        The exit status.
    """
    text = pathlib.Path(path).read_text()
    begin = clock.now()
    publication = await publisher.publish(
        platform, stream, text, path, author, base
    )
    click.echo(
        f"accepted: change {publication.change_id} of {publication.team},"
        f" version {publication.offset}"
    )
    if admin_client is None:
        return 0
    lagging = await _wait_until_in_force(
        admin_client, publication.offset, timeout_s
    )
    if lagging:
        click.echo("not yet in force at: " + ", ".join(lagging), err=True)
        return EXIT_NOT_IN_FORCE
    click.echo(f"in force everywhere after {clock.now() - begin:.2f} s")
    return 0


async def _wait_until_in_force(
    client: AdminClient, offset: int, timeout_s: float
) -> list[str]:
    """Waits until all live entries have reached a configuration offset.

    Returns:
        Names of the entries that have not reached it within the timeout; the
        admin address if it has not answered by then.
    """
    lagging = [client.address]
    with trio.move_on_after(timeout_s):
        while True:
            status = await client.status()
            lagging = [
                e.name
                for e in status.entries
                if e.state in ("live", "draining") and e.config_offset < offset
            ]
            if not lagging:
                return []
            await trio.sleep(WAIT_POLL_INTERVAL_S)
    return lagging


async def show(
    platform: platforms.HttpPlatform, stream: str, team: str
) -> None:
    """Prints a team's newest valid document in the configuration log."""
    configuration, _ = await publisher.read_configuration(platform, stream)
    click.echo(_current_version(configuration, team).text, nl=False)


def _current_version(configuration, team: str):
    version = configuration.versions.get(team)
    if version is None:
        raise errors.AcacialineError(
            errors.Code.NOT_FOUND, f"team {team} has no document"
        )
    return version


async def diff(platform: platforms.HttpPlatform, stream: str, path: str) -> int:
    """Prints what publishing a file would change.

    Returns:
        The exit status: 1 if there are changes, else 0.
    """
    text = pathlib.Path(path).read_text()
    document = documents.read_document(text, path)
    configuration, _ = await publisher.read_configuration(platform, stream)
    current = configuration.versions.get(document.team)
    before = current.text if current else ""
    lines = list(
        difflib.unified_diff(
            before.splitlines(), text.splitlines(), "in force", path, n=2
        )
    )
    for line in lines:
        click.echo(line.rstrip("\n"))
    return 1 if lines else 0


async def history(
    platform: platforms.HttpPlatform, stream: str, team: str | None
) -> list[publisher.HistoryLine]:
    """Returns the changes of one or all teams in the log, oldest first."""
    _, lines = await publisher.read_configuration(platform, stream)
    return [line for line in lines if team in (None, line.team)]
