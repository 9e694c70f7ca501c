"""Content-addressed documents, compressed and split into values of the state service. No I/O.

The root at `td/HASH` holds the number of parts and the first part; `td/HASH/N` hold the others.
Values of the state service are text, so the compressed bytes are encoded in base 85, which needs
no JSON escapes.
"""

from __future__ import annotations

import base64
import hashlib
import re
import zlib
from typing import Any, NamedTuple

from coveflow.tes.models import RequestError

DOCUMENT_PREFIX = "td/"
HASH = re.compile(r"[0-9a-f]{32}")
LEVEL = 6  # zlib compression level; 9 saves one percent more and takes twice the time
FRAME_BYTES = 128  # bytes of a root apart from its part
DOCUMENT_MAX_BYTES = (
    64 * 1024 * 1024
)  # bytes of a decompressed document; bounds what corrupt data can use


class CorruptDocument(Exception):
    """The stored parts do not decode to the document with that hash."""


class PackedDocument(NamedTuple):
    """A compressed document and its parts."""

    hash: str
    parts: list[str]
    size: int  # bytes of the document before compression

    def root(self) -> dict[str, Any]:
        return {"n": len(self.parts), "size": self.size, "data": self.parts[0]}

    def key(self, part: int) -> str:
        return key(self.hash, part)


def key(name: str, part: int = 0) -> str:
    return f"{DOCUMENT_PREFIX}{name}/{part}" if part else DOCUMENT_PREFIX + name


def content_hash(raw: bytes) -> str:
    return hashlib.blake2b(raw, digest_size=16).hexdigest()


def part_chars(value_kb: float) -> int:
    """Return the characters of a part, so that the root with its part fits in one value."""
    return int(value_kb * 1024 * 0.95) - FRAME_BYTES


def pack(raw: bytes, value_kb: float, parts_max: int) -> PackedDocument:
    """Compress and split a document. Raises RequestError if it has too many parts.

    A commit guards every part, so their number is limited.
    """
    text = base64.b85encode(zlib.compress(raw, LEVEL)).decode("ascii")
    step = part_chars(value_kb)
    parts = [text[at : at + step] for at in range(0, len(text), step)]
    if len(parts) > parts_max:
        raise RequestError(
            f"the task takes {len(text)} bytes when packed, at most {step * parts_max} are kept;"
            " put large content into a file and name its url",
            413,
        )
    return PackedDocument(content_hash(raw), parts, len(raw))


def unpack(name: str, parts: list[str]) -> bytes:
    """Reassemble a document. Raises CorruptDocument if the content does not match its hash."""
    try:
        unpack = zlib.decompressobj()
        raw = unpack.decompress(base64.b85decode("".join(parts)), DOCUMENT_MAX_BYTES)
    except (ValueError, zlib.error) as error:
        raise CorruptDocument(f"document {name}: {error}") from error
    if not unpack.eof or content_hash(raw) != name:
        raise CorruptDocument(f"document {name} does not match its hash")
    return raw
