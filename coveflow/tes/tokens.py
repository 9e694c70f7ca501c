"""A page's token: where to go on, signed, so that a client cannot make one up. Pure."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import msgspec

from coveflow.tes.models import Refused

SIGN_BYTES = 12
NOT_OURS = "page_token is not one that this service gave for these filters; begin without one"


def sign(secret: bytes, after: int, filters: str) -> str:
    """A token to go on after that key, good only for the same filters and rights."""
    body = msgspec.msgpack.encode(after)
    return base64.urlsafe_b64encode(_mac(secret, body, filters) + body).decode().rstrip("=")


def read(secret: bytes, token: str, filters: str) -> int:
    """The key that the token names. Raises Refused."""
    try:
        raw = base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
    except (ValueError, binascii.Error) as error:
        raise Refused(NOT_OURS) from error
    if len(raw) > 64 or not hmac.compare_digest(
        raw[:SIGN_BYTES], _mac(secret, raw[SIGN_BYTES:], filters)
    ):
        raise Refused(NOT_OURS)
    return msgspec.msgpack.decode(raw[SIGN_BYTES:], type=int)


def _mac(secret: bytes, body: bytes, filters: str) -> bytes:
    text = body + b"\0" + filters.encode()
    return hashlib.blake2b(text, key=secret, digest_size=SIGN_BYTES).digest()
