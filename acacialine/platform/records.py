"""Decodes the records that operators and backend servers write to the store."""

import msgspec

from acacialine import resources
from acacialine import routes
from acacialine import zonetables

_DEFAULT_MAX_BODY_BYTES = 262144  # the platform's default for maxBodyBytes
_SERVER_STATES = ("ready", "draining")


def decode_configuration(data: bytes) -> routes.Configuration:
    """Decodes the configuration that the operator publishes.

    Raises:
        ValueError: The data is not a configuration.
    """
    content = msgspec.json.decode(data)
    try:
        decoded_routes = [_decode_route(r) for r in content["routes"]]
        limits = content.get("limits") or {}
        max_body_bytes = int(
            limits.get("maxBodyBytes", _DEFAULT_MAX_BODY_BYTES)
        )
        version = int(content["version"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a configuration: {error!r}") from error
    return routes.new_configuration(
        version, data, max_body_bytes, decoded_routes
    )


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
    """Decodes the record that a backend server writes about itself.

    Args:
        server_id: Key of the record.
        data: Value of the record.
        now: When the record was read; `coldRemainingMs` counts from then.

    Raises:
        ValueError: The data does not describe a usable backend server.
    """
    content = msgspec.json.decode(data)
    try:
        state = content["state"]
        if state not in _SERVER_STATES:
            raise ValueError(f"unknown state {state!r}")
        host, _, port = content["address"].rpartition(":")
        declared = content["capacity"]
        capacity = resources.Resources(
            _to_int(declared.get("cpu", 0)),
            _to_int(declared.get("memMb", 0)),
            _to_int(declared.get("gpu", 0)),
        )
        labels = frozenset(
            _check_string(label) for label in content.get("labels", ())
        )
        cold_s = _to_int(content.get("coldRemainingMs", 0)) / 1000
        return zonetables.Server(
            server_id,
            (host, int(port)),
            _check_string(content["zone"]),
            _check_string(content["service"]),
            capacity,
            labels,
            draining=state == "draining",
            cold_until=now + cold_s if cold_s > 0 else 0.0,
            announced_life=_to_int(content.get("born", 0)),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a backend server: {error!r}") from error


def _to_int(value) -> int:
    """Converts a JSON number to an integer; drops its fraction."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r}")
    return int(value)


def _check_string(value) -> str:
    """Returns the value if it is a string.

    Raises:
        ValueError: It is not.
    """
    if not isinstance(value, str):
        raise ValueError(f"not a string: {value!r}")
    return value
