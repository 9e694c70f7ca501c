"""Documents larger than one value: compressed, cut into parts, named by their content. Pure.

`td/HASH` is the root: how many parts there are, and the first; `td/HASH/N` are the others. Values
of the state service are text, so the compressed bytes are written in base 85, which needs no
escapes.
"""

from __future__ import annotations

import base64
import hashlib
import re
import zlib
from typing import Any, NamedTuple

from coveflow.tes.models import Refused

DOC = "td/"
HASH = re.compile(r"[0-9a-f]{32}")
LEVEL = 6  # of compression; 9 gains a percent for twice the time
FRAME_BYTES = 128  # of a root beside its part
MOST_BYTES = 64 * 1024 * 1024  # of a document unpacked: what is read back is ours, and damage ends


class Damaged(Exception):
    """A document is not what its name says."""


class Cut(NamedTuple):
    hash: str
    parts: list[str]
    size: int  # bytes of the document

    def root(self) -> dict[str, Any]:
        return {"n": len(self.parts), "size": self.size, "data": self.parts[0]}

    def key(self, part: int) -> str:
        return key(self.hash, part)


def key(name: str, part: int = 0) -> str:
    return f"{DOC}{name}/{part}" if part else DOC + name


def name_of(raw: bytes) -> str:
    return hashlib.blake2b(raw, digest_size=16).hexdigest()


def room(value_kb: float) -> int:
    """Characters of a part, so that a root with it stays within a value."""
    return int(value_kb * 1024 * 0.95) - FRAME_BYTES


def cut(raw: bytes, value_kb: float, parts_most: int) -> Cut:
    """A document as keys and values; Refused where it needs more parts than one commit guards."""
    text = base64.b85encode(zlib.compress(raw, LEVEL)).decode("ascii")
    step = room(value_kb)
    parts = [text[at : at + step] for at in range(0, len(text), step)]
    if len(parts) > parts_most:
        raise Refused(
            f"the task takes {len(text)} bytes when packed, at most {step * parts_most} are kept;"
            " put large content into a file and name its url",
            413,
        )
    return Cut(name_of(raw), parts, len(raw))


def join(name: str, parts: list[str]) -> bytes:
    """The document of these parts; Damaged where they are not those of that name."""
    try:
        unpack = zlib.decompressobj()
        raw = unpack.decompress(base64.b85decode("".join(parts)), MOST_BYTES)
    except (ValueError, zlib.error) as error:
        raise Damaged(f"document {name}: {error}") from error
    if not unpack.eof or name_of(raw) != name:
        raise Damaged(f"document {name} is not what was written")
    return raw
