"""The cases 4 to 7 as one test, for KNOWN-RED.txt; the default run and CI do not run this file."""

import subprocess
from pathlib import Path

HERE = Path(__file__).resolve().parent


def test_cases_4_to_7() -> None:
    results = {
        number: subprocess.run([HERE / str(number) / "run.sh"], timeout=150, check=False).returncode
        for number in (4, 5, 6, 7)
    }
    assert all(code == 0 for code in results.values()), results
