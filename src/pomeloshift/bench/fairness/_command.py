"""The command ``pomeloshift bench fairness``."""

import sys

import attrs
import msgspec

from ._jobs import JobResult, run_jobs
from ._workspaces import WorkspaceResult, run_workspaces


def run_command(seed: int = 1, json: bool = False) -> int:
    """Runs the bench of workspaces and of jobs, prints both and returns 0."""
    workspaces = run_workspaces(seed)
    jobs = run_jobs(seed)
    if json:
        fields = {
            "seed": seed,
            "workspaces": {
                name: [attrs.asdict(row) for row in rows]
                for name, rows in workspaces.items()
            },
            "jobs": {
                name: {**attrs.asdict(result), "ratio": result.ratio}
                for name, result in jobs.items()
            },
        }
        sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
        return 0
    _print_workspaces(workspaces, seed)
    _print_jobs(jobs)
    return 0


def _print_workspaces(results: dict[str, list[WorkspaceResult]], seed: int) -> None:
    sys.stdout.write(f"small workspace beside a flood (seed {seed})\n")
    header = f"{'variant':<22}{'flood':>7}{'requests':>10}{'in time/s':>11}"
    sys.stdout.write(f"{header}{'p95 s':>8}{'refused':>9}{'given up':>10}\n")
    for name, rows in results.items():
        for row in rows:
            small = row.small
            sys.stdout.write(
                f"{name:<22}{row.flood_load:>6}x{row.requests:>10}"
                f"{small.goodput_per_s:>11.2f}{small.wait_p95_s:>8.3f}"
                f"{small.refused:>9}{small.given_up:>10}\n"
            )


def _print_jobs(results: dict[str, JobResult]) -> None:
    sys.stdout.write("\nsmall job due sooner beside a huge one\n")
    sys.stdout.write(f"{'order':<22}{'alone s':>9}{'beside s':>10}{'ratio':>8}\n")
    for name, result in results.items():
        sys.stdout.write(
            f"{name:<22}{result.alone_s:>9.1f}{result.beside_huge_s:>10.1f}"
            f"{result.ratio:>8.2f}\n"
        )
