import json
import subprocess
import sys

import pytest


@pytest.mark.parametrize("seed", [1, 2])
def test_demo_passes_all_checks(seed):
    done = subprocess.run(
        [sys.executable, "-m", "pomeloshift", "demo", "--json", "--seed", str(seed)],
        capture_output=True,
        text=True,
        env={"PYTHONPATH": "src", "PATH": ""},
        timeout=300,
    )
    report = json.loads(done.stdout)
    assert report["ok"], report
    assert done.returncode == 0
    online, batch = report["online"], report["batch"]
    assert online["complete"] + online["errors"] == online["requests"] >= 300
    assert online["wrong"] == 0
    assert {"ttft_p95_s", "itl_p95_s"} <= set(online)
    assert batch["completed"] == batch["items"] >= 300
    assert batch["failed"] == batch["lost"] == batch["duplicates"] == 0
    assert report["config"]["version"] == 2
    assert report["config"]["seconds_to_everywhere"] <= 18
    assert report["drain"]["cut_off"] == 0
