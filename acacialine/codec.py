"""Encodes and decodes frames of peer messages as packed Cap'n Proto.

The classes and attributes of `messages` are paired by name with the structs
and fields of `acacialine.capnp`. Only the codec of pycapnp is used, not its
RPC system.
"""

import pathlib
import re
import typing

import attrs
import capnp

from acacialine import errors
from acacialine import messages

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("acacialine.capnp")))
MAX_TRAVERSAL_WORDS = 1 << 24  # in 8-byte words: 128 MB per decoded frame
WORD_BYTES = 8
# Packed encoding of a word without zeros: its tag, the word, and the number of
# words that follow unpacked.
_TIME_PREFIX, _TIME_SUFFIX = b"\xff", b"\x00"
TIME_BYTES = len(_TIME_PREFIX) + WORD_BYTES + len(_TIME_SUFFIX)
# Positions of the bytes of a word that are not zero, by its tag.
_LITERAL_BYTES = tuple(
    tuple(i for i in range(WORD_BYTES) if tag >> i & 1) for tag in range(256)
)


@attrs.frozen
class _FieldMapping:
    """Maps an attribute of a message class to its schema field.

    Attributes:
        name: Name of the attribute.
        wire_name: Name of the field in the schema.
        item_mapping: Mapping of the items of a list of structs, else None.
        is_list: Whether the attribute is a list.
    """

    name: str
    wire_name: str
    item_mapping: "_MessageMapping | None"
    is_list: bool


@attrs.frozen
class _MessageMapping:
    """Maps a message class to its schema struct."""

    cls: type
    fields: tuple[_FieldMapping, ...]


def _to_camel_case(name: str) -> str:
    return re.sub(r"_([a-z])", lambda m: m[1].upper(), name)


def _new_mapping(cls: type) -> _MessageMapping:
    hints = typing.get_type_hints(cls)
    fields = []
    for attribute in attrs.fields(cls):
        hint = hints[attribute.name]
        item_mapping = None
        is_list = False
        if typing.get_origin(hint) is list:
            is_list = True
            item_mapping = _new_item_mapping(typing.get_args(hint)[0])
        fields.append(
            _FieldMapping(
                attribute.name,
                _to_camel_case(attribute.name),
                item_mapping,
                is_list,
            )
        )
    return _MessageMapping(cls, tuple(fields))


def _new_item_mapping(cls: type) -> _MessageMapping | None:
    return _new_mapping(cls) if attrs.has(cls) else None


_MAPPINGS_BY_NAME = {
    cls.__name__[0].lower() + cls.__name__[1:]: _new_mapping(cls)
    for cls in typing.get_args(messages.Message)
}
_NAMES_BY_CLASS = {
    mapping.cls: name for name, mapping in _MAPPINGS_BY_NAME.items()
}


@attrs.frozen
class Frame:
    """One message on a peer link.

    Attributes:
        request_id: Number of the request that the message makes or answers;
            0 for a one-way message.
        message: The message.
        sent_at: When it was sent, by the clock of its sender; None if unknown.
    """

    request_id: int
    message: messages.Message
    sent_at: float | None = None


def encode_time(at: float) -> bytes:
    """Encodes the time of sending, to be appended to an encoded frame.

    It is outside of the message, so that a frame can be encoded once and sent
    several times. Receivers that do not know of it ignore it.
    """
    word = round(at * 1e6).to_bytes(WORD_BYTES, "little", signed=True)
    return _TIME_PREFIX + word + _TIME_SUFFIX


def decode_time(data: bytes) -> float | None:
    """Decodes what `encode_time` returned; None if it is anything else."""
    if (
        len(data) != TIME_BYTES
        or not data.startswith(_TIME_PREFIX)
        or not data.endswith(_TIME_SUFFIX)
    ):
        return None
    return _read_time(data[len(_TIME_PREFIX) : -len(_TIME_SUFFIX)])


def _read_time(word: bytes) -> float:
    return int.from_bytes(word, "little", signed=True) / 1e6


def encode(frame: Frame) -> bytes:
    """Encodes a frame without its length prefix and its time of sending."""
    name = _NAMES_BY_CLASS[type(frame.message)]
    builder = _SCHEMA.Frame.new_message()
    builder.requestId = frame.request_id
    _write_message(builder.init(name), _MAPPINGS_BY_NAME[name], frame.message)
    return builder.to_bytes_packed()


def _write_message(builder, mapping: _MessageMapping, message) -> None:
    """Writes a message to a struct builder, field by field.

    This is much cheaper than building the struct from nested dicts.
    """
    for field in mapping.fields:
        value = getattr(message, field.name)
        if field.item_mapping:
            list_builder = builder.init(field.wire_name, len(value))
            for index, element in enumerate(value):
                _write_message(list_builder[index], field.item_mapping, element)
        else:
            setattr(builder, field.wire_name, value)


def decode(data: bytes) -> Frame:
    """Decodes a frame.

    Raises:
        errors.PeerError: The bytes are not a frame with a known message.
    """
    try:
        words = _unpack(data)
        with _SCHEMA.Frame.from_bytes(
            words, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as reader:
            name = str(reader.which())
            mapping = _MAPPINGS_BY_NAME.get(name)
            if mapping is None:
                raise errors.PeerError("frame without a known message")
            message = _read_message(mapping, getattr(reader, name))
            sent_at = None
            if len(words) == _message_bytes(words) + WORD_BYTES:
                sent_at = _read_time(words[-WORD_BYTES:])
            return Frame(reader.requestId, message, sent_at)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        reason = str(error).splitlines()[0]
        raise errors.PeerError(f"malformed frame: {reason}") from error


def _message_bytes(data: bytes) -> int:
    """Returns the size of a message that begins with its segment table."""
    segments = 1 + int.from_bytes(data[:4], "little")
    table = data[4 : 4 + 4 * segments]
    words = segments // 2 + 1
    for start in range(0, len(table), 4):
        words += int.from_bytes(table[start : start + 4], "little")
    return words * WORD_BYTES


def _unpack(data: bytes) -> bytes:
    """Expands the packed encoding of Cap'n Proto.

    pycapnp's own decoder of this encoding ends the process on some malformed
    input, by an exception in a destructor. The tag of a word has one bit for
    each of its bytes that is not zero. The tag 0 is followed by a number of
    further zero words, the tag 255 by a number of further literal words.

    Raises:
        errors.PeerError: The data is truncated or expands too far.
    """
    parts = []
    size = 0
    position = 0
    end = len(data)
    while position < end:
        tag = data[position]
        position += 1
        literal = _LITERAL_BYTES[tag]
        word = data[position : position + len(literal)]
        position += len(literal)
        count = 0
        if tag in (0, 255):
            if position >= end:
                raise errors.PeerError("malformed frame: truncated")
            count = data[position]
            position += 1
        if len(word) < len(literal):
            raise errors.PeerError("malformed frame: truncated")
        if tag == 255:
            parts.append(word)
            rest = data[position : position + WORD_BYTES * count]
            if len(rest) < WORD_BYTES * count:
                raise errors.PeerError("malformed frame: truncated")
            parts.append(rest)
            position += len(rest)
        elif tag == 0:
            parts.append(bytes(WORD_BYTES * (1 + count)))
        else:
            expanded = bytearray(WORD_BYTES)
            for index, byte in zip(literal, word, strict=True):
                expanded[index] = byte
            parts.append(expanded)
        size += 1 + count
        if size > MAX_TRAVERSAL_WORDS:
            raise errors.PeerError("malformed frame: expands too far")
    return b"".join(parts)


def _read_message(mapping: _MessageMapping, reader):
    values = {}
    for field in mapping.fields:
        value = getattr(reader, field.wire_name)
        if field.item_mapping:
            value = [
                _read_message(field.item_mapping, element) for element in value
            ]
        elif field.is_list:
            value = list(value)
        values[field.name] = value
    return mapping.cls(**values)
