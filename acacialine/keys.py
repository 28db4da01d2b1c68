"""Proofs that a peer knows a shared key, and TLS contexts."""

import hashlib
import hmac
import ssl

from acacialine import settings as settings_lib

NONCE_BYTES = 32
PROOF_BYTES = 32


def compute_proof(key: str, role: str, nonce: bytes, identity: str) -> bytes:
    """Returns the proof that one side of a peer link knows a shared key.

    Args:
        key: The shared key.
        role: `client` or `server`, so that no side can replay the other's
            proof.
        nonce: The random bytes that the verifying side sent.
        identity: Incarnation of the side that makes the proof.
    """
    message = b"|".join((role.encode(), nonce, identity.encode()))
    return hmac.new(key.encode(), message, hashlib.sha256).digest()


def find_matching_key(
    keys: tuple[str, ...],
    role: str,
    nonce: bytes,
    identity: str,
    received_proof: bytes,
) -> str | None:
    """Returns the key that a proof was made with; None if it is none of them.

    Every key is compared, in constant time.

    Args:
        keys: The shared keys accepted.
        role: As for `compute_proof`.
        nonce: As for `compute_proof`.
        identity: As for `compute_proof`.
        received_proof: The proof that the other side sent.
    """
    matching = None
    for key in keys:
        expected_proof = compute_proof(key, role, nonce, identity)
        if hmac.compare_digest(expected_proof, received_proof):
            matching = key
    return matching


def server_context(tls: settings_lib.TlsSettings) -> ssl.SSLContext | None:
    """Returns the TLS context of listeners; None if TLS is off."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def peer_server_context(
    tls: settings_lib.TlsSettings,
) -> ssl.SSLContext | None:
    """Returns the TLS context of the peer listener; None if TLS is off.

    With a CA file, peers that connect must present a certificate.
    """
    context = server_context(tls)
    if context and tls.ca:
        context.load_verify_locations(tls.ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(
    tls: settings_lib.TlsSettings,
) -> ssl.SSLContext | None:
    """Returns the TLS context for connecting to peers; None if TLS is off."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(cafile=tls.ca or None)
    context.load_cert_chain(tls.certificate, tls.key)
    # Peers are addressed by IP address, and the handshake that follows proves
    # that they know the shared key.
    context.check_hostname = False
    return context
