"""Runs a dispatcher as a process: signals and its settings file."""

import os
import pathlib
import signal

import trio

from acacialine import dispatcher as dispatcher_lib
from acacialine import events

SETTINGS_POLL_S = 1.0  # the file may change without a signal


async def run_until_signal(
    dispatcher: dispatcher_lib.Dispatcher, path: str
) -> None:
    """Runs a dispatcher until SIGTERM or SIGINT asks for a planned stop."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*wanted) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_follow_signals, signals, dispatcher, path)
            nursery.start_soon(_follow_file, dispatcher, path)
            await dispatcher.run()
            nursery.cancel_scope.cancel()


async def _follow_signals(
    signals, dispatcher: dispatcher_lib.Dispatcher, path: str
) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            _reload(dispatcher, path)
        else:
            dispatcher.stop()


async def _follow_file(
    dispatcher: dispatcher_lib.Dispatcher, path: str
) -> None:
    """Reads the settings file again when it has changed."""
    read_at = None
    while True:
        try:
            changed_at = os.stat(path).st_mtime_ns
        except OSError:
            changed_at = read_at  # being replaced; the next look finds it
        if read_at is not None and changed_at != read_at:
            _reload(dispatcher, path)
        read_at = changed_at
        await trio.sleep(SETTINGS_POLL_S)


def _reload(dispatcher: dispatcher_lib.Dispatcher, path: str) -> None:
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        dispatcher.log(events.Event.SETTINGS_REJECTED, findings=str(error))
        return
    dispatcher.reload(text, path)
