"""Measures memory and threads of real processes that run a role."""

import subprocess
import sys

import attrs

START_LIMIT_S = 60


@attrs.frozen
class ProcessCost:
    """Resident memory in bytes, threads, and processor time in percent of a core."""

    role: str
    resident_bytes: int
    threads: int
    idle_cpu_percent: float


def measure_process(role: str) -> ProcessCost:
    """Starts an idle role as a process of its own and reads its figures."""
    done = subprocess.run(
        [sys.executable, "-m", "pomeloshift.bench.control._idle_role", role],
        check=True,
        capture_output=True,
        text=True,
        timeout=START_LIMIT_S,
    )
    resident, threads, cpu = done.stdout.split()[-3:]
    return ProcessCost(role, int(resident), int(threads), float(cpu))
