"""Incarnations of entry processes, and submission ids.

A submission id is `<coordinator>.<epoch>/<key>`. `<coordinator>` is the
incarnation `<host>-<port>-<nonce>` of the only process that may start the
tasks of the submission.
"""

import hashlib
import re
import secrets
import time

import attrs

MAX_KEY_LENGTH = 128  # characters
_KEY_PATTERN = re.compile(rf"[A-Za-z0-9._~:-]{{1,{MAX_KEY_LENGTH}}}")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535
_NONCE_PATTERN = re.compile(r"[0-9a-f]{16}")
DIGEST_BYTES = 16


@attrs.frozen
class Incarnation:
    """The identity of one process of an entry; it is never reused.

    Attributes:
        host: IP address of the peer listener.
        port: Port of the peer listener.
        nonce: 16 hexadecimal digits: the start time in s, then random bits.
            Of two incarnations at one address, the one that started in a later
            second has the higher nonce.
    """

    host: str
    port: int
    nonce: str

    @property
    def address(self) -> tuple[str, int]:
        """The address of the peer listener."""
        return self.host, self.port

    def __str__(self) -> str:
        return f"{self.host}-{self.port}-{self.nonce}"


@attrs.frozen
class SubmissionId:
    """The parts of a submission id.

    Attributes:
        coordinator: Incarnation of the process that issued the prefix.
        epoch: Epoch of the coordinator in which the prefix was issued.
        key: Chosen by the client; unique within the prefix.
    """

    coordinator: Incarnation
    epoch: int
    key: str

    def __str__(self) -> str:
        return f"{self.coordinator}.{self.epoch}/{self.key}"


def new_incarnation(host: str, port: int) -> Incarnation:
    """Creates the identity of a starting process."""
    nonce = f"{int(time.time()):08x}{secrets.token_hex(4)}"
    return Incarnation(host, port, nonce)


def new_key() -> str:
    """Creates a random key for a submission id."""
    return secrets.token_hex(8)


def parse_incarnation(text: str) -> Incarnation:
    """Parses an incarnation of the form `<host>-<port>-<nonce>`.

    Raises:
        ValueError: The text does not have this form.
    """
    parts = text.rsplit("-", 2)
    if (
        len(parts) != 3
        or not parts[0]
        or not _PORT_PATTERN.fullmatch(parts[1])
        or int(parts[1]) > MAX_PORT
        or not _NONCE_PATTERN.fullmatch(parts[2])
    ):
        raise ValueError("not a coordinator: expected host-port-nonce")
    return Incarnation(parts[0], int(parts[1]), parts[2])


def parse_submission_id(text: str) -> SubmissionId:
    """Parses a whole submission id.

    Raises:
        ValueError: The text does not have the form of a submission id.
    """
    prefix, key_separator, key = text.partition("/")
    coordinator, epoch_separator, epoch = prefix.rpartition(".")
    if not key_separator or not epoch_separator or not epoch.isdecimal():
        raise ValueError("expected <coordinator>.<epoch>/<key>")
    if not is_key(key):
        raise ValueError("the key must be 1 to 128 of A-Z a-z 0-9 . _ ~ : -")
    return SubmissionId(parse_incarnation(coordinator), int(epoch), key)


def is_key(text: str) -> bool:
    """Returns whether the text is a valid key, without an id prefix."""
    return bool(_KEY_PATTERN.fullmatch(text))


def digest(*parts: bytes) -> bytes:
    """Returns a 16-byte digest of the parts, in order.

    Each part is preceded by its length, so moving bytes from one part to the
    next changes the digest.
    """
    result = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        result.update(len(part).to_bytes(8, "big"))
        result.update(part)
    return result.digest()
