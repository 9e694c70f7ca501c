"""The command line: a user error prints one line that says how to correct it, and exits with 2."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from coveflow import forms
from coveflow import settings as s
from coveflow.cli.errors import UserError
from coveflow.cli.main import COMMANDS, cli
from tests.test_settings import DEPLOY
from tests.test_trace import write_trace

LAB = Path(forms.__file__).parent / "lab" / "sites" / "demo.scm"


def invoke(*arguments):
    return CliRunner().invoke(cli, [str(arg) for arg in arguments])


def test_every_command_is_listed_and_has_help():
    shown = invoke("--help").output
    for name in COMMANDS:
        assert name in shown
        assert invoke(name, "--help").exit_code == 0


def test_check_accepts_each_kind_of_file_and_reports_the_first_error(tmp_path):
    files = {
        "a.toml": DEPLOY,
        "b.scm": "; tuning\n(coveflow (cycle-s 2) (class x (repeat no)))",
        "c.scm": LAB.read_text(),
        "d.scm": "(faults (at 1 kill leader))",
        "e.scm": "(change (controllers 2))",
        "f.scm": "(experiment (site demo) (seeds 1 2))",
    }
    for name, text in files.items():
        (tmp_path / name).write_text(text)
    good = invoke("check", "--json", *(tmp_path / name for name in files))
    assert good.exit_code == 0
    assert all(json.loads(line)["good"] for line in good.output.splitlines())
    (tmp_path / "e.scm").write_text("(change (controllers none))")
    bad = invoke("check", "--json", tmp_path / "e.scm")
    assert bad.exit_code == 2 and "controllers" in json.loads(bad.output)["error"]


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["status", "j-1"], "--at"),
        (["submit", "--at", "127.0.0.1:1"], "--file"),
        (["submit", "--at", "127.0.0.1:1", "--class", "x"], "--lab"),
        (["status", "j-1", "--lab", "nowhere"], "lab up"),
        (["lab", "up", "nowhere"], "demo"),
        (["lab", "load", "demo", "--trace"], "--folder"),
        (["trace", "show", "nowhere"], "manifest"),
        (["whatif", "nowhere"], "manifest"),
        (["held", "list", "--config", "nowhere.toml"], "nowhere.toml"),
    ],
)
def test_user_error_names_the_correction(arguments, expected, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv("COVEFLOW_AT", raising=False)
    result = invoke(*arguments)
    assert isinstance(result.exception, UserError | s.SettingsError | forms.FormError)
    assert expected in str(result.exception)


def test_trace_show_and_verify_print_json(tmp_path):
    write_trace(tmp_path / "t")
    rows = [
        json.loads(line)
        for line in invoke("trace", "show", tmp_path / "t", "--json").output.split("\n")
        if line
    ]
    assert [row["number"] for row in rows] == list(range(1, 11))
    assert json.loads(invoke("trace", "verify", tmp_path / "t", "--json").output)["wrong"] == []
    (tmp_path / "t" / "seg-000001.parquet").unlink()
    broken = invoke("trace", "verify", tmp_path / "t")
    assert broken.exit_code == 1
