"""The listener: reload of certificates and tokens, and invalid settings and files."""

import asyncio
import os
import ssl

import aiohttp
import pytest
import trustme

from coveflow import forms
from coveflow import settings as s
from coveflow.tes import access
from coveflow.tes.access import AccessDenied, Authenticator
from coveflow.tes.http import BASE, Listener
from tests.tes_nodes import Clock, run


def write_certificate(folder, name):
    authority = trustme.CA()
    issued = authority.issue_cert(name)
    issued.private_key_pem.write_to_path(folder / "key.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    context = ssl.create_default_context()
    authority.configure_trust(context)
    return context


def make_listener(tmp_path, where="127.0.0.1:9", **tes):
    return Listener(s.Tes(**({"port": 1} | tes)), None, None, where, tmp_path)


async def start_listener(found, port):
    found.listen_address = f"127.0.0.1:{port}"
    task = asyncio.create_task(found.run())
    await asyncio.sleep(0.1)
    return task


def port():
    from coveflow.lab.cluster import free_ports

    return free_ports(1)[0]


def test_changed_certificate_is_loaded_and_an_invalid_one_is_not(tmp_path, monkeypatch):
    monkeypatch.setattr("coveflow.tes.http.CERTIFICATE_S", 0.1)

    async def go():
        first = write_certificate(tmp_path, "localhost")
        at = port()
        task = await start_listener(
            make_listener(tmp_path, certificate="cert.pem", key="key.pem"), at
        )
        url = f"https://localhost:{at}{BASE}/openapi.json"

        async def request_status(context):
            async with aiohttp.ClientSession() as session, session.get(url, ssl=context) as answer:
                return answer.status

        assert await request_status(first) == 200
        second = write_certificate(tmp_path, "localhost")
        for name in ("key.pem", "cert.pem"):
            os.utime(tmp_path / name, (1, 1))
        await asyncio.sleep(0.4)
        assert await request_status(second) == 200
        with pytest.raises(aiohttp.ClientConnectorCertificateError):
            await request_status(first)
        (tmp_path / "cert.pem").write_text("not one")
        await asyncio.sleep(0.4)
        assert await request_status(second) == 200
        with pytest.raises(aiohttp.ClientError):
            async with aiohttp.ClientSession() as session:
                await session.get(url.replace("https", "http"))
        task.cancel()

    run(go())


def test_plain_http_needs_loopback_or_an_explicit_setting(tmp_path):
    make_listener(tmp_path).load_certificate()
    make_listener(tmp_path, "10.0.0.1:80", plain=True).load_certificate()
    with pytest.raises(s.SettingsError, match=r"plain yes"):
        make_listener(tmp_path, "10.0.0.1:80").load_certificate()
    with pytest.raises(s.SettingsError, match=r"gone\.pem"):
        make_listener(tmp_path, certificate="gone.pem", key="gone.key").load_certificate()


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("(tes (part 1))", "port"),
        ("(tes (port 1) (part 2))", "part"),
        ("(tes (port 1) (certificate x))", "key"),
        ("(tes (listen (a nowhere)))", "host:port"),
        ("(tes (port 1) (magic 2))", "magic"),
        ("(tes (port 1)) (tes (port 2))", "twice"),
    ],
)
def test_errors_name_the_invalid_setting(text, named):
    with pytest.raises(s.SettingsError, match=named):
        s.parse_tuning(f"(coveflow {text})")


def test_settings_are_parsed():
    tes = s.parse_tuning('(coveflow (tes (listen (a "127.0.0.1:5")) (storage "file:///x")))').tes
    assert tes is not None and (tes.listen, tes.storage) == ({"a": "127.0.0.1:5"}, ("file:///x",))


# --- tokens ------------------------------------------------------------------------------------


def tokens_file(path, **rows):
    text = " ".join(
        f'(token {name} (team t) (rights {rights}) (hash "{hashed}"))'
        for name, (rights, hashed) in rows.items()
    )
    path.write_text(f"(tokens {text})")


def test_token_removed_from_the_file_is_rejected(tmp_path, monkeypatch):
    monkeypatch.setattr(access, "FILE_CHECK_S", 0.05)
    path = tmp_path / "tokens.scm"
    token, hashed = access.make_token("one")
    other, other_hashed = access.make_token("two")
    tokens_file(path, one=("read", hashed))

    async def go():
        found = Authenticator(path, Clock())
        following = asyncio.create_task(found.follow_file())
        client = await found.authenticate(f"Bearer {token}")
        assert (client.team, client.rights) == ("t", {"read"})
        assert await found.authenticate(f"bearer {token}") == client  # from the cache
        with pytest.raises(AccessDenied):
            client.require("submit")
        tokens_file(path, two=("read cancel", other_hashed))
        await asyncio.sleep(0.3)
        with pytest.raises(AccessDenied):
            await found.authenticate(f"Bearer {token}")
        await found.authenticate(f"Bearer {other}")
        path.write_text("(tokens (token two (rights fly)))")
        await asyncio.sleep(0.3)
        await found.authenticate(f"Bearer {other}")  # the last valid file stays in use
        following.cancel()

    run(go())


def test_verification_of_invalid_tokens_is_rate_limited(tmp_path):
    path = tmp_path / "tokens.scm"
    token, hashed = access.make_token("one")
    tokens_file(path, one=("read", hashed))

    async def go():
        clock = Clock()
        found = Authenticator(path, clock)
        await found.authenticate(f"Bearer {token}")
        codes = []
        for i in range(40):
            try:
                await found.authenticate(f"Bearer one.guess{i}")
            except AccessDenied as denied:
                codes.append(denied.status)
        assert codes.count(401) <= 20 and codes[-1] == 429
        await found.authenticate(f"Bearer {token}")  # a cached token is not rate-limited
        clock.now += 10
        with pytest.raises(AccessDenied) as denied:
            await found.authenticate("Bearer one.guess")
        assert denied.value.status == 401

    run(go())


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("(tokens (token a (rights read)))", "team"),
        ("(tokens (token a (team t) (rights fly) (hash x)))", "fly"),
        ("(tokens (token a (team t) (rights read) (hash x)))", "Argon2"),
        ("(tokens (token a (team t) (rights read) (what x)))", "what"),
        ("(tokens (token a b))", "a"),
        ("(tokens (key a))", "token NAME"),
    ],
)
def test_errors_name_the_invalid_entry_of_a_tokens_file(text, named):
    with pytest.raises(forms.FormError, match=named):
        access.parse_tokens(text, "file")
