"""Expires, carries and checkpoints the partitions that an entry owns."""

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

CARRIES_PER_COMMIT = 256
CARRIES_PER_SCAN = 4096
CHECKPOINT_ID_BITS = 64


class Maintenance:
    """Makes live state outlast the log's retention.

    A turn that fails is taken up again with the next one, and a turn taken twice or
    by two entries at once appends records that change nothing.
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
        """Takes one turn for a partition."""
        try:
            await self._take_turn(runner)
        except PomeloshiftError as exc:
            logger.warning(
                "event=upkeep_failed partition={} code={}",
                runner.partition,
                exc.code.value,
            )

    async def _take_turn(self, runner: PartitionRunner) -> None:
        retention = self._retention()
        wall = self._clock.wall()
        expired = expiry_records(runner.state, retention, wall)
        if expired:
            await runner.commit(expired, self._settings.accept_s)
        await self._carry(runner, retention, wall)
        last_at = self._checkpointed_at.get(runner.partition)
        if is_checkpoint_due(runner.state, last_at, retention, wall):
            await self._checkpoint(runner, wall)

    async def _carry(
        self, runner: PartitionRunner, retention: Retention, wall: float
    ) -> None:
        while True:
            due = records_to_copy(runner.state, retention, wall)
            orders = list(islice(due, CARRIES_PER_SCAN))
            for batch in _batches(orders):
                await runner.copy_forward(batch)
            if len(orders) < CARRIES_PER_SCAN:
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


def _batches(orders: list[CopyForward]) -> Iterator[list[CopyForward]]:
    remaining = iter(orders)
    while batch := list(islice(remaining, CARRIES_PER_COMMIT)):
        yield batch
