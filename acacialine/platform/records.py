"""Decodes the records that operators and backend servers write to the store."""

import ipaddress

import msgspec

from acacialine import clientlimits
from acacialine import resources
from acacialine import routes
from acacialine import zonetables

_DEFAULT_MAX_BODY_BYTES = 262144  # the platform's default for maxBodyBytes
_SERVER_STATES = ("ready", "draining")
_MAX_INT = 2**31 - 1
_MAX_VERSION = 2**63 - 1
_MAX_PORT = 65535
_MAX_FLOAT = 1e9  # of a time in ms or a factor
_EVACUATION_PREFIX = "evacuate/"
# An idle connection is closed this much later than idleTimeoutMs says, so that
# its client closes it first: a request sent meanwhile would be lost.
_IDLE_MARGIN_S = 1.0
# Our clock for headers starts when the first byte is read, and pauses of the
# process count in it.
_HEADER_MARGIN_S = 1.0
# What decoding raises on JSON of another form than expected.
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
)


def decode_configuration(data: bytes) -> routes.Configuration:
    """Decodes the configuration that the operator publishes.

    Raises:
        ValueError: The data is not a configuration.
    """
    try:
        content = msgspec.json.decode(data)
        decoded_routes = [_decode_route(r) for r in content["routes"]]
        limits = content.get("limits") or {}
        return routes.new_configuration(
            _to_int(content["version"], 0, _MAX_VERSION),
            data,
            _to_int(limits.get("maxBodyBytes", _DEFAULT_MAX_BODY_BYTES)),
            _decode_request_limits(limits),
            decoded_routes,
        )
    except _DECODE_ERRORS as error:
        raise ValueError(f"not a configuration: {error!r}") from error


def _decode_request_limits(content: dict) -> clientlimits.RequestLimits:
    """Decodes the limits of a request; 0 or none leaves the default."""
    limits = clientlimits.RequestLimits()
    header_bytes = _to_int(content.get("maxHeaderBytes") or 0)
    header_timeout_s = _to_float(content.get("headerTimeoutMs") or 0) / 1000
    idle_timeout_s = _to_float(content.get("idleTimeoutMs") or 0) / 1000
    return clientlimits.RequestLimits(
        min(limits.max_header_bytes, header_bytes or limits.max_header_bytes),
        limits.max_headers,
        min(limits.header_timeout_s, header_timeout_s + _HEADER_MARGIN_S)
        if header_timeout_s
        else limits.header_timeout_s,
        min(limits.idle_timeout_s, idle_timeout_s + _IDLE_MARGIN_S)
        if idle_timeout_s
        else limits.idle_timeout_s,
    )


def _decode_route(content: dict) -> routes.Route:
    queue = zonetables.Queue(
        _check_string(content["name"]),
        _check_string(content["service"]),
        _to_int(content.get("priority", 0), -_MAX_INT, _MAX_INT),
        _to_int(content.get("maxAttempts", 1), 0, _MAX_INT),
        _to_float(content.get("stretch", 1.0)),
        _to_float(content.get("targetLatencyMs", 0)) / 1000,
    )
    return routes.Route(
        queue,
        _check_string(content["host"]).lower(),
        _check_string(content["pathPrefix"]),
        _to_float(content.get("timeoutMs", 0)) / 1000,
    )


def decode_evacuated_zone(key: str) -> str | None:
    """Returns the zone that an operator's record evacuates, from its key.

    Returns None for the key of any other record.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX) or None


def decode_server(server_id: str, data: bytes, now: float) -> zonetables.Server:
    """Decodes the record that a backend server writes about itself.

    Args:
        server_id: Key of the record.
        data: Value of the record.
        now: When the record was read; `coldRemainingMs` counts from then.

    Raises:
        ValueError: The data does not describe a usable backend server.
    """
    try:
        content = msgspec.json.decode(data)
        state = content["state"]
        if state not in _SERVER_STATES:
            raise ValueError(f"unknown state {state!r}")
        host, _, port = _check_string(content["address"]).rpartition(":")
        ipaddress.ip_address(host)
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
            (host, _to_int(int(port), 1, _MAX_PORT)),
            _check_string(content["zone"]),
            _check_string(content["service"]),
            capacity,
            labels,
            draining=state == "draining",
            cold_until=now + cold_s if cold_s > 0 else 0.0,
            announced_incarnation=_to_int(content.get("born", 0)),
        )
    except _DECODE_ERRORS as error:
        raise ValueError(f"not a backend server: {error!r}") from error


def _to_int(value, minimum: int = 0, maximum: int = 2**63 - 1) -> int:
    """Converts a JSON number to an integer in a range; drops its fraction."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r}")
    number = int(value)
    if not minimum <= number <= maximum:
        raise ValueError(f"not from {minimum} to {maximum}: {number}")
    return number


def _to_float(value) -> float:
    """Converts a JSON number from 0 to _MAX_FLOAT."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {value!r}")
    number = float(value)
    if not 0 <= number <= _MAX_FLOAT:
        raise ValueError(f"not from 0 to {_MAX_FLOAT}: {number}")
    return number


def _check_string(value) -> str:
    """Returns the value if it is a string.

    Raises:
        ValueError: It is not.
    """
    if not isinstance(value, str):
        raise ValueError(f"not a string: {value!r}")
    return value
