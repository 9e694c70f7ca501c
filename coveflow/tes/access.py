"""Client authentication: bearer tokens, each with a team and rights.

A token is `NAME.SECRET`. The operators' file holds only its hash, and is reloaded when it changes:

    (tokens
      (token pipeline (team mapeo) (rights submit read cancel) (hash "$argon2id$..."))
      (token auditor (rights read-all) (hash "$argon2id$...")))

Argon2id hashes are salted and slow on purpose. A verified token is therefore cached by a keyed
digest until the file changes, and verifications against the hash are rate-limited.
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
TOKEN_NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
FILE_CHECK_S = 2.0  # s between checks for a changed file
VERIFIED_MAX = 1_000  # verified tokens cached by their digest
VERIFY_PER_S, VERIFY_BURST_S = 5.0, 4.0  # hash verifications; each takes about 10 ms of a core
TOKEN_BYTES = 256  # longest token accepted; generated tokens are shorter
# Argon2id with 8 MiB: a controller has about 100 MiB in all, and the secrets are random, so they
# need less hardening than passwords.
HASHER = argon2.PasswordHasher(time_cost=2, memory_cost=8 * 1024, parallelism=1)


class AccessDenied(Exception):
    """Access denied: 401, 403 or 429 (with the s to wait), and a message."""

    def __init__(self, status: int, text: str, retry_s: float = 0.0) -> None:
        super().__init__(text)
        self.status, self.retry_s = status, retry_s


class Client(msgspec.Struct, frozen=True):
    """An authenticated client."""

    name: str
    team: str
    rights: frozenset[str]

    def require(self, right: str) -> None:
        """Raise AccessDenied if the client lacks the right."""
        if right not in self.rights and not (right == "read" and "read-all" in self.rights):
            raise AccessDenied(403, f"the token {self.name} has no right to {right}")

    def sees(self, team: str) -> bool:
        return team == self.team or "read-all" in self.rights


class TokenEntry(msgspec.Struct, frozen=True):
    client: Client
    hash: str


def parse_tokens(text: str, origin: str) -> dict[str, TokenEntry]:
    """Parse a tokens file into entries by name. Raises FormError that names the place."""
    found: dict[str, TokenEntry] = {}
    for item in forms.read(text, origin, "tokens"):
        key, words = forms.entry(item, origin)
        if key != "token" or not isinstance(words[0], str) or not TOKEN_NAME.fullmatch(words[0]):
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
        found[name] = TokenEntry(Client(name, team, frozenset(rights)), hashed)
    return found


def make_token(name: str) -> tuple[str, str]:
    """Return a new token, and its hash for the operators' file."""
    secret = secrets.token_urlsafe(24)
    return f"{name}.{secret}", HASHER.hash(secret)


class Authenticator:
    """Authenticates clients against the operators' tokens file."""

    def __init__(self, path: Path | None, clock: Callable[[], float]) -> None:
        self.path, self.clock = path, clock
        self.entries: dict[str, TokenEntry] = {}
        self.file_stamp: tuple[int, int] | None = None
        self.digest_key = secrets.token_bytes(32)
        self.verified: OrderedDict[bytes, str] = OrderedDict()
        self.verify_budget = TokenBucket(VERIFY_PER_S, clock, VERIFY_BURST_S)
        self.verify_lock = asyncio.Lock()  # one verification at a time: each takes 8 MiB
        self.dummy_hash = HASHER.hash(secrets.token_urlsafe(8))
        if path is not None:
            self.entries = parse_tokens(path.read_text(encoding="utf-8"), str(path))
            self.file_stamp = _file_stamp(path)

    async def follow_file(self) -> None:
        """Reload the file when it changes; an invalid one is logged and the last valid one kept."""
        while self.path is not None:
            await asyncio.sleep(FILE_CHECK_S)
            try:
                stamp = _file_stamp(self.path)
                if stamp == self.file_stamp:
                    continue
                self.file_stamp = stamp
                entries = parse_tokens(self.path.read_text(encoding="utf-8"), str(self.path))
            except (OSError, UnicodeDecodeError, forms.FormError) as error:
                log.error("tokens not reloaded; the last valid ones stay in use", why=error)
                continue
            self.entries = entries
            self.verified.clear()
            self.digest_key = secrets.token_bytes(32)
            log.info("tokens read again", tokens=len(entries))

    async def authenticate(self, header: str | None) -> Client:
        """Return the client of an Authorization header. Raises AccessDenied without the cause.

        An unknown name is verified against a dummy hash, so it takes as long as a wrong secret.
        """
        scheme, _, token = (header or "").partition(" ")
        token = token.strip()
        if scheme.lower() != "bearer" or not token:
            raise AccessDenied(401, "send a token: Authorization: Bearer NAME.SECRET")
        name, _, secret = token.partition(".")
        if len(token) > TOKEN_BYTES or not secret or not token.isascii():
            raise AccessDenied(401, "the token is not valid")
        digest = hashlib.blake2b(token.encode(), key=self.digest_key, digest_size=32).digest()
        # The digest is keyed with a secret of this process, so lookup timing reveals nothing.
        verified_name = self.verified.get(digest)
        if verified_name in self.entries:
            return self.entries[verified_name].client
        if self.verify_budget.refill() < 1.0:
            raise AccessDenied(429, "too many tokens are being checked", 1.0)
        self.verify_budget.level -= 1.0
        entries, key = self.entries, self.digest_key
        entry = entries.get(name)
        async with self.verify_lock:
            good = await asyncio.to_thread(
                _verify, entry.hash if entry else self.dummy_hash, secret
            )
        if not good or entry is None or self.entries.get(name) is not entry:
            raise AccessDenied(401, "the token is not valid")
        if key is self.digest_key:
            self.verified[digest] = name
            if len(self.verified) > VERIFIED_MAX:
                self.verified.popitem(last=False)
        return entry.client


def _verify(hashed: str, secret: str) -> bool:
    try:
        return HASHER.verify(hashed, secret)
    except argon2.exceptions.VerificationError:
        return False


def _file_stamp(path: Path) -> tuple[int, int]:
    found = path.stat()
    return found.st_mtime_ns, found.st_size
