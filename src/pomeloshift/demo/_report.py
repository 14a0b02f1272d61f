"""The report of the demo."""

from typing import Any

import attrs

from ._batch_jobs import BatchTotals
from ._online_load import OnlineTotals

FIRST_TOKEN_TARGET_S = 0.7
BETWEEN_TOKENS_TARGET_S = 0.04
PROPAGATION_TARGET_S = 18.0


@attrs.define
class DemoReport:
    """The measurements of the demo and the outcomes of its checks.

    ``propagation_s`` is the time in seconds from the publication of a configuration
    until it is in force on all instances. ``drain_cut_off`` counts requests that the
    drain interrupted. ``calls_run_twice`` counts non-idempotent calls that ran more
    than once, and ``ran_after_cancel`` items of the cancelled job that ran after the
    job had stopped.
    """

    online: OnlineTotals
    batch: BatchTotals = attrs.field(factory=BatchTotals)
    config_version: int = 0
    propagation_s: float = 0.0
    drain_cut_off: int = 0
    resent_job_is_same: bool = False
    cancelled_job_stopped: bool = False
    ran_after_cancel: int = 0
    calls_run_twice: int = 0
    cross_region_bytes: int = 0
    seconds: float = 0.0

    @property
    def failed_checks(self) -> list[str]:
        """Returns a description of each failed check."""
        checks = {
            "an online response had the wrong text": self.online.wrong == 0,
            "a batch item was lost": self.batch.lost == 0,
            "a batch item completed twice": self.batch.duplicates == 0,
            "a batch item has a wrong result": self.batch.wrong == 0,
            "a batch item failed": self.batch.failed == 0,
            "the job did not complete": self.batch.items == self.batch.completed,
            "a repeated submission created a second job": self.resent_job_is_same,
            "the cancelled job did not stop": self.cancelled_job_stopped,
            "items ran after their job was cancelled": self.ran_after_cancel == 0,
            "the drain interrupted a request": self.drain_cut_off == 0,
            "a non-idempotent call ran twice": self.calls_run_twice == 0,
            "the configuration took too long": self._config_is_in_time(),
            "no online request completed": self.online.complete > 0,
        }
        return [finding for finding, passed in checks.items() if not passed]

    def as_json(self) -> dict[str, Any]:
        """Returns the report as the fields of one JSON object."""
        online = self.online
        return {
            "online": {
                "requests": online.requests,
                "complete": online.complete,
                "errors": online.errors,
                "error_codes": online.error_codes,
                "wrong": online.wrong,
                "ttft_p95_s": quantile(online.first_token_s, 0.95),
                "itl_p95_s": quantile(online.gaps_s, 0.95),
            },
            "batch": attrs.asdict(self.batch),
            "config": {
                "version": self.config_version,
                "seconds_to_everywhere": round(self.propagation_s, 3),
            },
            "drain": {"cut_off": self.drain_cut_off},
            "resent_job_is_same": self.resent_job_is_same,
            "cancelled_job_stopped": self.cancelled_job_stopped,
            "ran_after_cancel": self.ran_after_cancel,
            "calls_run_twice": self.calls_run_twice,
            "cross_region_bytes": self.cross_region_bytes,
            "seconds": round(self.seconds, 1),
            "broken": self.failed_checks,
            "ok": not self.failed_checks,
        }

    def as_text(self) -> str:
        """Returns the report as lines of text."""
        online = self.online
        first_token = quantile(online.first_token_s, 0.95)
        between = quantile(online.gaps_s, 0.95)
        outcome = (
            "; ".join(["broken", *self.failed_checks]) if self.failed_checks else "ok"
        )
        lines = [
            f"online   {online.complete} of {online.requests} complete, "
            f"{online.errors} errors {online.error_codes or ''}".rstrip(),
            f"         first token p95 {first_token:.3f} s "
            f"(target {FIRST_TOKEN_TARGET_S} s), between tokens p95 "
            f"{between * 1000:.1f} ms (target {BETWEEN_TOKENS_TARGET_S * 1000:.0f} ms)",
            f"batch    {self.batch.completed} of {self.batch.items} items completed, "
            f"{self.batch.failed} failed, {self.batch.lost} lost, "
            f"{self.batch.duplicates} twice",
            f"config   version {self.config_version} in force on all instances after "
            f"{self.propagation_s:.2f} s",
            f"drain    {self.drain_cut_off} requests cut off",
            f"resend   {'the same job' if self.resent_job_is_same else 'a second job'}",
            f"cancel   {'stopped' if self.cancelled_job_stopped else 'not stopped'}, "
            f"{self.ran_after_cancel} items ran afterwards",
            f"calls    {self.calls_run_twice} non-idempotent calls ran twice",
            f"link     {self.cross_region_bytes / 1000:.0f} kB between regions",
            f"result   {outcome} after {self.seconds:.1f} s",
        ]
        return "\n".join(lines)

    def _config_is_in_time(self) -> bool:
        return 0.0 < self.propagation_s <= PROPAGATION_TARGET_S


def quantile(values: list[float], share: float) -> float:
    """Returns the ``share`` quantile of the values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)
