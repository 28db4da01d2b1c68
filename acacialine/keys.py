"""Shared keys of the entries and TLS contexts from certificate files."""

import hashlib
import hmac
import ssl

from acacialine import settings as settings_lib

NONCE_BYTES = 32
PROOF_BYTES = 32


def proof(key: str, role: str, nonce: bytes, identity: str) -> bytes:
    """Returns the proof that a side of a peer link knows a key."""
    message = b"|".join((role.encode(), nonce, identity.encode()))
    return hmac.new(key.encode(), message, hashlib.sha256).digest()


def matching_key(
    keys: tuple[str, ...],
    role: str,
    nonce: bytes,
    identity: str,
    given: bytes,
) -> str | None:
    """Returns the key with which a proof was made; None if with no known."""
    found = None
    for key in keys:
        expected = proof(key, role, nonce, identity)
        if hmac.compare_digest(expected, given):
            found = key
    return found


def server_context(tls: settings_lib.TlsSettings) -> ssl.SSLContext | None:
    """Returns the context of listeners; None if TLS is off."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def peer_server_context(
    tls: settings_lib.TlsSettings,
) -> ssl.SSLContext | None:
    """Returns the context of the peer listener, which checks its clients."""
    context = server_context(tls)
    if context and tls.ca:
        context.load_verify_locations(tls.ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(
    tls: settings_lib.TlsSettings,
) -> ssl.SSLContext | None:
    """Returns the context with which peers are dialled."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(cafile=tls.ca or None)
    context.load_cert_chain(tls.certificate, tls.key)
    # Peers are known by IP number and prove the shared key besides.
    context.check_hostname = False
    return context
