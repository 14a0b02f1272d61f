"""Writes checkpoints that keep the configuration in force readable in the log."""

from random import Random

from loguru import logger

from ...config import ConfigCheckpoint, ConfigHolder
from ...errors import PomeloshiftError
from ._stream import ConfigStream
from ._timing import ConfigTiming

# Smallest factor by which an entry waits longer if it is not the chosen writer. Each
# entry draws its own factor between 2 and 4.
BACKUP_WAIT_FACTOR = 2.0
# Wait, in checkpoint intervals, of an entry whose replayed state is incomplete. This is
# longer than any entry with a complete state takes to append a checkpoint.
INCOMPLETE_WAIT_FACTOR = 8.0


class CheckpointWriter:
    """Appends a checkpoint before the log expires the version in force.

    One chosen entry appends it; the others take over if the chosen one fails to. The
    writer also restores a version that this process applies but the log has lost. An
    entry whose replayed state is incomplete may apply an older version than the one in
    force. Before it restores its version, it therefore waits longer than any other
    entry would take to append a checkpoint.
    """

    def __init__(
        self,
        name: str,
        stream: ConfigStream,
        holder: ConfigHolder,
        rng: Random,
        timing: ConfigTiming,
    ) -> None:
        self._name = name
        self._stream = stream
        self._holder = holder
        self._rng = rng
        self._timing = timing
        self._record_offset = -1
        self._record_since = 0.0
        self._missing_since: float | None = None
        self._wait_factor = BACKUP_WAIT_FACTOR * (1 + rng.random())

    async def append_due(self, now: float, is_writer: bool) -> None:
        """Appends a checkpoint if one is due; call it after reading the whole stream.

        ``now`` is a monotonic time in seconds. ``is_writer`` says whether this entry
        is the chosen writer.
        """
        body = self._due(now, 1.0 if is_writer else self._wait_factor)
        if body is None:
            return
        record_id = f"{self._name}-{self._rng.getrandbits(64):016x}"
        try:
            await self._stream.append(body, record_id)
        except PomeloshiftError as exc:
            logger.warning("event=config_checkpoint_failed code={}", exc.code.value)
            return
        logger.info("event=config_checkpoint version={}", body.version)
        self._record_since = now
        self._missing_since = None

    def _due(self, now: float, wait_factor: float) -> ConfigCheckpoint | None:
        state = self._stream.state
        if not state.is_complete:
            wait_s = INCOMPLETE_WAIT_FACTOR * self._timing.checkpoint_s
            return self._due_restoration(now, wait_s * wait_factor)
        if self._holder.version > state.version:
            return self._due_restoration(now, self._timing.restore_s * wait_factor)
        self._missing_since = None
        if state.checkpointed_at != self._record_offset:
            self._record_offset = state.checkpointed_at
            self._record_since = now
        wait_s = self._timing.checkpoint_s * wait_factor
        if 0 <= state.checkpointed_at < self._stream.first_offset:
            wait_s = self._timing.restore_s * (wait_factor - 1.0)
        is_due = now - self._record_since >= wait_s
        return state.checkpoint() if is_due else None

    def _due_restoration(self, now: float, wait_s: float) -> ConfigCheckpoint | None:
        if self._missing_since is None:
            self._missing_since = now
        if now - self._missing_since < wait_s or self._holder.version == 0:
            return None
        if self._holder.newest_seen > self._holder.version:
            return None
        state = self._stream.state
        return ConfigCheckpoint(
            as_of=state.next_offset,
            version=self._holder.version,
            document=self._holder.document,
            author=self._name,
            note="restored from an instance",
            outcomes=dict(state.outcomes),
        )
