"""Decodes what operators and backend servers write to the store."""

import msgspec

from acacialine import resources
from acacialine import routes
from acacialine import zonetables

_DEFAULT_BODY_BYTES = 262144  # the platform's default for maxBodyBytes
_STATES = ("ready", "draining")


def decode_configuration(data: bytes) -> routes.Configuration:
    """Decodes the operator's configuration.

    Raises:
        ValueError: It is not a configuration.
    """
    content = msgspec.json.decode(data)
    try:
        found = [_decode_route(r) for r in content["routes"]]
        limits = content.get("limits") or {}
        max_body = int(limits.get("maxBodyBytes", _DEFAULT_BODY_BYTES))
        version = int(content["version"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a configuration: {error!r}") from error
    return routes.new_configuration(version, data, max_body, found)


def _decode_route(content: dict) -> routes.Route:
    queue = zonetables.Queue(
        content["name"],
        content["service"],
        int(content.get("priority", 0)),
        int(content.get("maxAttempts", 1)),
        float(content.get("stretch", 1.0)),
        float(content.get("targetLatencyMs", 0)) / 1000,
    )
    return routes.Route(
        queue,
        content["host"].lower(),
        content["pathPrefix"],
        float(content.get("timeoutMs", 0)) / 1000,
    )


def decode_server(server_id: str, data: bytes, now: float) -> zonetables.Server:
    """Decodes what a backend server says of itself.

    Args:
        server_id: Its key in the store.
        data: The value of the record.
        now: Time of the reading, from which `coldRemainingMs` counts.

    Raises:
        ValueError: Another writer left it; it names no server to use.
    """
    content = msgspec.json.decode(data)
    try:
        state = content["state"]
        if state not in _STATES:
            raise ValueError(f"unknown state {state!r}")
        host, _, port = content["address"].rpartition(":")
        room = content["capacity"]
        capacity = resources.Resources(
            _whole(room.get("cpu", 0)),
            _whole(room.get("memMb", 0)),
            _whole(room.get("gpu", 0)),
        )
        labels = frozenset(_text(label) for label in content.get("labels", ()))
        cold_s = _whole(content.get("coldRemainingMs", 0)) / 1000
        return zonetables.Server(
            server_id,
            (host, int(port)),
            _text(content["zone"]),
            _text(content["service"]),
            capacity,
            labels,
            draining=state == "draining",
            cold_until=now + cold_s if cold_s > 0 else 0.0,
            announced_life=_whole(content.get("born", 0)),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a backend server: {error!r}") from error


def _whole(value) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r}")
    return int(value)


def _text(value) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r}")
    return value
