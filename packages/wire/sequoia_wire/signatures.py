"""Authentication tags of messages between hosts that share a secret."""

import hashlib
import hmac

from sequoia_policy.errors import Code, ServiceError

TAG_SIZE = 16  # bytes


def sign(key: bytes, context: bytes, payload: bytes) -> bytes:
    """Return the authentication tag of a payload.

    Args:
        key: Signing key.
        context: Bytes that bind the tag to one use of the payload.
        payload: Bytes to authenticate.
    """
    hasher = hashlib.blake2b(key=key, digest_size=TAG_SIZE)
    hasher.update(context)
    hasher.update(payload)
    return hasher.digest()


def derive_key(secret: str) -> bytes:
    """Derive the signing key from a shared secret."""
    return hashlib.blake2b(secret.encode()).digest()


def seal_datagram(key: bytes, payload: bytes) -> bytes:
    """Return a datagram: the authentication tag, then the payload."""
    return sign(key, b'datagram', payload) + payload


def open_datagram(key: bytes, datagram: bytes) -> bytes:
    """Verify a datagram and return its payload.

    Raises:
        ServiceError: With code PEER_UNAUTHENTICATED if the tag is invalid.
    """
    tag, payload = datagram[:TAG_SIZE], datagram[TAG_SIZE:]
    if not hmac.compare_digest(tag, sign(key, b'datagram', payload)):
        raise ServiceError(
            Code.PEER_UNAUTHENTICATED,
            'datagram with an invalid authentication tag',
        )
    return payload
