"""Command line of acacialine; each command imports its modules when it runs."""

import sys

import click

from acacialine import errors
from acacialine.tools import commands


@click.group()
@click.version_option(package_name="acacialine")
def cli() -> None:
    """A dispatcher for sub-second tasks."""


@cli.command()
@click.option(
    "-c",
    "--config",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Settings file (INI).",
)
def entry(path: str) -> None:
    """Runs an entry daemon."""
    import trio

    from acacialine import entry as entry_lib
    from acacialine import log
    from acacialine import settings

    log.configure_logging()
    daemon = entry_lib.new_entry(settings.read_settings_file(path))
    trio.run(entry_lib.run_until_signal, daemon)


@cli.command()
@click.option(
    "-c",
    "--config",
    "path",
    required=True,
    envvar="ACACIALINE_NODE_FILE",
    type=click.Path(exists=True, dir_okay=False),
    help="Settings file (INI).",
)
def dispatcher(path: str) -> None:
    """Runs a dispatcher daemon on the users' platform."""
    import os
    import pathlib

    import trio

    from acacialine import daemon as daemon_lib
    from acacialine import dispatcher as dispatcher_lib
    from acacialine import dispatchsettings

    text = pathlib.Path(path).read_text()
    daemon = dispatcher_lib.new_dispatcher(
        dispatchsettings.read_settings(text, path)
    )
    trio.run(daemon_lib.run_until_signal, daemon, path)
    # Interpreter shutdown takes up to 0.5 s, during which the listening sockets
    # stay open and accept client connections that nothing serves.
    daemon.logger.flush()
    os._exit(0)


@cli.command()
@click.argument("job_id")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(job_id: str, logs, as_json: bool) -> None:
    """Shows a job's timeline from LOGS of all entries, or stdin."""
    import itertools

    import attrs
    import msgspec

    from acacialine import explain as explain_lib

    if not explain_lib.job_id_of(job_id):
        raise click.BadParameter("must not be empty", param_hint="JOB_ID")
    files = logs or (click.get_text_stream("stdin", errors="replace"),)
    timeline = explain_lib.explain(job_id, itertools.chain(*files))
    if as_json:
        click.echo(msgspec.json.encode(attrs.asdict(timeline)).decode())
    else:
        click.echo(explain_lib.format_timeline(timeline))
    if not timeline.lines:
        sys.exit(1)


@cli.command()
@click.option("--serve", is_flag=True, help="Keep running to serve requests.")
def demo(serve: bool) -> None:
    """Runs an installation in one process and submits a job."""
    from acacialine.tools import demo as demo_tool

    demo_tool.main(serve)


_FORMAT = click.option(
    "--format",
    "form",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
_PLATFORM = click.option(
    "--platform",
    default="http://127.0.0.1:7000",
    show_default=True,
    envvar="ACACIALINE_PLATFORM",
    help="Base URL of the platform.",
)
_STREAM = click.option("--stream", default="config", show_default=True)
_ADMIN = click.option(
    "--admin",
    "address",
    default="127.0.0.1:7102",
    show_default=True,
    envvar="ACACIALINE_ADMIN",
    help="IP:port of an entry's admin API.",
)
_TOKEN = click.option(
    "--token", default="", envvar="ACACIALINE_TOKEN", help="Admin token."
)


def _run_with_platform(operation, url: str, *args):
    """Runs an async operation with a platform client; returns its result."""
    import trio

    from acacialine import platforms

    async def run():
        platform = platforms.new_http_platform(url, 3000)
        try:
            return await operation(platform, *args)
        finally:
            await platform.aclose()

    return trio.run(run)


@cli.group()
def config() -> None:
    """Checks, publishes and shows team documents."""


@config.command("check")
@click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True))
def config_check(paths) -> None:
    """Validates documents and reports every finding; exits 2 if any."""
    import pathlib

    from acacialine import documents

    findings = []
    for path in paths:
        try:
            documents.read_document(pathlib.Path(path).read_text(), path)
            click.echo(f"{path}: valid")
        except errors.FindingsError as error:
            findings += error.findings
    if findings:
        raise errors.FindingsError(errors.Code.INVALID_DOCUMENT, findings)


@config.command("publish")
@click.argument("path", type=click.Path(exists=True))
@_PLATFORM
@_STREAM
@_ADMIN
@_TOKEN
@click.option("--author", default="", help="Name shown in the history.")
@click.option("--base", type=int, help="Version the change is based on.")
@click.option(
    "--wait", is_flag=True, help="Wait until in force on every entry."
)
@click.option("--timeout-s", default=10.0, show_default=True)
def config_publish(
    path, platform, stream, address, token, author, base, wait, timeout_s
) -> None:
    """Publishes a document.

    Exit status: 0 accepted, 2 invalid, 3 conflict with another change,
    4 platform down, 5 accepted but not yet in force on every entry.
    """
    from acacialine import operators

    client = operators.AdminClient(address, token) if wait else None
    status = _run_with_platform(
        operators.publish,
        platform,
        stream,
        path,
        author,
        base,
        client,
        timeout_s,
    )
    sys.exit(status)


@config.command("show")
@click.argument("team")
@_PLATFORM
@_STREAM
def config_show(team, platform, stream) -> None:
    """Prints a team's document that is in force."""
    from acacialine import operators

    _run_with_platform(operators.show, platform, stream, team)


@config.command("diff")
@click.argument("path", type=click.Path(exists=True))
@_PLATFORM
@_STREAM
def config_diff(path, platform, stream) -> None:
    """Shows what publishing a file would change; exits 1 on any difference."""
    from acacialine import operators

    sys.exit(_run_with_platform(operators.diff, platform, stream, path))


@config.command("history")
@click.argument("team", required=False)
@_PLATFORM
@_STREAM
@_FORMAT
def config_history(team, platform, stream, form) -> None:
    """Lists the changes in the log, accepted and rejected."""
    import msgspec

    from acacialine import operators

    lines = _run_with_platform(operators.history, platform, stream, team)
    if form == "json":
        click.echo(msgspec.json.encode(lines).decode())
        return
    names = ["offset", "team", "change_id", "base", "author", "result"]
    operators.print_objects(lines, names)


def _admin_request(address, token, method, path, reply_type):
    import trio

    from acacialine import operators

    client = operators.AdminClient(address, token)
    return trio.run(client.request, method, path, reply_type)


def _fetch_status(address, token):
    from acacialine import admin

    return _admin_request(address, token, "GET", "/admin/status", admin.Status)


@config.command("status")
@_ADMIN
@_TOKEN
@_FORMAT
def config_status(address, token, form) -> None:
    """Shows the configuration offset in force on every entry."""
    import msgspec

    from acacialine import operators

    status = _fetch_status(address, token)
    if form == "json":
        click.echo(msgspec.json.encode(status.entries).decode())
        return
    names = ["name", "zone", "state", "config_offset", "age_ms"]
    operators.print_objects(status.entries, names)


@cli.command("status")
@_ADMIN
@_TOKEN
@_FORMAT
def status_command(address, token, form) -> None:
    """Shows entries, backend servers and queues as one entry sees them."""
    import msgspec

    from acacialine import operators

    status = _fetch_status(address, token)
    if form == "json":
        click.echo(msgspec.json.encode(status).decode())
        return
    up = "up" if status.platform_up else "down"
    click.echo(
        f"{status.entry}: configuration {status.config_offset}, platform {up}"
    )
    names = [
        "name",
        "zone",
        "state",
        "config_offset",
        "slots",
        "free",
        "work_s",
    ]
    operators.print_objects(status.entries, names)
    names = ["backend", "zone", "slots", "allowed", "held", "leaving"]
    names += ["quarantined", "slowdown", "broker"]
    operators.print_objects(status.backends, names)
    names = ["team", "waiting", "held", "queued_bytes", "demand"]
    operators.print_objects(status.queues, names)


def _post_change(address, token, path) -> None:
    """Posts to a path of the admin API and prints the message returned."""
    from acacialine import admin

    done = _admin_request(address, token, "POST", path, admin.ActionResult)
    click.echo(done.message)


@cli.command()
@_ADMIN
@_TOKEN
def drain(address, token) -> None:
    """Drains an entry: requests in flight complete, then it stops."""
    _post_change(address, token, "/admin/drain")


@cli.command()
@click.argument("backend")
@_ADMIN
@_TOKEN
def quarantine(backend, address, token) -> None:
    """Stops an entry from sending work to a backend server."""
    _post_change(address, token, f"/admin/quarantine/{backend}")


@cli.command()
@click.argument("backend")
@_ADMIN
@_TOKEN
def release(backend, address, token) -> None:
    """Ends the quarantine of a backend server on an entry."""
    _post_change(address, token, f"/admin/release/{backend}")


@cli.group()
def job() -> None:
    """Inspects single jobs."""


@job.command("explain")
@click.argument("submission_id")
@_ADMIN
@_TOKEN
@_FORMAT
def job_explain(submission_id, address, token, form) -> None:
    """Shows why a job was placed, refused or failed."""
    import msgspec

    from acacialine import admin

    path = f"/admin/jobs/{submission_id}"
    explanation = _admin_request(address, token, "GET", path, admin.Explanation)
    if form == "json":
        click.echo(msgspec.json.encode(explanation).decode())
        return
    click.echo(f"{explanation.id}: {explanation.outcome} {explanation.code}")
    for line in explanation.decisions:
        click.echo("  " + line)


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell) -> None:
    """Prints the completion script for a shell."""
    from click import shell_completion

    completion_class = shell_completion.get_completion_class(shell)
    completer = completion_class(cli, {}, "acacialine", "_ACACIALINE_COMPLETE")
    click.echo(completer.source())


cli.add_command(commands.standin)
cli.add_command(commands.bench)
cli.add_command(commands.soak)


def main() -> None:
    """Runs the command line; prints errors and exits with their status."""
    try:
        cli()
    except errors.AcacialineError as error:
        click.echo(str(error), err=True)
        sys.exit(error.exit_status)


if __name__ == "__main__":
    main()
