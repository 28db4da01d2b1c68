"""Runs a dispatcher as a process: signal handling and settings reloads."""

import os
import pathlib
import signal

import trio

from acacialine import dispatcher as dispatcher_lib
from acacialine import events

SETTINGS_POLL_INTERVAL_S = 1.0  # between checks of the file for changes


async def run_until_signal(
    dispatcher: dispatcher_lib.Dispatcher, settings_path: str
) -> None:
    """Runs a dispatcher; SIGTERM or SIGINT begins its graceful shutdown.

    SIGHUP, or a change of the settings file, reloads the settings.
    """
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled_signals) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _handle_signals, signals, dispatcher, settings_path
            )
            nursery.start_soon(_watch_settings_file, dispatcher, settings_path)
            await dispatcher.run()
            nursery.cancel_scope.cancel()


async def _handle_signals(
    signals, dispatcher: dispatcher_lib.Dispatcher, settings_path: str
) -> None:
    async for signal_number in signals:
        if signal_number == signal.SIGHUP:
            _reload_settings(dispatcher, settings_path)
        else:
            dispatcher.stop()


async def _watch_settings_file(
    dispatcher: dispatcher_lib.Dispatcher, settings_path: str
) -> None:
    """Reloads the settings when the modification time of their file changes."""
    last_modified_ns = None
    while True:
        try:
            modified_ns = os.stat(settings_path).st_mtime_ns
        except OSError:
            # The file is being replaced; the next poll sees the new one.
            modified_ns = last_modified_ns
        if last_modified_ns is not None and modified_ns != last_modified_ns:
            _reload_settings(dispatcher, settings_path)
        last_modified_ns = modified_ns
        await trio.sleep(SETTINGS_POLL_INTERVAL_S)


def _reload_settings(
    dispatcher: dispatcher_lib.Dispatcher, settings_path: str
) -> None:
    try:
        text = pathlib.Path(settings_path).read_text()
    except OSError as error:
        dispatcher.log(events.Event.SETTINGS_REJECTED, findings=str(error))
        return
    dispatcher.reload(text, settings_path)
