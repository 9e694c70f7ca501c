"""The listener alone: certificates and tokens that change, files that are wrong."""

import asyncio
import os
import ssl

import aiohttp
import pytest
import trustme

from coveflow import forms
from coveflow import settings as s
from coveflow.tes import access
from coveflow.tes.access import Access, Denied
from coveflow.tes.http import BASE, Listener
from tests.tes_nodes import Clock, run


def certificate(folder, name):
    authority = trustme.CA()
    issued = authority.issue_cert(name)
    issued.private_key_pem.write_to_path(folder / "key.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    context = ssl.create_default_context()
    authority.configure_trust(context)
    return context


def listener(tmp_path, where="127.0.0.1:9", **tes):
    return Listener(s.Tes(**({"port": 1} | tes)), None, None, where, tmp_path)


async def listening(found, port):
    found.where = f"127.0.0.1:{port}"
    task = asyncio.create_task(found.run())
    await asyncio.sleep(0.1)
    return task


def port():
    from coveflow.lab.cluster import free_ports

    return free_ports(1)[0]


def test_a_certificate_that_changes_is_taken_up_and_a_wrong_one_is_not(tmp_path, monkeypatch):
    monkeypatch.setattr("coveflow.tes.http.CERTIFICATE_S", 0.1)

    async def go():
        first = certificate(tmp_path, "localhost")
        at = port()
        task = await listening(listener(tmp_path, certificate="cert.pem", key="key.pem"), at)
        url = f"https://localhost:{at}{BASE}/openapi.json"

        async def asked(context):
            async with aiohttp.ClientSession() as session, session.get(url, ssl=context) as answer:
                return answer.status

        assert await asked(first) == 200
        second = certificate(tmp_path, "localhost")
        for name in ("key.pem", "cert.pem"):
            os.utime(tmp_path / name, (1, 1))
        await asyncio.sleep(0.4)
        assert await asked(second) == 200
        with pytest.raises(aiohttp.ClientConnectorCertificateError):
            await asked(first)
        (tmp_path / "cert.pem").write_text("not one")
        await asyncio.sleep(0.4)
        assert await asked(second) == 200
        with pytest.raises(aiohttp.ClientError):
            async with aiohttp.ClientSession() as session:
                await session.get(url.replace("https", "http"))
        task.cancel()

    run(go())


def test_plain_only_on_loopback_unless_said(tmp_path):
    listener(tmp_path).load_certificate()
    listener(tmp_path, "10.0.0.1:80", plain=True).load_certificate()
    with pytest.raises(s.SettingsError, match=r"plain yes"):
        listener(tmp_path, "10.0.0.1:80").load_certificate()
    with pytest.raises(s.SettingsError, match=r"gone\.pem"):
        listener(tmp_path, certificate="gone.pem", key="gone.key").load_certificate()


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
def test_settings_that_are_wrong_are_named(text, named):
    with pytest.raises(s.SettingsError, match=named):
        s.parse_tuning(f"(coveflow {text})")


def test_settings_are_read():
    tes = s.parse_tuning('(coveflow (tes (listen (a "127.0.0.1:5")) (storage "file:///x")))').tes
    assert tes is not None and (tes.listen, tes.storage) == ({"a": "127.0.0.1:5"}, ("file:///x",))


# --- tokens ------------------------------------------------------------------------------------


def tokens_file(path, **rows):
    text = " ".join(
        f'(token {name} (team t) (rights {rights}) (hash "{hashed}"))'
        for name, (rights, hashed) in rows.items()
    )
    path.write_text(f"(tokens {text})")


def test_a_token_taken_out_of_the_file_is_good_no_more(tmp_path, monkeypatch):
    monkeypatch.setattr(access, "LOOK_S", 0.05)
    path = tmp_path / "tokens.scm"
    token, hashed = access.make("one")
    other, other_hashed = access.make("two")
    tokens_file(path, one=("read", hashed))

    async def go():
        found = Access(path, Clock())
        following = asyncio.create_task(found.follow())
        client = await found.client(f"Bearer {token}")
        assert (client.team, client.rights) == ("t", {"read"})
        assert await found.client(f"bearer {token}") == client  # remembered by now
        with pytest.raises(Denied):
            client.need("submit")
        tokens_file(path, two=("read cancel", other_hashed))
        await asyncio.sleep(0.3)
        with pytest.raises(Denied):
            await found.client(f"Bearer {token}")
        await found.client(f"Bearer {other}")
        path.write_text("(tokens (token two (rights fly)))")
        await asyncio.sleep(0.3)
        await found.client(f"Bearer {other}")  # the last good file holds
        following.cancel()

    run(go())


def test_tries_of_bad_tokens_are_bounded(tmp_path):
    path = tmp_path / "tokens.scm"
    token, hashed = access.make("one")
    tokens_file(path, one=("read", hashed))

    async def go():
        clock = Clock()
        found = Access(path, clock)
        await found.client(f"Bearer {token}")
        codes = []
        for i in range(40):
            try:
                await found.client(f"Bearer one.guess{i}")
            except Denied as denied:
                codes.append(denied.status)
        assert codes.count(401) <= 20 and codes[-1] == 429
        await found.client(f"Bearer {token}")  # a known one is not held up by them
        clock.now += 10
        with pytest.raises(Denied) as denied:
            await found.client("Bearer one.guess")
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
def test_a_tokens_file_that_is_wrong_is_named(text, named):
    with pytest.raises(forms.FormError, match=named):
        access.parse(text, "file")
