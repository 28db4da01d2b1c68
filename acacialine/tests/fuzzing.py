"""Strategies for input that resembles valid messages but is broken."""

import copy

from hypothesis import strategies
import msgspec

_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
    | strategies.sampled_from(("", "0", "-1", "nan", "x" * 300, "a:b", "\x00"))
)
json_values = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)
# Replace a number in encoded JSON.
_RAW_NUMBERS = (b"1e999", b"-1e999", b"1e-999", b"9" * 400, b"0.5", b"-0")


def _paths(value, prefix=()):
    yield prefix
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from _paths(inner, (*prefix, key))


def _mutate(draw, value):
    """Replaces or removes one part of a JSON value."""
    path = draw(strategies.sampled_from(list(_paths(value))))
    if not path:
        return draw(json_values)
    value = copy.deepcopy(value)
    parent = value
    for key in path[:-1]:
        parent = parent[key]
    if draw(strategies.booleans()):
        parent[path[-1]] = draw(json_values)
    else:
        del parent[path[-1]]
    return value


@strategies.composite
def broken_json(draw, *templates) -> bytes:
    """Encoded JSON that differs from one of the templates in a few places."""
    value = draw(strategies.sampled_from(templates))
    for _ in range(draw(strategies.integers(0, 3))):
        value = _mutate(draw, value)
    data = msgspec.json.encode(value)
    match draw(strategies.integers(0, 9)):
        case 0:
            data = broken_bytes(draw, data)
        case 1:
            digits = [b"%d" % n for n in (0, 1, 2, 4, 7, 64, 90, 500, 1000)]
            found = [d for d in digits if d in data]
            if found:
                data = data.replace(
                    draw(strategies.sampled_from(found)),
                    draw(strategies.sampled_from(_RAW_NUMBERS)),
                    1,
                )
        case 2:
            data = b"[" * draw(strategies.integers(1, 3000)) + data
    return data


def broken_bytes(draw, data: bytes) -> bytes:
    """Returns bytes with some parts cut out, repeated or replaced."""
    changed = bytearray(data)
    for _ in range(draw(strategies.integers(1, 3))):
        at = draw(strategies.integers(0, len(changed)))
        end = at + draw(strategies.integers(0, 5))
        changed[at:end] = draw(strategies.binary(max_size=5))
    return bytes(changed)
