"""Signs and checks orders to engines."""

import hashlib
import hmac

from attrs import evolve

from sequoia_wire.codecs import encode
from sequoia_wire.environment import Order

DIGEST_SIZE = 32  # bytes


def sign_order(order: Order, secret: str) -> Order:
    """Return the order with its signature."""
    return evolve(order, signature=make_signature(order, secret))


def is_genuine(order: Order, secret: str) -> bool:
    """Tell whether an order was signed with a secret."""
    expected = make_signature(order, secret)
    return hmac.compare_digest(order.signature, expected)


def make_signature(order: Order, secret: str) -> str:
    """Return the keyed digest of all fields but the signature."""
    key = hashlib.blake2b(secret.encode()).digest()
    plain = encode(evolve(order, signature=''))
    digest = hashlib.blake2b(plain, key=key, digest_size=DIGEST_SIZE)
    return digest.hexdigest()
