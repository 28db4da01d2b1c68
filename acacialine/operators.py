"""Commands of operators: configuration, status, drain, quarantine."""

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
WAIT_POLL_S = 0.1
NOT_EVERYWHERE = 5  # exit status of `publish --wait` when some lag behind


@attrs.frozen
class AdminClient:
    """Talks to the admin API of one entry."""

    address: str
    token: str = ""
    scheme: str = "http"

    async def request(self, method: str, path: str, kind):
        """Sends a request and decodes the answer as `kind`.

        Raises:
            errors.AcacialineError: The entry did not answer, or refused.
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
                errors.Code.UNREACHABLE, f"{self.address}: no answer ({error})"
            ) from error
        if response.status != 200:
            done = msgspec.json.decode(response.content, type=admin.Done)
            code = errors.Code.NOT_FOUND
            if response.status == 401:
                code = errors.Code.UNAUTHORIZED
            raise errors.AcacialineError(code, done.message)
        return msgspec.json.decode(response.content, type=kind)

    async def status(self) -> admin.Status:
        """Returns the status as this entry sees it."""
        return await self.request("GET", "/admin/status", admin.Status)


def print_table(rows: list[list[str]]) -> None:
    """Prints rows in columns; the first row is the heading."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def print_objects(objects: list, names: list[str]) -> None:
    """Prints attributes of objects as a table."""
    rows = [names]
    rows += [[str(getattr(o, name)) for name in names] for o in objects]
    print_table(rows)


async def publish(
    platform: platforms.HttpPlatform,
    stream: str,
    path: str,
    author: str,
    base: int | None,
    wait: AdminClient | None,
    timeout_s: float,
) -> int:
    """Publishes a document; returns the exit status."""
    text = pathlib.Path(path).read_text()
    begin = clock.now()
    done = await publisher.publish(platform, stream, text, path, author, base)
    click.echo(
        f"accepted: change {done.change_id} of {done.team},"
        f" version {done.offset}"
    )
    if wait is None:
        return 0
    lagging = await _wait_everywhere(wait, done.offset, timeout_s)
    if lagging:
        click.echo("not yet in force at: " + ", ".join(lagging), err=True)
        return NOT_EVERYWHERE
    click.echo(f"in force everywhere after {clock.now() - begin:.2f} s")
    return 0


async def _wait_everywhere(
    client: AdminClient, offset: int, timeout_s: float
) -> list[str]:
    """Waits until all live entries have an offset; returns those without."""
    lagging: list[str] = []
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
            await trio.sleep(WAIT_POLL_S)
    return lagging


async def show(
    platform: platforms.HttpPlatform, stream: str, team: str
) -> None:
    """Prints the document in force, as the log has it."""
    fold, _ = await publisher.read_fold(platform, stream)
    click.echo(_version_of(fold, team).text, nl=False)


def _version_of(fold, team: str):
    version = fold.versions.get(team)
    if version is None:
        raise errors.AcacialineError(
            errors.Code.NOT_FOUND, f"team {team} has no document"
        )
    return version


async def diff(platform: platforms.HttpPlatform, stream: str, path: str) -> int:
    """Prints what a file would change; returns 1 if anything."""
    text = pathlib.Path(path).read_text()
    document = documents.read_document(text, path)
    fold, _ = await publisher.read_fold(platform, stream)
    current = fold.versions.get(document.team)
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
    """Returns the changes in the log, oldest first."""
    _, lines = await publisher.read_fold(platform, stream)
    return [line for line in lines if team in (None, line.team)]
