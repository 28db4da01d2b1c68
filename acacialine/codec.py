"""Frames of peer messages as bytes, in packed Cap'n Proto.

Only the codec of pycapnp is used, not its RPC system.
"""

import pathlib
import re
import typing

import attrs
import capnp

from acacialine import errors
from acacialine import messages

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("acacialine.capnp")))
TRAVERSAL_WORDS = 1 << 24  # 8-byte words a reader may visit; 128 MB


@attrs.frozen
class _Field:
    """How one attribute maps to its schema field."""

    name: str
    wire_name: str
    item: "_Plan | None"
    is_list: bool


@attrs.frozen
class _Plan:
    """How one message class maps to its schema struct."""

    cls: type
    fields: tuple[_Field, ...]


def _camel(name: str) -> str:
    return re.sub(r"_([a-z])", lambda m: m[1].upper(), name)


def _plan_of(cls: type) -> _Plan:
    hints = typing.get_type_hints(cls)
    fields = []
    for attribute in attrs.fields(cls):
        hint = hints[attribute.name]
        item = None
        is_list = False
        if typing.get_origin(hint) is list:
            is_list = True
            item = _item_plan(typing.get_args(hint)[0])
        fields.append(
            _Field(attribute.name, _camel(attribute.name), item, is_list)
        )
    return _Plan(cls, tuple(fields))


def _item_plan(cls: type) -> _Plan | None:
    return _plan_of(cls) if attrs.has(cls) else None


_PLANS = {
    cls.__name__[0].lower() + cls.__name__[1:]: _plan_of(cls)
    for cls in typing.get_args(messages.Message)
}
_NAMES = {plan.cls: name for name, plan in _PLANS.items()}


@attrs.frozen
class Frame:
    """One message with the number of its request; 0 is a one-way message."""

    request_id: int
    message: messages.Message


def encode(frame: Frame) -> bytes:
    """Encodes a frame without its length prefix."""
    name = _NAMES[type(frame.message)]
    builder = _SCHEMA.Frame.new_message()
    builder.requestId = frame.request_id
    _fill(builder.init(name), _PLANS[name], frame.message)
    return builder.to_bytes_packed()


def _fill(builder, plan: _Plan, message) -> None:
    """Sets field by field, which is much cheaper than from nested dicts."""
    for field in plan.fields:
        value = getattr(message, field.name)
        if field.item:
            entries = builder.init(field.wire_name, len(value))
            for index, entry in enumerate(value):
                _fill(entries[index], field.item, entry)
        else:
            setattr(builder, field.wire_name, value)


def decode(data: bytes) -> Frame:
    """Decodes a frame.

    Raises:
        errors.PeerError: The bytes are not a frame.
    """
    try:
        reader = _SCHEMA.Frame.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_WORDS
        )
        name = reader.which()
        plan = _PLANS.get(str(name))
        if plan is None:
            raise errors.PeerError("frame without a message")
        message = _from_reader(plan, getattr(reader, str(name)))
        return Frame(reader.requestId, message)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        reason = str(error).splitlines()[0]
        raise errors.PeerError(f"malformed frame: {reason}") from error


def _from_reader(plan: _Plan, reader):
    values = {}
    for field in plan.fields:
        value = getattr(reader, field.wire_name)
        if field.item:
            value = [_from_reader(field.item, entry) for entry in value]
        elif field.is_list:
            value = list(value)
        values[field.name] = value
    return plan.cls(**values)
