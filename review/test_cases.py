"""The cases as tests, for KNOWN-RED.txt; the default run and CI do not run this file."""

import subprocess
from pathlib import Path

HERE = Path(__file__).resolve().parent


def run_case(number: int) -> int:
    return subprocess.run([HERE / str(number) / "run.sh"], timeout=150, check=False).returncode


def test_case_1() -> None:
    assert run_case(1) == 0


def test_case_2() -> None:
    assert run_case(2) == 0


def test_case_3() -> None:
    assert run_case(3) == 0
