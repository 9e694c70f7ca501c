"""Page tokens: the key after which a listing continues, signed against forgery. No I/O."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import msgspec

from coveflow.tes.models import RequestError

SIGN_BYTES = 12
INVALID_TOKEN = "page_token is not one that this service gave for these filters; begin without one"


def sign(secret: bytes, after: int, filters: str) -> str:
    """Return a token that continues after that key, valid only for the same filters and rights."""
    body = msgspec.msgpack.encode(after)
    return base64.urlsafe_b64encode(_mac(secret, body, filters) + body).decode().rstrip("=")


def read(secret: bytes, token: str, filters: str) -> int:
    """Return the key in a token. Raises RequestError for a token with a wrong signature."""
    try:
        raw = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
    except (ValueError, binascii.Error) as error:
        raise RequestError(INVALID_TOKEN) from error
    if len(raw) > 64 or not hmac.compare_digest(
        raw[:SIGN_BYTES], _mac(secret, raw[SIGN_BYTES:], filters)
    ):
        raise RequestError(INVALID_TOKEN)
    return msgspec.msgpack.decode(raw[SIGN_BYTES:], type=int)


def _mac(secret: bytes, body: bytes, filters: str) -> bytes:
    text = body + b"\0" + filters.encode()
    return hashlib.blake2b(text, key=secret, digest_size=SIGN_BYTES).digest()
