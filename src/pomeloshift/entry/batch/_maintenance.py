"""Maintains an entry's partitions: expiry, copying forward and checkpoints."""

from collections.abc import Callable, Iterator
from itertools import islice
from random import Random

from loguru import logger

from ...batch import (
    CopyForward,
    Retention,
    expiry_records,
    is_checkpoint_due,
    records_to_copy,
)
from ...config import Configuration
from ...errors import PomeloshiftError
from ...net import Clock
from ._partition_runner import PartitionRunner
from ._settings import BatchSettings

COPIES_PER_COMMIT = 256
COPIES_PER_SCAN = 4096
CHECKPOINT_ID_BITS = 64


class Maintenance:
    """Keeps live state in the log beyond the log's retention.

    If a run fails, the next one does its remaining work. Runs may overlap, even at
    different entries: duplicates of a record have no effect.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        rng: Random,
        settings: BatchSettings,
        current_config: Callable[[], Configuration | None],
    ) -> None:
        self._name = name
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._current_config = current_config
        self._checkpointed_at: dict[int, float] = {}

    async def run(self, runner: PartitionRunner) -> None:
        """Does all maintenance that is due for a partition; logs failures."""
        try:
            await self._run_once(runner)
        except PomeloshiftError as exc:
            logger.warning(
                "event=upkeep_failed partition={} code={}",
                runner.partition,
                exc.code.value,
            )

    async def _run_once(self, runner: PartitionRunner) -> None:
        retention = self._retention()
        wall = self._clock.wall()
        expired = expiry_records(runner.state, retention, wall)
        if expired:
            await runner.commit(expired, self._settings.accept_s)
        await self._copy_forward(runner, retention, wall)
        last_at = self._checkpointed_at.get(runner.partition)
        if is_checkpoint_due(runner.state, last_at, retention, wall):
            await self._checkpoint(runner, wall)

    async def _copy_forward(
        self, runner: PartitionRunner, retention: Retention, wall: float
    ) -> None:
        while True:
            due = records_to_copy(runner.state, retention, wall)
            copies = list(islice(due, COPIES_PER_SCAN))
            for batch in _batches(copies):
                await runner.copy_forward(batch)
            if len(copies) < COPIES_PER_SCAN:
                return

    async def _checkpoint(self, runner: PartitionRunner, wall: float) -> None:
        ident = f"{self._name}/{self._rng.getrandbits(CHECKPOINT_ID_BITS):016x}"
        await runner.append_checkpoint(ident)
        self._checkpointed_at[runner.partition] = wall
        logger.info(
            "event=checkpoint_appended partition={} next_offset={}",
            runner.partition,
            runner.state.next_offset,
        )

    def _retention(self) -> Retention:
        cfg = self._current_config() or Configuration("")
        return Retention(self._settings.log_retention_s, cfg.result_retention_s)


def _batches(copies: list[CopyForward]) -> Iterator[list[CopyForward]]:
    remaining = iter(copies)
    while batch := list(islice(remaining, COPIES_PER_COMMIT)):
        yield batch
