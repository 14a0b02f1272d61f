"""Collects the memory and the processor time that the process uses."""

import pathlib
import resource
import time

from ._metrics import Metrics


def collect_process(metrics: Metrics) -> None:
    """Sets the metrics of this process's resident memory and processor time."""
    metrics.set("resident_bytes", resident_bytes())
    metrics.advance("cpu_seconds_total", time.process_time())


def resident_bytes() -> int:
    """Returns the resident memory in bytes.

    Where the system does not report it, returns the highest value so far.
    """
    try:
        pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * resource.getpagesize()
