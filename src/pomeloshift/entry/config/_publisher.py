"""Publishes configurations and resolves appends with an unknown outcome."""

from collections.abc import Awaitable, Callable

from ...config import (
    REFUSED,
    ConfigConflictError,
    ConfigPublished,
)
from ...errors import PomeloshiftError
from ...log import (
    AppendOutcomeUnknownError,
    LogRateLimitedError,
    LogUnavailableError,
)
from ...net import Clock
from ._errors import ConfigNotReadyError, ConfigOutcomeUnknownError
from ._stream import ConfigStream

RETRY_INTERVAL_S = 0.2


class Publisher:
    """Appends a publication and reads its outcome back from the stream.

    ``limit_s`` is how many seconds `publish` waits for the outcome.
    """

    def __init__(
        self,
        stream: ConfigStream,
        clock: Clock,
        sleep: Callable[[float], Awaitable[None]],
        limit_s: float,
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._sleep = sleep
        self._limit_s = limit_s

    async def publish(self, body: ConfigPublished, record_id: str) -> int:
        """Publishes a configuration and returns its version.

        Raises `ConfigConflictError` if the base version is not in force any more,
        for example because another publication on the same base came first. Raises
        a log error if certainly nothing was appended, and
        `ConfigOutcomeUnknownError` if the outcome is not known within the limit.
        """
        await self._check_base(body)
        deadline = self._clock.monotonic() + self._limit_s
        maybe_appended = False
        while True:
            try:
                await self._stream.append(body, record_id)
                return await self._await_outcome(body, record_id, deadline)
            except AppendOutcomeUnknownError:
                maybe_appended = True
            except (LogUnavailableError, LogRateLimitedError):
                if not maybe_appended and self._is_over(deadline):
                    raise
            if maybe_appended:
                version = await self._find(record_id)
                if version is not None:
                    return self._version_or_conflict(body, version)
            if self._is_over(deadline):
                raise _unknown(record_id)
            await self._sleep(RETRY_INTERVAL_S)

    async def _check_base(self, body: ConfigPublished) -> None:
        await self._stream.catch_up()
        state = self._stream.state
        if not state.is_complete:
            raise ConfigNotReadyError(
                "older configuration records expired and no checkpoint was read so far",
                retry_after_s=RETRY_INTERVAL_S,
            )
        if state.version != body.base_version:
            raise self._conflict(body)

    async def _await_outcome(
        self, body: ConfigPublished, record_id: str, deadline: float
    ) -> int:
        while True:
            version = await self._find(record_id)
            if version is not None:
                return self._version_or_conflict(body, version)
            if self._is_over(deadline):
                raise _unknown(record_id)
            await self._sleep(RETRY_INTERVAL_S)

    async def _find(self, record_id: str) -> int | None:
        try:
            await self._stream.catch_up()
        except PomeloshiftError:
            # A failed read says nothing about whether the append was committed.
            return None
        return self._stream.state.outcome_of(record_id)

    def _version_or_conflict(self, body: ConfigPublished, version: int) -> int:
        if version == REFUSED:
            raise self._conflict(body)
        return version

    def _conflict(self, body: ConfigPublished) -> ConfigConflictError:
        current = self._stream.state.version
        return ConfigConflictError(
            f"the change is based on version {body.base_version}, but version "
            f"{current} is in force",
            current,
        )

    def _is_over(self, deadline: float) -> bool:
        return self._clock.monotonic() >= deadline


def _unknown(record_id: str) -> ConfigOutcomeUnknownError:
    return ConfigOutcomeUnknownError(
        f"the log did not confirm publication {record_id} in time", record_id
    )
