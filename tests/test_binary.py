import json
import os
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
BINARY = ROOT / "dist" / "pomeloshift"


@pytest.fixture
def run(tmp_path):
    """Runs the binary outside the source tree and the virtual environment."""
    if not BINARY.exists():
        pytest.skip("run `make binary` first; .ci/run does")

    def run(*arguments):
        env = {"PATH": os.environ["PATH"], "SHIV_ROOT": str(tmp_path / "unpacked")}
        return subprocess.run(
            [BINARY, *arguments],
            capture_output=True,
            text=True,
            cwd=tmp_path,
            env=env,
            timeout=300,
        )

    return run


def test_binary_checks_files_and_runs_the_demo(run, tmp_path):
    assert run("--version").stdout.startswith("pomeloshift ")
    faulty = tmp_path / "entry.jsonc"
    faulty.write_text('{"name": "", "no_such_key": 1}')
    checked = run("check", str(faulty), "--kind", "entry")
    assert checked.returncode == 2
    assert "no_such_key" in checked.stderr
    demo = run("demo", "--json")
    assert json.loads(demo.stdout)["ok"], demo.stdout
    assert demo.returncode == 0
