"""Work that the engine model runs, and what it reports about it."""

from collections.abc import Hashable

import attrs

BLOCK_TOKENS = 32


@attrs.frozen
class EngineWork:
    """One sequence: its prompt, and how many tokens it will produce.

    ``blocks`` are the keys of the prompt's full cache blocks, each standing for all
    tokens up to its end. ``done_tokens`` were produced in an earlier run and count
    as part of the prompt now. With ``crashes`` the engine dies at the first token.
    """

    stream_id: str
    prompt_tokens: int = attrs.field(validator=attrs.validators.ge(1))
    output_tokens: int = attrs.field(validator=attrs.validators.ge(1))
    blocks: tuple[Hashable, ...] = ()
    done_tokens: int = 0
    crashes: bool = False


@attrs.frozen
class FirstToken:
    """A sequence finished its prefill and produced its first token."""

    stream_id: str
    at: float


@attrs.frozen
class WorkFinished:
    """A sequence produced its last token."""

    stream_id: str
    at: float


@attrs.frozen
class EngineCrashed:
    """The engine died; everything it held is gone."""

    at: float


EngineOutput = FirstToken | WorkFinished | EngineCrashed


@attrs.frozen
class CacheEvent:
    """A block entered or left the prefix cache."""

    sequence: int
    at: float
    block: Hashable
    stored: bool


@attrs.frozen
class EngineLoad:
    """A lagging snapshot of the engine."""

    at: float = 0.0
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    kv_tokens_used: int = 0
    kv_tokens: int = 0
    sequence: int = 0
