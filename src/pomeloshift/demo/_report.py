"""The result of the demo."""

from typing import Any

import attrs

from ._batch_jobs import BatchTotals
from ._online_load import OnlineTotals

FIRST_TOKEN_TARGET_S = 0.7
BETWEEN_TOKENS_TARGET_S = 0.04
EVERYWHERE_TARGET_S = 18.0


@attrs.define
class DemoReport:
    """What the demo measured; ``broken`` names the promises that did not hold.

    ``calls_run_twice`` counts unrepeatable calls that ran more than once, and
    ``ran_after_cancel`` items of the cancelled job that ran after it had stopped.
    """

    online: OnlineTotals
    batch: BatchTotals = attrs.field(factory=BatchTotals)
    config_version: int = 0
    seconds_to_everywhere: float = 0.0
    drain_cut_off: int = 0
    resent_job_is_same: bool = False
    cancelled_job_stopped: bool = False
    ran_after_cancel: int = 0
    calls_run_twice: int = 0
    cross_region_bytes: int = 0
    seconds: float = 0.0

    @property
    def broken(self) -> list[str]:
        """Returns the promises that did not hold."""
        checks = {
            "an online answer was not the caller's own": self.online.wrong == 0,
            "a batch item was lost": self.batch.lost == 0,
            "a batch item completed twice": self.batch.duplicates == 0,
            "a batch item has a wrong result": self.batch.wrong == 0,
            "a batch item failed": self.batch.failed == 0,
            "the job did not end": self.batch.items == self.batch.completed,
            "a resent job became a second one": self.resent_job_is_same,
            "the cancelled job did not stop": self.cancelled_job_stopped,
            "items ran after their job was cancelled": self.ran_after_cancel == 0,
            "the planned stop cut off a request": self.drain_cut_off == 0,
            "an unrepeatable call ran twice": self.calls_run_twice == 0,
            "the configuration was late": self._config_is_in_time(),
            "no online request was answered": self.online.complete > 0,
        }
        return [promise for promise, holds in checks.items() if not holds]

    def as_json(self) -> dict[str, Any]:
        """Returns the report as one JSON object."""
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
                "seconds_to_everywhere": round(self.seconds_to_everywhere, 3),
            },
            "drain": {"cut_off": self.drain_cut_off},
            "resent_job_is_same": self.resent_job_is_same,
            "cancelled_job_stopped": self.cancelled_job_stopped,
            "ran_after_cancel": self.ran_after_cancel,
            "calls_run_twice": self.calls_run_twice,
            "cross_region_bytes": self.cross_region_bytes,
            "seconds": round(self.seconds, 1),
            "broken": self.broken,
            "ok": not self.broken,
        }

    def as_text(self) -> str:
        """Returns the report for people to read."""
        online = self.online
        first_token = quantile(online.first_token_s, 0.95)
        between = quantile(online.gaps_s, 0.95)
        verdict = "; ".join(["broken", *self.broken]) if self.broken else "ok"
        lines = [
            f"online   {online.complete} of {online.requests} answered whole, "
            f"{online.errors} errors {online.error_codes or ''}".rstrip(),
            f"         first token p95 {first_token:.3f} s "
            f"(target {FIRST_TOKEN_TARGET_S} s), between tokens p95 "
            f"{between * 1000:.1f} ms (target {BETWEEN_TOKENS_TARGET_S * 1000:.0f} ms)",
            f"batch    {self.batch.completed} of {self.batch.items} items completed, "
            f"{self.batch.failed} failed, {self.batch.lost} lost, "
            f"{self.batch.duplicates} twice",
            f"config   version {self.config_version} in force everywhere after "
            f"{self.seconds_to_everywhere:.2f} s",
            f"drain    {self.drain_cut_off} requests cut off",
            f"resend   {'the same job' if self.resent_job_is_same else 'a second job'}",
            f"cancel   {'stopped' if self.cancelled_job_stopped else 'not stopped'}, "
            f"{self.ran_after_cancel} items ran afterwards",
            f"calls    {self.calls_run_twice} unrepeatable calls ran twice",
            f"link     {self.cross_region_bytes / 1000:.0f} kB between regions",
            f"result   {verdict} after {self.seconds:.1f} s",
        ]
        return "\n".join(lines)

    def _config_is_in_time(self) -> bool:
        return 0.0 < self.seconds_to_everywhere <= EVERYWHERE_TARGET_S


def quantile(values: list[float], share: float) -> float:
    """Returns the value that ``share`` of the values do not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)
