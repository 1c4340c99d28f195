"""Signing and verification of orders to engines."""

import hashlib
import hmac

from attrs import evolve

from sequoia_wire.codecs import encode
from sequoia_wire.platform_messages import Order

DIGEST_SIZE = 32  # bytes


def sign_order(order: Order, secret: str) -> Order:
    """Return a copy of the order with its signature."""
    return evolve(order, signature=compute_signature(order, secret))


def has_valid_signature(order: Order, secret: str) -> bool:
    """Return whether an order was signed with a secret."""
    expected = compute_signature(order, secret)
    return hmac.compare_digest(order.signature, expected)


def compute_signature(order: Order, secret: str) -> str:
    """Return the keyed digest of all fields except the signature."""
    key = hashlib.blake2b(secret.encode()).digest()
    payload = encode(evolve(order, signature=''))
    digest = hashlib.blake2b(payload, key=key, digest_size=DIGEST_SIZE)
    return digest.hexdigest()
