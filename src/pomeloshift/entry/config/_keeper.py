"""Keeps the configuration in force readable in the log."""

from random import Random

from loguru import logger

from ...config import ConfigCheckpoint, ConfigHolder
from ...errors import PomeloshiftError
from ._stream import ConfigStream
from ._timing import ConfigTiming


class Keeper:
    """Appends a checkpoint when the record of the version in force grows old.

    It also appends a version that this process applies but the log has lost, for
    example after an outage that was longer than records are kept.
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
        self._carried_at = -1
        self._carried_since = 0.0
        self._behind_since: float | None = None

    async def keep(self, now: float) -> None:
        """Appends what is due; to be called after the stream was read to its end."""
        body = self._due(now)
        if body is None:
            return
        record_id = f"{self._name}-{self._rng.getrandbits(64):016x}"
        try:
            await self._stream.append(body, record_id)
        except PomeloshiftError as exc:
            logger.warning("event=config_checkpoint_failed code={}", exc.code.value)
            return
        logger.info("event=config_checkpoint version={}", body.version)
        self._carried_since = now
        self._behind_since = None

    def _due(self, now: float) -> ConfigCheckpoint | None:
        state = self._stream.state
        if self._holder.version > state.version or not state.complete:
            return self._due_restoration(now)
        self._behind_since = None
        if state.carried_at != self._carried_at:
            self._carried_at = state.carried_at
            self._carried_since = now
        is_old = now - self._carried_since >= self._timing.checkpoint_s
        is_expired = 0 <= state.carried_at < self._stream.first_offset
        return state.checkpoint() if is_old or is_expired else None

    def _due_restoration(self, now: float) -> ConfigCheckpoint | None:
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < self._timing.restore_s:
            return None
        if self._holder.version == 0:
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
