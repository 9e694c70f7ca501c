"""Settings files: errors name their cause, and unknown fields of the deploy file are ignored."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import program
from coveflow import settings as s

DEPLOY = """
host_name = "host-0"
area = "north"
front = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
future_field = 7
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = 1
zones = ["north"]
[params.workers]
report_s = 0.8
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 40.0
[params.state]
rps = 250.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 32
[params.cloud]
rps = 3.0
"""


def test_check_accepts_a_valid_file_and_ignores_unknown_fields(tmp_path, capsys):
    path = tmp_path / "node.toml"
    path.write_text(DEPLOY)
    assert program.main(["check", str(path)]) == 0
    assert "good" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("lease_s = 10.0", 'lease_s = "long"', "lease_s"),
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ('front = "10.0.0.1:8080"', 'front = "nowhere"', "nowhere"),
        ("txn_ops = 32", "", "txn_ops"),
        ("[params.cloud]", "[params.cloud", "line"),
    ],
)
def test_check_names_the_error_and_exits_with_2(tmp_path, capsys, old, new, named):
    path = tmp_path / "node.toml"
    path.write_text(DEPLOY.replace(old, new))
    assert program.main(["check", str(path)]) == 2
    assert named in capsys.readouterr().err


def test_tuning_is_read_from_s_expressions():
    tuning = s.parse_tuning("(coveflow (cycle-s 2.5) (estimators average median) (spare 0.2))")
    assert (tuning.cycle_s, tuning.estimators, tuning.spare) == (2.5, ("average", "median"), 0.2)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("(coveflow (cycle-s 0))", "cycle-s"),
        ("(coveflow (cycles 5))", "cycles"),
        ("(coveflow (estimators mode))", "mode"),
        ("(coveflow (cycle-s 1) (cycle-s 2))", "twice"),
        ("(other)", "coveflow"),
        ("(coveflow cycle-s)", "cycle-s"),
        ("(coveflow", "S-expression"),
    ],
)
def test_error_names_the_invalid_form(text, named):
    with pytest.raises(s.SettingsError, match=named):
        s.parse_tuning(text)


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=60))
def test_arbitrary_text_raises_only_settings_errors(text):
    with contextlib.suppress(s.SettingsError):
        s.parse_tuning(text)
