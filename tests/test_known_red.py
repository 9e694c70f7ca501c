"""The list of known failing tests: what it excuses, and which lists are rejected."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parent.parent
SAMPLE_TESTS = """
def test_red():
    assert 1 == 2

def test_green():
    assert True
"""
ENTRY = "tests/test_some.py::test_red | it adds up wrongly | #7"


def run(root: Path, *more: str) -> tuple[int, str]:
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *more],
        cwd=root, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    return result.returncode, result.stdout


@pytest.fixture
def project(tmp_path):
    """A small project with the test configuration of this one; call the result to run its tests."""
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py", "test_known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests" / name)
    (tmp_path / "tests" / "test_some.py").write_text(SAMPLE_TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\npythonpath = .\n")

    def run_tests(*lines: str) -> tuple[int, str]:
        if lines:
            (tmp_path / known_red.FILE_NAME).write_text("\n".join(lines) + "\n")
        # Of this file only the test of the list itself: the others would start runs recursively.
        list_test = "tests/test_known_red.py::test_list_of_this_project_is_valid"
        return run(tmp_path, "tests/test_some.py", list_test)

    return run_tests


def test_list_of_this_project_is_valid():
    assert not known_red.find_errors(ROOT)
    for line in known_red.read_lines(ROOT):
        test = known_red.parse_line(line).test
        code, out = run(ROOT, "--collect-only", test)
        assert code == 0, f"no such test: {test}\n{out}"
        assert not test.startswith("tests/test_known_red.py")


def test_unlisted_failing_test_fails_the_run(project):
    code, out = project()
    assert code == 1 and "1 failed" in out and "KNOWN RED" not in out


def test_listed_failure_is_printed_with_its_cause_and_excused(project):
    code, out = project(ENTRY)
    assert code == 0 and "1 xfailed" in out
    assert "KNOWN RED tests/test_some.py::test_red: it adds up wrongly (#7)" in out


@pytest.mark.parametrize(
    "lines, why",
    [
        ([ENTRY, "tests/test_some.py::test_green | it never passes | #7"], "XPASS(strict)"),
        ([ENTRY, "tests/test_some.py::test_gone | it was there | #7"], "no such test"),
        ([ENTRY, "tests/test_some.py::test_green | #7"], "not `test | cause | issue`"),
        ([ENTRY, "tests/test_some.py::test_green | | #7"], "not `test | cause | issue`"),
        ([ENTRY, ENTRY, ENTRY, ENTRY], "4 lines"),
    ],
    ids=["it passes", "no such test", "no cause", "an empty cause", "too many"],
)
def test_invalid_list_fails_the_run(project, lines, why):
    code, out = project(*lines)
    assert code == 1 and why in out, out
