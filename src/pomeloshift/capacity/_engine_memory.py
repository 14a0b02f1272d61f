"""Keeps the tokens of requests at an engine within its memory."""

from collections.abc import Iterable

import attrs

from ..dispatch import Engine, Service

# Share of an engine's memory that is used: the tokens of other entries' requests are
# estimated, and their counts are some 40 ms old.
USED_SHARE = 0.9
# Share up to which batch items start, so that online requests find room beside them.
BATCH_SHARE = 0.7
# Weight of a new request in the mean of the requests' tokens.
SMOOTHING = 0.02


@attrs.define
class EngineMemory:
    """Decides whether an engine has memory for one more request.

    Designed for engines that crash if their requests, also the waiting ones, exceed
    their memory. Counts this entry's requests by their tokens, and those of others by
    the mean of its own.

        memory.note_services([Service("lm", engine_tokens=72_000)])
        if memory.has_room(engine, 4_500):
            ...
    """

    _limits: dict[str, int] = attrs.field(factory=dict)
    _online_mean: float = 0.0
    _batch_mean: float = 0.0

    def note_services(self, services: Iterable[Service]) -> None:
        """Takes the sizes of engines from the services in force."""
        self._limits = {one.name: one.engine_tokens for one in services}

    def note_request(self, tokens: int, is_batch: bool) -> None:
        """Records the tokens of a request that is sent."""
        if is_batch:
            self._batch_mean = _mean(self._batch_mean, tokens)
        else:
            self._online_mean = _mean(self._online_mean, tokens)

    def usual_tokens(self, tokens: int | None, is_batch: bool) -> int:
        """Returns a request's tokens, or the mean of others if they are not stated."""
        if tokens is not None:
            return tokens
        return int(self._batch_mean if is_batch else self._online_mean)

    def has_room(self, engine: Engine, tokens: int, is_batch: bool = False) -> bool:
        """Returns whether an engine has memory for a request with these tokens.

        An engine without requests takes any that fits its whole memory.
        """
        limit = self._limits.get(engine.record.service, 0)
        if limit <= 0:
            return True
        if engine.known_requests == 0:
            return tokens <= limit
        share = BATCH_SHARE if is_batch else USED_SHARE
        return self.held(engine) + tokens <= share * limit

    def held(self, engine: Engine) -> float:
        """Returns an estimate of the tokens of all requests at an engine."""
        peers = engine.peers.online * self._online_mean
        peers += engine.peers.batch * self._batch_mean
        return engine.tokens + peers


def _mean(known: float, value: int) -> float:
    return known + SMOOTHING * (value - known) if known else float(value)
