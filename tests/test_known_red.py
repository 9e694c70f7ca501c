"""The list of tests that are known to fail: what it lets pass, and what it does not."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent
SOME = """
def test_red():
    assert 1 == 2

def test_green():
    assert True
"""
RED = "tests/test_some.py::test_red | it adds up wrongly | #7"


def run(root: Path, *more: str) -> tuple[int, str]:
    found = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *more],
        cwd=root, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    return found.returncode, found.stdout


@pytest.fixture
def project(tmp_path):
    """A small project with the set-up of this one."""
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py", "test_known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests" / name)
    (tmp_path / "tests" / "test_some.py").write_text(SOME)
    (tmp_path / "pytest.ini").write_text("[pytest]\npythonpath = .\n")

    def play(*lines: str) -> tuple[int, str]:
        if lines:
            (tmp_path / known_red.NAME).write_text("\n".join(lines) + "\n")
        # The test of the list itself, and no others here: those would play this one in turn.
        own = "tests/test_known_red.py::test_the_list_of_this_project_is_in_order"
        return run(tmp_path, "tests/test_some.py", own)

    return play


def test_the_list_of_this_project_is_in_order():
    assert not known_red.wrong(ROOT)
    for line in known_red.lines_of(ROOT):
        test = known_red.parsed(line).test
        code, out = run(ROOT, "--collect-only", test)
        assert code == 0, f"no such test: {test}\n{out}"
        assert not test.startswith("tests/test_known_red.py")


def test_a_failing_test_fails_where_nothing_is_known_of_it(project):
    code, out = project()
    assert code == 1 and "1 failed" in out and "KNOWN RED" not in out


def test_a_known_failure_is_printed_with_its_cause_and_passes_over(project):
    code, out = project(RED)
    assert code == 0 and "1 xfailed" in out
    assert "KNOWN RED tests/test_some.py::test_red: it adds up wrongly (#7)" in out


@pytest.mark.parametrize(
    "lines, why",
    [
        ([RED, "tests/test_some.py::test_green | it never passes | #7"], "XPASS(strict)"),
        ([RED, "tests/test_some.py::test_gone | it was there | #7"], "no such test"),
        ([RED, "tests/test_some.py::test_green | #7"], "not `test | cause | issue`"),
        ([RED, "tests/test_some.py::test_green | | #7"], "not `test | cause | issue`"),
        ([RED, RED, RED, RED], "4 lines"),
    ],
    ids=["it passes", "no such test", "no cause", "an empty cause", "too many"],
)
def test_a_wrong_list_fails(project, lines, why):
    code, out = project(*lines)
    assert code == 1 and why in out, out
