"""Clients' tokens: who asks, for which team, with which rights.

A token is `NAME.SECRET`. Operators' file has its hash only; it is read again when it changes:

    (tokens
      (token pipeline (team mapeo) (rights submit read cancel) (hash "$argon2id$..."))
      (token auditor (rights read-all) (hash "$argon2id$...")))

Hashes are salted (Argon2id) and slow on purpose, so a good token is remembered by a keyed digest
for as long as the file stays the same; tries that need the slow way are bounded in number and
paced.
"""

from __future__ import annotations

import asyncio
import hashlib
import re
import secrets
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path

import argon2
import msgspec

from coveflow import forms
from coveflow.logs import Log
from coveflow.net.http import TokenBucket

log = Log("coveflow.tes")

RIGHTS = ("submit", "read", "read-all", "cancel")
NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
LOOK_S = 2.0  # s between looks whether the file changed
REMEMBERED = 1_000  # good tokens remembered by their digest
VERIFY_PER_S, VERIFY_BURST_S = 5.0, 4.0  # slow checks; each takes some 10 ms of a core
TOKEN_BYTES = 256  # a longer one is none of ours
# Argon2id at 8 MiB: a controller has some 100 MiB in all, and secrets here are random, not words.
HASHER = argon2.PasswordHasher(time_cost=2, memory_cost=8 * 1024, parallelism=1)


class Denied(Exception):
    """401 or 403 (or 429, with a time), and a sentence."""

    def __init__(self, status: int, text: str, retry_s: float = 0.0) -> None:
        super().__init__(text)
        self.status, self.retry_s = status, retry_s


class Client(msgspec.Struct, frozen=True):
    name: str
    team: str
    rights: frozenset[str]

    def need(self, right: str) -> None:
        """Raises Denied without the right."""
        if right not in self.rights and not (right == "read" and "read-all" in self.rights):
            raise Denied(403, f"the token {self.name} has no right to {right}")

    def sees(self, team: str) -> bool:
        return team == self.team or "read-all" in self.rights


class Entry(msgspec.Struct, frozen=True):
    client: Client
    hash: str


def parse(text: str, origin: str) -> dict[str, Entry]:
    """The tokens of a file, by name. Raises FormError naming the place."""
    found: dict[str, Entry] = {}
    for item in forms.read(text, origin, "tokens"):
        key, words = forms.entry(item, origin)
        if key != "token" or not isinstance(words[0], str) or not NAME.fullmatch(words[0]):
            raise forms.FormError(f"{origin}: {forms.format_form(item)} is not (token NAME ...)")
        name = words[0]
        where = f"{origin}: token {name}"
        if name in found:
            raise forms.FormError(f"{where} is given twice")
        table = forms.table(words[1:], where)
        unknown = sorted(set(table) - {"team", "rights", "hash"})
        if unknown:
            raise forms.FormError(f"{where}: {unknown[0]} is not known; team, rights, hash are")
        rights = table.get("rights", [])
        bad = [right for right in rights if right not in RIGHTS]
        if bad or not rights:
            raise forms.FormError(f"{where}: rights are among {', '.join(RIGHTS)}, not {bad}")
        team = forms.word("team", table["team"], where) if "team" in table else ""
        if not team and set(rights) - {"read-all"}:
            raise forms.FormError(f"{where}: these rights need a (team NAME)")
        hashed = forms.word("hash", table.get("hash", []), where)
        try:
            argon2.extract_parameters(hashed)
        except argon2.exceptions.InvalidHashError as error:
            raise forms.FormError(f"{where}: hash is not one of Argon2; coveflow tes token makes"
                                  " them") from error  # fmt: skip
        found[name] = Entry(Client(name, team, frozenset(rights)), hashed)
    return found


def make(name: str) -> tuple[str, str]:
    """A new token, and its hash for the operators' file."""
    secret = secrets.token_urlsafe(24)
    return f"{name}.{secret}", HASHER.hash(secret)


class Access:
    def __init__(self, path: Path | None, clock: Callable[[], float]) -> None:
        self.path, self.clock = path, clock
        self.entries: dict[str, Entry] = {}
        self.stamp: tuple[int, int] | None = None
        self.key = secrets.token_bytes(32)
        self.known: OrderedDict[bytes, str] = OrderedDict()
        self.slow = TokenBucket(VERIFY_PER_S, clock, VERIFY_BURST_S)
        self.one = asyncio.Lock()  # one slow check at a time: each takes 8 MiB
        self.nobody = HASHER.hash(secrets.token_urlsafe(8))
        if path is not None:
            self.entries = parse(path.read_text(encoding="utf-8"), str(path))
            self.stamp = _stamp(path)

    async def follow(self) -> None:
        """Read the file again when it changes; a wrong one is told and the last good one stays."""
        while self.path is not None:
            await asyncio.sleep(LOOK_S)
            try:
                stamp = _stamp(self.path)
                if stamp == self.stamp:
                    continue
                self.stamp = stamp
                entries = parse(self.path.read_text(encoding="utf-8"), str(self.path))
            except (OSError, UnicodeDecodeError, forms.FormError) as error:
                log.error("tokens not read again; the last good ones hold", why=error)
                continue
            self.entries = entries
            self.known.clear()
            self.key = secrets.token_bytes(32)
            log.info("tokens read again", tokens=len(entries))

    async def client(self, header: str | None) -> Client:
        """Who sends this Authorization header. Raises Denied, without a word on why."""
        scheme, _, token = (header or "").partition(" ")
        token = token.strip()
        if scheme.lower() != "bearer" or not token:
            raise Denied(401, "send a token: Authorization: Bearer NAME.SECRET")
        name, _, secret = token.partition(".")
        if len(token) > TOKEN_BYTES or not secret or not token.isascii():
            raise Denied(401, "the token is not good")
        digest = hashlib.blake2b(token.encode(), key=self.key, digest_size=32).digest()
        # Looked up by a digest under a key that nobody outside knows: timing tells nothing.
        of = self.known.get(digest)
        if of in self.entries:
            return self.entries[of].client
        if self.slow.refill() < 1.0:
            raise Denied(429, "too many tokens are being checked", 1.0)
        self.slow.level -= 1.0
        entries, key = self.entries, self.key
        entry = entries.get(name)
        async with self.one:
            good = await asyncio.to_thread(_verify, entry.hash if entry else self.nobody, secret)
        if not good or entry is None or self.entries.get(name) is not entry:
            raise Denied(401, "the token is not good")
        if key is self.key:
            self.known[digest] = name
            if len(self.known) > REMEMBERED:
                self.known.popitem(last=False)
        return entry.client


def _verify(hashed: str, secret: str) -> bool:
    try:
        return HASHER.verify(hashed, secret)
    except argon2.exceptions.VerificationError:
        return False


def _stamp(path: Path) -> tuple[int, int]:
    found = path.stat()
    return found.st_mtime_ns, found.st_size
