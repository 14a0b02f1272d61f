"""Keeps the configuration in force readable in the log."""

from random import Random

from loguru import logger

from ...config import ConfigCheckpoint, ConfigHolder
from ...errors import PomeloshiftError
from ._stream import ConfigStream
from ._timing import ConfigTiming

# How much longer than the chosen entry the others wait, times one to two.
STAND_IN_FACTOR = 2.0
# How many checkpoint intervals an entry waits that cannot tell what was decided.
RESTORE_FACTOR = 8.0


class Keeper:
    """Appends a checkpoint when the record of the version in force grows old.

    One entry does so; the others step in where it does not. A version that this
    process applies but the log has lost is appended too. An entry that cannot tell
    what the log decided waits longer with that than any other would take to append
    a checkpoint, because what it applies may be older than the version in force.
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
        self._patience = STAND_IN_FACTOR * (1 + rng.random())

    async def keep(self, now: float, is_keeper: bool) -> None:
        """Appends what is due; to be called after the stream was read to its end.

        ``is_keeper`` tells whether this entry is the one that should.
        """
        body = self._due(now, 1.0 if is_keeper else self._patience)
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

    def _due(self, now: float, patience: float) -> ConfigCheckpoint | None:
        state = self._stream.state
        if not state.complete:
            limit_s = RESTORE_FACTOR * self._timing.checkpoint_s
            return self._due_restoration(now, limit_s * patience)
        if self._holder.version > state.version:
            return self._due_restoration(now, self._timing.restore_s * patience)
        self._behind_since = None
        if state.carried_at != self._carried_at:
            self._carried_at = state.carried_at
            self._carried_since = now
        limit_s = self._timing.checkpoint_s * patience
        if 0 <= state.carried_at < self._stream.first_offset:
            limit_s = self._timing.restore_s * (patience - 1.0)
        is_due = now - self._carried_since >= limit_s
        return state.checkpoint() if is_due else None

    def _due_restoration(self, now: float, limit_s: float) -> ConfigCheckpoint | None:
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < limit_s or self._holder.version == 0:
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
