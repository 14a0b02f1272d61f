"""Measures the resource usage of real processes that run an idle role."""

import subprocess
import sys

import attrs

TIMEOUT_S = 60


@attrs.frozen
class ProcessCost:
    """Resident memory in bytes, threads, and CPU time in percent of a core."""

    role: str
    resident_bytes: int
    threads: int
    idle_cpu_percent: float


def measure_process(role: str) -> ProcessCost:
    """Runs an idle role in a subprocess and returns its resource usage.

    Raises `subprocess.CalledProcessError` if the role fails, and
    `subprocess.TimeoutExpired` after `TIMEOUT_S`.
    """
    done = subprocess.run(
        [sys.executable, "-m", "pomeloshift.bench.control._idle_role", role],
        check=True,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    resident, threads, cpu = done.stdout.split()[-3:]
    return ProcessCost(role, int(resident), int(threads), float(cpu))
